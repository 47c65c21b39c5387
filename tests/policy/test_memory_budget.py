"""The budget of what an entry holds for callers."""

from math import inf

from hypothesis import given, strategies as st

from amaranthtally.policy import ResponseSizes, build_memory_budget, usable_bytes

MB = 1_000_000
CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 2 * MB))
)


@given(CHANGES)
def test_the_total_is_what_the_owners_hold(changes):
    """Guards against a total that drifts, until nothing is admitted any more."""
    budget = build_memory_budget(MB)
    held = dict.fromkeys("abc", 0)
    for owner, is_hold, size in changes:
        if is_hold:
            budget.hold(owner, size)
            held[owner] += size
        else:
            budget.release(owner, size)
            held[owner] = max(0, held[owner] - size)
        assert budget.used == sum(held.values())
        largest = budget.largest()
        assert max(held.values()) == (held[largest] if largest else 0)


def test_new_work_is_refused_before_work_in_progress_is_ended():
    """Guards against streams that are ended for requests that could go elsewhere."""
    budget = build_memory_budget(MB)
    assert budget.admits(MB // 2)
    budget.hold("a", 950_000)
    assert not budget.admits(1)
    assert budget.used < budget.limit


def test_without_a_limit_everything_is_admitted():
    """Guards against refusals in a deployment that names no memory."""
    budget = build_memory_budget()
    budget.hold("a", 10**12)
    assert budget.admits(10**12)
    assert budget.limit == inf


def test_some_memory_is_left_to_callers_whatever_the_process_uses():
    """Guards against an entry that refuses everything once its allocator has grown."""
    assert usable_bytes(200 * MB, 80 * MB) == 95 * MB
    assert usable_bytes(200 * MB, 500 * MB) == 25 * MB


def test_much_work_leaves_room_for_little():
    """Guards against short requests that are refused beside many documents."""
    budget = build_memory_budget(100 * MB)
    while budget.admits(MB):
        budget.hold(object(), MB)
    assert 70 * MB < budget.used < 80 * MB
    assert budget.admits(MB // 32)


def test_the_expected_size_follows_the_largest_recent_response():
    """Guards against documents that are admitted as if they were short."""
    sizes = ResponseSizes()
    assert sizes.expected("documents") == 0
    sizes.note("documents", MB)
    sizes.note("documents", 100)
    assert 0.9 * MB < sizes.expected("documents") < MB
    assert sizes.expected("lookups") == 0
