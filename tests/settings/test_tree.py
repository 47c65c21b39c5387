"""The tree, its log and its snapshots, against plain models."""

from hypothesis import given, settings, strategies as st

from amaranthtally.settings import (
    Change,
    ChangeLog,
    Op,
    Scope,
    SnapshotPointer,
    Tree,
    differences,
    find_overlap,
    join_snapshot,
    split_snapshot,
    undo_ops,
    with_previous_values,
)

NAMES = st.sampled_from(["", "a", "b"])
SCOPES = st.builds(Scope, NAMES, NAMES, NAMES)
KEYS = st.sampled_from(["deadline_ms", "limit.rate"])
VALUES = st.one_of(st.none(), st.integers(1, 9))
OPS = st.builds(lambda s, k, v: Op(str(s), k, v), SCOPES, KEYS, VALUES)
BATCHES = st.lists(OPS, min_size=1, max_size=4)
LOGS = st.lists(BATCHES, max_size=8)
RUNS = settings(derandomize=True, deadline=None, max_examples=150)


def make_changes(batches):
    tree, changes = Tree(), []
    for number, ops in enumerate(batches, 1):
        ops = with_previous_values(tree, ops)
        changes.append(Change(number, f"id-{number}", "op", "", "test", ops))
        tree = tree.fold(changes[-1])
    return changes, tree


def values(tree):
    return {(scope, key): value for scope, key, value in tree.items()}


@RUNS
@given(LOGS, SCOPES, KEYS)
def test_the_lowest_level_that_sets_a_key_holds(batches, scope, key):
    _, tree = make_changes(batches)
    expected = None
    for place in reversed(scope.chain):
        found = tree.get(place, key)
        expected = found if found is not None else expected
    assert tree.resolve(scope, key) == expected
    explained = tree.explain(scope, key)
    assert (explained[0][1] if explained else None) == expected


@RUNS
@given(LOGS, st.randoms(use_true_random=False), st.integers(0, 400))
def test_changes_in_any_order_never_take_the_revision_back(batches, random, kept):
    changes, tree = make_changes(batches)
    log = ChangeLog(kept_bytes=kept)
    sent = changes * 2
    random.shuffle(sent)
    for change in sent:
        before = log.revision
        log.apply_changes([change])
        assert log.revision >= before
    log.apply_changes(changes)
    assert values(log.tree) == values(tree)


@RUNS
@given(LOGS, st.integers(0, 8), st.integers(0, 400))
def test_a_peer_that_is_behind_gets_all_that_it_lacks(batches, known, kept):
    changes, tree = make_changes(batches)
    ahead, behind = ChangeLog(kept_bytes=kept), ChangeLog()
    ahead.apply_changes(changes)
    behind.apply_changes(changes[:known])
    behind.apply_delta(ahead.delta_since(behind.revision))
    assert behind.revision == tree.revision
    assert values(behind.tree) == values(tree)
    old = ChangeLog(kept_bytes=0)
    old.apply_changes(changes[:known])
    assert not behind.apply_delta(old.delta_since(0))
    assert behind.revision == tree.revision
    assert values(behind.tree) == values(tree)


@RUNS
@given(LOGS, st.integers(1, 60))
def test_a_snapshot_is_whole_or_nothing(batches, part_bytes):
    _, tree = make_changes(batches)
    snapshot = split_snapshot(tree, part_bytes)
    parts = list(snapshot.parts)
    pointer = SnapshotPointer(tree.revision, 0, snapshot.digest, len(parts))
    joined = join_snapshot(pointer, parts)
    assert joined is not None
    assert values(joined) == values(tree)
    assert joined.revision == tree.revision
    assert join_snapshot(pointer, parts[:-1]) is None
    assert join_snapshot(pointer, [*parts[:-1], parts[-1] + b" "]) is None


@RUNS
@given(BATCHES, LOGS, SCOPES, KEYS)
def test_what_does_not_overlap_gives_the_same_in_either_order(mine, others, scope, key):
    """
    The proof that the entry may commit a proposal on a newer revision: where no
    overlap is found, what the operator replaced and what any request resolves
    are the same as if the proposal had come first.
    """
    _, base = make_changes([[Op("firm", "deadline_ms", 5)]])
    later = base
    since = []
    for number, ops in enumerate(others, 2):
        since.append(
            Change(number, "", "other", "", "", with_previous_values(later, ops))
        )
        later = later.apply(ops)
    winner = find_overlap(mine, since)
    if winner is not None:
        assert differences(mine, winner)
        return
    assert with_previous_values(later, mine) == with_previous_values(base, mine)
    for op in mine:
        place = Scope.parse(op.scope)
        assert later.resolve(place, op.key) == base.resolve(place, op.key)
    first = base.apply(mine)
    for ops in others:
        first = first.apply(ops)
    assert first.resolve(scope, key) == later.apply(mine).resolve(scope, key)


@RUNS
@given(LOGS)
def test_undoing_the_last_change_gives_the_tree_before_it(batches):
    changes, tree = make_changes(batches)
    if changes:
        _, before = make_changes(batches[:-1])
        assert values(tree.apply(undo_ops(changes[-1]))) == values(before)
