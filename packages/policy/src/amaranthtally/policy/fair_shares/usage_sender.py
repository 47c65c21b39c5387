"""Chooses the entries to which an entry reports its usage."""

from amaranthtally.policy.actions import Action, SendUsage
from amaranthtally.policy.fair_shares.fair_shares import SEND_INTERVAL_S, FairShares
from amaranthtally.policy.fair_shares.peer_usage import REPORT_TTL_S
from amaranthtally.policy.peer_group import PAUSE_S, PeerGroup

__all__ = ["UsageSender"]

# Receivers of a report. A few keep the traffic between regions, which is billed, small;
# with a report in each interval an entry still hears sixteen others while theirs hold.
RECEIVERS = 4
# Intervals in which a report holds.
ROUNDS = int(REPORT_TTL_S / SEND_INTERVAL_S)


class UsageSender:
    """
    Sends reports to the other entries in turn.

    In a fleet too large to hear every entry before its report expires, an entry takes
    those that it hears for a sample of all.
    """

    def __init__(self, shares: FairShares, peers: PeerGroup) -> None:
        self._shares = shares
        self._peers = peers
        self._paused_until: dict[str, float] = {}

    @property
    def receivers(self) -> int:
        """Number of entries to which each report is sent."""
        return min(self._peers.size - 1, RECEIVERS)

    def tick(self, now: float) -> list[Action]:
        """Return the report that is due, and the changes to be logged."""
        if not self._shares.is_used:
            return []
        others = self._peers.size - 1
        if others:
            self._shares.set_sampled_part(min(1.0, ROUNDS * self.receivers / others))
        report = self._shares.usage_to_send(now)
        actions = self._shares.take_changes()
        if report is None or not others:
            return actions
        receivers = tuple(
            name
            for name in self._peers.next_receivers(self.receivers)
            if now >= self._paused_until.get(name, 0.0)
        )
        return [*actions, SendUsage(receivers, report)] if receivers else actions

    def not_received(self, now: float, peer: str) -> bool:
        """
        Leave out an entry for a while that did not take a report.

        Returns whether it was not left out before, and should be logged.
        """
        is_first = peer not in self._paused_until
        self._paused_until[peer] = now + PAUSE_S
        return is_first

    def received(self, peer: str) -> None:
        """Note that an entry has taken a report."""
        self._paused_until.pop(peer, None)
