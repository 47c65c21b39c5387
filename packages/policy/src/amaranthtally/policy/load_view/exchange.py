"""Exchanges load figures with other entries: in groups, and between their relays."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from amaranthtally.policy.actions import Action, ExchangeLoads
from amaranthtally.policy.load_messages import LoadFigures, LoadMessage
from amaranthtally.policy.load_view.contributions import (
    NO_CALLS,
    Contributions,
    Figures,
)
from amaranthtally.policy.load_view.groups import EntryGroups
from amaranthtally.policy.load_view.outbox import ChangeLog, Outbox, Sources
from amaranthtally.policy.load_view.partners import ByteBudget, Partner
from amaranthtally.policy.load_view.reports import KnownReport, Reports
from amaranthtally.policy.pool_sites import Peer

__all__ = ["LoadExchange", "LoadViewCounters"]

# Interval of exchanges within a region, and of those between regions, in seconds. A
# figure is outdated within about half a second, and is passed on up to three times.
INTERVAL_S = 0.1
REMOTE_INTERVAL_S = 0.25
# Time after which an entry is called although nothing has changed, in seconds.
RENEWAL_S = 1.0
# How long an answer is awaited, in seconds: longer than the time-out of a call between
# entries. One that cannot be decoded is neither an answer nor a failure, and its entry
# would never be called again.
LONGEST_ANSWER_S = 2.0
# Number of entries up to which the interval holds. Beyond, it grows with its square, as
# do the changes of all entries that a relay sends to each of its members.
ENTRIES_AT_INTERVAL = 45
MAX_INTERVAL_S = 0.5
# Number of entries beyond which nothing is exchanged. At 750 entries, each of 11,000
# endpoints changes three times a second, and a relay would have to send its members
# several times the 18 KB/s that an entry has for control.
MAX_ENTRIES = 96
# Name of the sender of what a relay answers.
RELAY = "relay"

NO_ACTIONS: list[Action] = []


@dataclass(slots=True)
class LoadViewCounters:
    """Totals since the start, of messages sent, of their bytes, and of failures."""

    messages: int = 0
    sent_bytes: int = 0
    failures: int = 0
    rejected: int = 0


class LoadExchange:
    """
    Sends this entry's own figures to others, and holds what they contribute.

    Time stamps are in seconds. ``own`` holds the figures of this entry, ``changes`` the
    endpoints whose figures or reports have changed; ``take_report`` takes the report of
    an endpoint that another entry has heard, and returns whether it is of use.
    """

    def __init__(
        self,
        incarnation: int,
        own: Mapping[int, Figures],
        reports: Reports,
        changes: ChangeLog,
        take_report: Callable[[int, KnownReport], bool],
    ) -> None:
        self._incarnation = incarnation
        self._own = own
        self._reports = reports
        self._changes = changes
        self._take_report = take_report
        self._counters = LoadViewCounters()
        self._groups = EntryGroups()
        # By sender: the figures of members of this group while this entry is its relay,
        # the sums of other groups by their relays, and what the own relay answers.
        self._members = Contributions()
        self._sums = Contributions()
        self._relayed = Contributions()
        self._called: dict[str, Partner] = {}
        self._callers: dict[str, Partner] = {}
        self._budget = ByteBudget()
        self._next_tick = 0.0
        self._interval_s = INTERVAL_S
        self._entry: tuple[str, str] = ("", "")
        self._peers: tuple[Peer, ...] = ()
        self._regions: Callable[[], Mapping[str, str]] = dict
        self._has_groups = False

    @property
    def counters(self) -> LoadViewCounters:
        """Totals since the start."""
        return self._counters

    @property
    def senders(self) -> int:
        """Number of entries and groups whose contributions are counted now."""
        return len(self._members) + len(self._sums) + len(self._relayed)

    def configure(self, name: str, data_centre: str) -> None:
        """Set the name and the data centre of this entry."""
        if (name, data_centre) != self._entry:
            self._entry = (name, data_centre)
            self._has_groups = False

    def places_changed(self, regions: Callable[[], Mapping[str, str]]) -> None:
        """Set what returns the region of each data centre with endpoints."""
        self._regions = regions
        self._has_groups = False

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Use this set of other live entries."""
        self._peers = tuple(peers)
        self._has_groups = False

    def forget(self, gone: Sequence[int]) -> None:
        """Drop what is known of endpoints that are no longer registered."""
        for contributions in (self._members, self._sums, self._relayed):
            contributions.forget(gone)
        for partner in (*self._called.values(), *self._callers.values()):
            partner.outbox.forget(gone)

    def others(self, now: float, key: int) -> tuple[Figures, float | None]:
        """Return the calls of others, and the age of what is known, in seconds."""
        heard_at = self._relayed.heard_at
        if heard_at is not None:
            # The relay heard of these calls up to one interval before it answered.
            return self._relayed.total(key), now - heard_at + self._interval_s
        heard_at = max(
            (at for at in (self._members.heard_at, self._sums.heard_at) if at),
            default=None,
        )
        members, sums = self._members.total(key), self._sums.total(key)
        figures = (members[0] + sums[0], members[1] + sums[1])
        if heard_at is None:
            return figures, None
        # Members call at each change: silence shows that nothing has changed, until
        # they should have renewed their figures.
        silent_s = max(0.0, now - heard_at - RENEWAL_S)
        return figures, silent_s + self._interval_s

    # Messages

    def tick(self, now: float) -> list[Action]:
        """Return the calls of other entries that are due."""
        if now < self._next_tick:
            return NO_ACTIONS
        self._next_tick = now + INTERVAL_S
        self._refresh(now)
        actions: list[Action] = []
        if len(self._peers) >= MAX_ENTRIES:
            return actions
        for name, group, interval_s in self._receivers(now):
            message = self._due_message(now, name, group, interval_s)
            if message is not None:
                actions.append(ExchangeLoads(name, message))
        return actions

    def received(self, now: float, sender: str, message: LoadMessage) -> LoadMessage:
        """Take another entry's figures; return those that it lacks."""
        self._refresh(now)
        self._groups.note_answer(sender)
        caller = self._callers.get(sender)
        if caller is None:
            caller = self._callers[sender] = Partner(Outbox(self._changes))
        caller.outbox.acknowledged(message.heard)
        own_group = self._groups.own_group
        if message.group and message.group == own_group:
            # Two entries take themselves for the relay of one group. Neither counts the
            # sums of the other, which may hold the same calls.
            return LoadMessage(self._incarnation, 1, 0, message.serial, own_group)
        into = self._sums if message.group else self._members
        source = message.group or sender
        self._take(now, into, source, sender, message, caller.outbox)
        heard = message.serial if into.serial_of(source) == message.serial else 0
        sources = self._to_relay() if message.group else self._to_member(sender)
        most = self._budget.most_figures(now)
        figures = caller.outbox.collect(now, sources, most)
        self._count_sent(figures)
        serial, base = caller.outbox.note_sent()
        group = own_group if message.group else ""
        return LoadMessage(self._incarnation, serial, base, heard, group, figures)

    def answered(self, now: float, peer: str, message: LoadMessage) -> None:
        """Take what an entry answers that this one has called."""
        self._refresh(now)
        partner = self._called.get(peer)
        if partner is None:
            return
        partner.awaited = False
        partner.outbox.acknowledged(message.heard)
        if message.group and message.group == self._groups.own_group:
            return
        into = self._sums if message.group else self._relayed
        source = message.group or RELAY
        self._take(now, into, source, peer, message, partner.outbox)
        taken = into.serial_of(source) == message.serial
        partner.heard = message.serial if taken else 0

    def failed(self, now: float, peer: str) -> None:
        """Note that an entry did not answer; another takes on its duty for a while."""
        partner = self._called.get(peer)
        if partner is not None:
            partner.awaited = False
            partner.outbox.reset()
            partner.heard = 0
        self._counters.failures += 1
        self._groups.note_failure(now, peer)

    # Figures

    def _own_figures(self, key: int) -> Figures:
        return self._own.get(key, NO_CALLS)

    def _group_sum(self, key: int) -> Figures:
        own, members = self._own.get(key, NO_CALLS), self._members.total(key)
        return own[0] + members[0], own[1] + members[1]

    def _to_member(self, name: str) -> Sources:
        """Return what a member of the group lacks: all calls but its own."""
        is_relay = not len(self._relayed)
        contributed = self._members.figures_of(name)

        def figures(key: int) -> Figures:
            calls, tokens = self._group_sum(key)
            sums = self._sums.total(key) if is_relay else NO_CALLS
            own = contributed.get(key, NO_CALLS)
            return calls + sums[0] - own[0], tokens + sums[1] - own[1]

        return Sources(figures, self._reports.find)

    def _to_relay(self) -> Sources:
        """Return what the relay of another group lacks: the sums of this group."""
        return Sources(self._group_sum, self._reports.find)

    # Receivers

    def _receivers(self, now: float) -> Iterable[tuple[str, str, float]]:
        """Yield the entries to call, the group to speak for, and the interval."""
        groups = self._groups
        own = groups.own_group
        relay = groups.relay(now, own)
        if relay:
            yield relay, "", self._interval_s
            return
        self._note(self._relayed.drop([RELAY]))
        region = groups.region_of_group(own) if own else ""
        for group in groups.names:
            other = "" if group == own else groups.relay(now, group)
            if other and groups.calls_first(other):
                is_near = groups.region_of_group(group) == region
                least_s = INTERVAL_S if is_near else REMOTE_INTERVAL_S
                yield other, group, max(least_s, self._interval_s)

    def _due_message(
        self, now: float, name: str, group: str, interval_s: float
    ) -> LoadMessage | None:
        """Return the message to an entry, ``None`` if none is due."""
        partner = self._called.get(name)
        if partner is None:
            partner = self._called[name] = Partner(Outbox(self._changes))
        silent_s = now - partner.called_at
        if partner.awaited and silent_s >= LONGEST_ANSWER_S:
            self.failed(now, name)
            return None
        if partner.awaited or silent_s < interval_s:
            return None
        sources = (
            self._to_relay()
            if group
            else Sources(self._own_figures, self._reports.find)
        )
        figures = partner.outbox.collect(now, sources, self._budget.most_figures(now))
        if not figures and silent_s < RENEWAL_S - INTERVAL_S:
            return None
        self._count_sent(figures)
        partner.awaited = True
        partner.called_at = now
        serial, base = partner.outbox.note_sent()
        speaks_for = self._groups.own_group if group else ""
        return LoadMessage(
            self._incarnation, serial, base, partner.heard, speaks_for, figures
        )

    def _count_sent(self, figures: tuple[LoadFigures, ...]) -> None:
        self._counters.sent_bytes += self._budget.take(len(figures))
        self._counters.messages += 1

    def _take(
        self,
        now: float,
        into: Contributions,
        source: str,
        via: str,
        message: LoadMessage,
        outbox: Outbox,
    ) -> None:
        changed = into.take(now, source, via, message)
        if changed is None:
            self._counters.rejected += 1
            return
        self._note(changed)
        for item in message.figures:
            if item.report is not None:
                report = self._reports.received(now, item.report)
                if report is not None and self._take_report(item.key, report):
                    outbox.note_heard(item.key, report)

    def _note(self, keys: Iterable[int]) -> None:
        self._changes.note(keys)

    def _refresh(self, now: float) -> None:
        # Ranking the entries of a large fleet takes milliseconds, which entries without
        # a pool that takes part need not spend.
        if not self._has_groups:
            self._has_groups = True
            self._update_groups()
        for contributions in (self._members, self._sums, self._relayed):
            self._note(contributions.expire(now))

    def _update_groups(self) -> None:
        regions = self._regions()
        name, data_centre = self._entry
        # Where a data centre has no endpoints, its entries form a region of their own.
        self._groups.configure(name, data_centre, lambda dc: regions.get(dc, dc))
        self._groups.replace(self._peers)
        names = {peer.name for peer in self._peers}
        self._note(self._members.keep(names))
        self._note(self._sums.keep(self._groups.names))
        self._called = {n: p for n, p in self._called.items() if n in names}
        self._callers = {n: p for n, p in self._callers.items() if n in names}
        self._interval_s = min(
            MAX_INTERVAL_S,
            INTERVAL_S * max(1.0, ((len(names) + 1) / ENTRIES_AT_INTERVAL) ** 2),
        )
