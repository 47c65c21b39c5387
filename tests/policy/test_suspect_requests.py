"""What is blocked for the same ends: a request, or a part of its prompt."""

from amaranthtally.policy import PartEnd, PartSuccess, RequestKey
from amaranthtally.policy.suspect_parts import SuspectParts

SESSION = 0xA
REQUEST = RequestKey(1)
OTHER = RequestKey(2)
# After this time the entries have answered and reported all ends, in seconds.
ANSWERED_S = 2.0


def suspects(*ends):
    """Return suspects after these ends: number, time, and what was lost with it."""
    decided = SuspectParts()
    for number, at, parts in ends:
        for part in parts:
            decided.add_end(at, PartEnd(part, f"i-{number}/0", at, at - 0.3))
        decided.due_questions(at)
    return decided


def blocked(decided, now):
    decided.due_questions(now)
    return set(decided.due_blocks(now + ANSWERED_S))


def test_a_request_that_explains_all_ends_is_blocked_and_its_session_is_not():
    """Guards against a session that is refused for one of its requests."""
    ends = [(n, float(n), (SESSION, REQUEST)) for n in range(3)]
    assert blocked(suspects(*ends), 3.0) == {REQUEST}


def test_a_part_in_requests_that_are_sent_again_is_blocked_after_the_fifth_end():
    """Guards against a part of which each request takes the blame in turn."""
    decided = suspects(*((n, float(n), (SESSION, REQUEST)) for n in range(3)))
    decided.part_blocked(3.0, REQUEST, ("i-0/0", "i-1/0", "i-2/0"))
    for number in (3, 4):
        at = 5.0 + number
        for part in (SESSION, OTHER):
            decided.add_end(at, PartEnd(part, f"i-{number}/0", at, at - 0.3))
    assert SESSION in blocked(decided, 10.0)


def test_ends_at_the_same_time_are_put_down_to_no_request():
    """Guards against a request of many callers as all its endpoints fail at once."""
    decided = suspects(*((n, 1.0, (REQUEST,)) for n in range(5)))
    assert not blocked(decided, 2.0)


def test_a_success_in_between_clears_a_request():
    """Guards against a sound request that was unlucky with its endpoints."""
    decided = suspects(*((n, float(n), (REQUEST,)) for n in range(2)))
    decided.add_success(PartSuccess(REQUEST, 1.2, 1.5))
    decided.add_end(2.0, PartEnd(REQUEST, "i-2/0", 2.0, 1.7))
    assert not blocked(decided, 2.0)


def test_a_request_lost_with_another_one_that_ends_more_is_left_alone():
    """Guards against the neighbours of the request at fault."""
    ends = [(n, float(n), (REQUEST, OTHER)) for n in range(3)]
    decided = suspects(*ends, (3, 3.0, (REQUEST,)))
    assert blocked(decided, 4.0) == {REQUEST}


def test_two_requests_with_the_same_ends_are_both_blocked():
    """Guards against a fatal request that its neighbour hides."""
    decided = suspects(*((n, float(n), (OTHER, REQUEST)) for n in range(3)))
    assert blocked(decided, 3.0) == {OTHER, REQUEST}
    decided.part_blocked(4.0, OTHER, ("i-0/0", "i-1/0", "i-2/0"))
    assert decided.is_at_fault(4.0, REQUEST)
