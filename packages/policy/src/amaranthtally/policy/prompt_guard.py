"""
Keeps requests away from endpoints if they, or a part of their prompts, end each one.

Entries report to two of them, chosen by hash, which requests were lost with
endpoints. These decide from the reports of all which part is at fault, ask all whether
they know better, and have it blocked everywhere. A request as a whole counts like a
part: it may have no other that tells it apart, and comes again under other ids.
"""

from collections.abc import Callable, Iterable, Mapping
from math import inf

from amaranthtally.policy.actions import (
    Action,
    CheckEndpoint,
    PartChanged,
    ReportEnds,
    ReportSuccess,
    SpreadPartNotices,
)
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.part_losses import EndpointStart, PartEnd, PartLosses
from amaranthtally.policy.part_notices import BlockedParts, PartNotice, PartState
from amaranthtally.policy.part_successes import PartKey, PartSuccess
from amaranthtally.policy.peer_group import REPEAT_INTERVAL_S, PeerGroup
from amaranthtally.policy.request_key import RequestKey
from amaranthtally.policy.suspect_parts import SuspectParts

__all__ = ["PromptGuard"]

# Number of entries that decide on parts, in case one fails, and the key of this duty.
AGGREGATORS = 2
AGGREGATOR_KEY = "prompts"
EXPIRY_INTERVAL_S = 1.0
# Most questions of other entries that are remembered, to answer each only once.
MAX_QUESTIONS = 1024
# Questions are numbered by time, with this many numbers a second.
QUESTIONS_PER_S = 1000
# For how long after a report decisions may be due, in seconds.
DECIDING_S = 2.5
# Interval between decisions, in seconds. Thousands of requests may be suspect when many
# endpoints fail.
DECISION_INTERVAL_S = 0.05
# Least time between two checks of an endpoint that loses attempts, in seconds.
CHECK_INTERVAL_S = 0.25

OnBlocked = Callable[[float, PartKey], list[Action]]


