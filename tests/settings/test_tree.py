"""Properties of the settings tree, the change log and snapshots."""

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
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def make_changes(batches):
    tree, changes = Tree(), []
    for number, ops in enumerate(batches, 1):
        ops = with_previous_values(tree, ops)
        changes.append(Change(number, f"id-{number}", "op", "", "test", ops))
        tree = tree.fold(changes[-1])
    return changes, tree


def values(tree):
    return {(scope, key): value for scope, key, value in tree.items()}


@PROPERTY_SETTINGS
@given(LOGS, SCOPES, KEYS)
def test_lowest_level_with_a_value_takes_precedence(batches, scope, key):
    _, tree = make_changes(batches)
    expected = None
    for source in reversed(scope.lookup_order):
        value = tree.get(source, key)
        expected = value if value is not None else expected
    assert tree.resolve(scope, key) == expected
    explained = tree.explain(scope, key)
    assert (explained[0][1] if explained else None) == expected


@PROPERTY_SETTINGS
@given(LOGS, st.randoms(use_true_random=False), st.integers(0, 400))
def test_revision_never_decreases_in_any_order_of_changes(batches, random, max_bytes):
    changes, tree = make_changes(batches)
    log = ChangeLog(max_bytes=max_bytes)
    sent = changes * 2
    random.shuffle(sent)
    for change in sent:
        before = log.revision
        log.apply_changes([change])
        assert log.revision >= before
    log.apply_changes(changes)
    assert values(log.tree) == values(tree)


@PROPERTY_SETTINGS
@given(LOGS, st.integers(0, 8), st.integers(0, 400))
def test_delta_brings_a_lagging_peer_up_to_date(batches, known, max_bytes):
    changes, tree = make_changes(batches)
    ahead, behind = ChangeLog(max_bytes=max_bytes), ChangeLog()
    ahead.apply_changes(changes)
    behind.apply_changes(changes[:known])
    behind.apply_delta(ahead.delta_since(behind.revision))
    assert behind.revision == tree.revision
    assert values(behind.tree) == values(tree)
    old = ChangeLog(max_bytes=0)
    old.apply_changes(changes[:known])
    assert not behind.apply_delta(old.delta_since(0))
    assert behind.revision == tree.revision
    assert values(behind.tree) == values(tree)


@PROPERTY_SETTINGS
@given(LOGS, st.integers(1, 60))
def test_incomplete_or_corrupt_snapshot_is_rejected(batches, part_bytes):
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


@PROPERTY_SETTINGS
@given(BATCHES, LOGS, SCOPES, KEYS)
def test_batches_without_overlap_commute(proposed, committed, scope, key):
    """
    Shows that an entry may commit a proposal on a newer revision: without an overlap,
    the values that it replaces and the values that any request resolves are the same
    as if the proposal had been committed first.
    """
    _, base = make_changes([[Op("firm", "deadline_ms", 5)]])
    later = base
    since = []
    for number, ops in enumerate(committed, 2):
        since.append(
            Change(number, "", "other", "", "", with_previous_values(later, ops))
        )
        later = later.apply(ops)
    winner = find_overlap(proposed, since)
    if winner is not None:
        assert differences(proposed, winner)
        return
    assert with_previous_values(later, proposed) == with_previous_values(base, proposed)
    for op in proposed:
        source = Scope.parse(op.scope)
        assert later.resolve(source, op.key) == base.resolve(source, op.key)
    proposed_first = base.apply(proposed)
    for ops in committed:
        proposed_first = proposed_first.apply(ops)
    assert proposed_first.resolve(scope, key) == later.apply(proposed).resolve(
        scope, key
    )


@PROPERTY_SETTINGS
@given(LOGS)
def test_undo_of_the_last_change_restores_the_tree(batches):
    changes, tree = make_changes(batches)
    if changes:
        _, before = make_changes(batches[:-1])
        assert values(tree.apply(undo_ops(changes[-1]))) == values(before)
