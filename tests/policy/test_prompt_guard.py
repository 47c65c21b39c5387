"""Questions and answers about parts of prompts between entries."""

from amaranthtally.policy import (
    PartEnd,
    PartNotice,
    PartState,
    PeerGroup,
    PromptGuard,
    ReportSuccess,
    SpreadPartNotices,
)
from amaranthtally.policy.part_losses import EndpointStart
from amaranthtally.policy.pool_sites import Peer

PART = 0xA


def new_guard(name, *peers):
    group = PeerGroup()
    group.set_name(name)
    group.replace(0.0, [Peer(peer, "a") for peer in peers])
    return PromptGuard(group, lambda now, part: [])


def question_of(guard, now):
    """Return the question that an entry asks after two ends."""
    ends = [PartEnd(PART, f"i-{n}/0", now - 1.0 + n / 10, now - 2.0) for n in range(2)]
    guard.ends_reported(now, ends)
    spreads = [a for a in guard.tick(now) if isinstance(a, SpreadPartNotices)]
    (question,) = [n for spread in spreads for n in spread.notices]
    assert question.state is PartState.ASKED
    return question


def answers(guard, now, question):
    actions = guard.notices_received(now, [question])
    return [action for action in actions if isinstance(action, ReportSuccess)]


def test_an_entry_answers_a_question_once_and_only_if_it_knows_a_success():
    """Guards against answers to each copy of a question that is passed on."""
    asker, other = new_guard("a", "b"), new_guard("b", "a")
    question = question_of(asker, 10.0)
    assert not answers(new_guard("c", "a"), 10.1, question)
    other.attempt_succeeded(9.0, EndpointStart("i-9", 0), (PART,), 8.0, True)
    assert len(answers(other, 10.1, question)) == 1
    assert not answers(other, 10.2, question)


def test_an_entry_that_has_started_again_is_answered():
    """Guards against questions that are taken for those of before a restart."""
    other = new_guard("b", "a")
    other.attempt_succeeded(9.0, EndpointStart("i-9", 0), (PART,), 8.0, True)
    assert answers(other, 10.1, question_of(new_guard("a", "b"), 10.0))
    assert answers(other, 15.1, question_of(new_guard("a", "b"), 15.0))


def test_a_success_of_before_a_block_is_no_reason_to_lift_it():
    """Guards against a part that is let through for what it was before."""
    guard = new_guard("b", "a")
    guard.attempt_succeeded(9.0, EndpointStart("i-9", 0), (PART,), 8.0, True)
    block = PartNotice(PART, PartState.BLOCKED, 1, 9.5, ("i-1/0",))
    guard.notices_received(11.0, [block])
    assert guard.blocked_part((PART,)) == PART


def test_a_success_after_the_first_end_lifts_a_block():
    """Guards against a sound part that stays blocked although some entry knows it."""
    guard = new_guard("b", "a")
    guard.attempt_succeeded(11.0, EndpointStart("i-9", 0), (PART,), 10.0, True)
    block = PartNotice(PART, PartState.BLOCKED, 1, 9.5, ("i-1/0",))
    guard.notices_received(11.5, [block])
    assert guard.blocked_part((PART,)) is None