class PromptGuard:
    """The parts of prompts that are blocked, and what leads to it, at one entry."""

    def __init__(self, peers: PeerGroup, on_blocked: OnBlocked) -> None:
        self._peers = peers
        self._on_blocked = on_blocked
        self._losses = PartLosses()
        self._suspects = SuspectParts()
        self._parts = BlockedParts()
        self._questions: dict[tuple[str, PartKey, int], None] = {}
        self._question_serial = 0
        self._aggregators: tuple[str, ...] = ()
        self._decide_at = 0.0
        self._repeat_at = 0.0
        self._expire_at = 0.0
        self._reported_at = -inf
        self._checked_at: dict[str, float] = {}

    @property
    def blocked_count(self) -> int:
        """Number of parts that are blocked."""
        return len(self._parts.blocked) - self.blocked_requests

    @property
    def blocked_requests(self) -> int:
        """Number of requests that are blocked."""
        return sum(isinstance(part, RequestKey) for part in self._parts.blocked)

    @property
    def notices(self) -> tuple[PartNotice, ...]:
        """All notices that are held."""
        return self._parts.notices

    def is_deciding(self, now: float) -> bool:
        """Whether ends were reported so shortly before that a decision may be due."""
        return now - self._reported_at < DECIDING_S

    # Requests

    def blocked_part(self, parts: Iterable[PartKey]) -> PartKey | None:
        """Return the first part that is blocked, or ``None``."""
        if not self._parts.blocked:
            return None
        return next((part for part in parts if part in self._parts.blocked), None)

    def take_trial(self, now: float, part: PartKey) -> bool:
        """Whether a request with a blocked part may be sent as a trial."""
        if self._peers.responsible(now, AGGREGATOR_KEY):
            return False
        return self._parts.take_trial(now, part)

    def wait_s(self, now: float, part: PartKey) -> float:
        """Return the seconds until a request with a blocked part may be tried."""
        return self._parts.wait_s(now, part)

    def attempt_lost(
        self,
        now: float,
        endpoint: EndpointStart,
        parts: Iterable[PartKey],
        sent_at: float,
        was_accepted: bool = True,
    ) -> list[Action]:
        """
        Note that the connection of an attempt was lost before its response ended.

        Unless it ``was_accepted``, the endpoint may have had too many connections.
        """
        self._losses.attempt_lost(now, endpoint, parts, sent_at)
        if not was_accepted:
            return []
        if now - self._checked_at.get(endpoint.id, -inf) < CHECK_INTERVAL_S:
            return []
        self._checked_at[endpoint.id] = now
        return [CheckEndpoint(endpoint.id)]

    def lost_at(self, endpoint: str) -> float | None:
        """Return when connections to an endpoint were lost, if it may have ended."""
        return self._losses.lost_at(endpoint)

    def attempt_succeeded(
        self,
        now: float,
        endpoint: EndpointStart,
        parts: Iterable[PartKey],
        sent_at: float,
        is_framed: bool,
    ) -> list[Action]:
        """Note a complete response."""
        return self._count(
            now,
            self._losses.attempt_succeeded(now, endpoint, parts, sent_at, is_framed),
        )

    def endpoint_unreachable(self, now: float, endpoint: str) -> list[Action]:
        """Note that an endpoint refuses connections, or closes each at once."""
        return self._report(now, self._losses.endpoint_unreachable(now, endpoint))

    def endpoints_changed(
        self, now: float, endpoints: Mapping[str, Endpoint]
    ) -> list[Action]:
        """Note which endpoints are registered."""
        return self._report(now, self._losses.endpoints_changed(now, endpoints))

    # Entries

    def peers_changed(self, now: float) -> list[Action]:
        """Report to those that decide now, and pass on to new entries what is known."""
        actions: list[Action] = []
        aggregators = self._peers.first(now, AGGREGATOR_KEY, AGGREGATORS)
        if aggregators != self._aggregators:
            self._aggregators = aggregators
            actions += self._report(now, self._losses.ends(now))
        newcomers = self._peers.newcomers
        if newcomers and len(self._parts):
            actions.append(SpreadPartNotices(newcomers, self._parts.notices))
        return actions

    def not_reported(self, now: float, peer: str) -> list[Action]:
        """Report to another entry what one that did not answer was to be told."""
        self._peers.note_failure(now, peer)
        return self._report(now, self._losses.ends(now))

    def ends_reported(self, now: float, ends: Iterable[PartEnd]) -> None:
        """Handle the ends that an entry reports; what follows is due at the ticks."""
        self._reported_at = now
        for end in ends:
            self._suspects.add_end(now, end)
            success = self._losses.success(now, end.part)
            if success is not None:
                self._suspects.add_success(success)

    def successes_reported(self, successes: Iterable[PartSuccess]) -> None:
        """Handle the successes that an entry reports, as it was asked."""
        for success in successes:
            self._suspects.add_success(success)

    def notices_received(
        self, now: float, notices: Iterable[PartNotice]
    ) -> list[Action]:
        """Handle notices of another entry; pass on what is new."""
        actions: list[Action] = []
        newer = []
        for notice in notices:
            if notice.state is PartState.ASKED:
                if self._is_new_question(notice):
                    newer.append(notice)
                    actions += self._answer(now, notice)
            elif self._parts.put(now, notice):
                newer.append(notice)
                actions += self._apply(now, notice, is_own=False)
        return [*actions, *self._spread(tuple(newer))]

    def tick(self, now: float) -> list[Action]:
        """Ask about parts, block those at fault, and repeat notices to peers."""
        actions = self._count(now, self._losses.tick(now))
        if now >= self._decide_at:
            self._decide_at = now + DECISION_INTERVAL_S
            actions += self._decide(now)
        if len(self._parts) and now >= self._repeat_at:
            self._repeat_at = now + REPEAT_INTERVAL_S
            receivers = self._peers.repeat_receivers()
            if receivers:
                actions.append(SpreadPartNotices(receivers, self._parts.notices))
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_S
            self._suspects.expire(now)
            self._parts.expire(now)
            self._suspects.keep_blocked(self._parts.blocked)
            self._checked_at = {
                name: at
                for name, at in self._checked_at.items()
                if now - at < CHECK_INTERVAL_S
            }
        return actions

    # Decisions

    def _decide(self, now: float) -> list[Action]:
        asked = self._suspects.due_questions(now)
        actions = self._spread(tuple(self._question(now, part) for part in asked))
        for part in self._suspects.due_blocks(now):
            actions += self._block(now, part)
        return actions

    def _question(self, now: float, part: PartKey) -> PartNotice:
        # Entries answer each question of an entry once. One that has started again must
        # not repeat the numbers of before, or nobody would answer it.
        self._question_serial = max(
            self._question_serial + 1, int(now * QUESTIONS_PER_S)
        )
        since = self._suspects.ends_of(part)[0].lost_at
        question = PartNotice(
            part,
            PartState.ASKED,
            self._question_serial,
            since,
            author=self._peers.name,
        )
        self._is_new_question(question)
        return question

    def _block(self, now: float, part: PartKey) -> list[Action]:
        # The block of another part may have explained its ends meanwhile.
        if part in self._parts.blocked or not self._suspects.is_at_fault(now, part):
            return []
        ends = self._suspects.ends_of(part)
        notice = self._parts.next_notice(
            part, PartState.BLOCKED, ends[0].lost_at, (end.endpoint for end in ends)
        )
        self._parts.put(now, notice)
        return [*self._apply(now, notice, is_own=True), *self._spread((notice,))]

    def _apply(self, now: float, notice: PartNotice, *, is_own: bool) -> list[Action]:
        actions: list[Action] = [PartChanged(notice, is_own)]
        if notice.state is not PartState.BLOCKED:
            self._suspects.part_cleared(notice.part)
            return actions
        self._suspects.part_blocked(now, notice.part, notice.ends)
        success = self._losses.success(now, notice.part)
        if success is not None and success.sent_at > notice.since:
            return [*actions, *self._clear(now, notice.part)]
        return [*actions, *self._on_blocked(now, notice.part)]

    def _clear(self, now: float, part: PartKey) -> list[Action]:
        notice = self._parts.next_notice(part, PartState.CLEARED, now)
        self._parts.put(now, notice)
        self._suspects.part_cleared(part)
        return [PartChanged(notice, is_own=True), *self._spread((notice,))]

    def _count(self, now: float, successes: Iterable[PartSuccess]) -> list[Action]:
        actions: list[Action] = []
        for success in successes:
            self._suspects.add_success(success)
            blocked = self._parts.find(success.part)
            is_blocked = blocked is not None and blocked.state is PartState.BLOCKED
            if blocked and is_blocked and success.sent_at > blocked.since:
                actions += self._clear(now, success.part)
        return actions

    def _answer(self, now: float, question: PartNotice) -> list[Action]:
        success = self._losses.success(now, question.part)
        if success is None or not question.author:
            return []
        return [ReportSuccess(question.author, (success,))]

    def _report(self, now: float, ends: Iterable[PartEnd]) -> list[Action]:
        reported = tuple(ends)
        if not reported:
            return []
        actions: list[Action] = []
        for aggregator in self._peers.first(now, AGGREGATOR_KEY, AGGREGATORS):
            if aggregator == self._peers.name:
                self.ends_reported(now, reported)
            else:
                actions.append(ReportEnds(aggregator, reported))
        return actions

    def _spread(self, notices: tuple[PartNotice, ...]) -> list[Action]:
        receivers = self._peers.receivers() if notices else ()
        return [SpreadPartNotices(receivers, notices)] if receivers else []

    def _is_new_question(self, question: PartNotice) -> bool:
        key = (question.author, question.part, question.serial)
        if key in self._questions:
            return False
        self._questions[key] = None
        if len(self._questions) > MAX_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        return True
