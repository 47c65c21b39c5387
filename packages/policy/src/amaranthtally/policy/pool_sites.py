"""
Ownership and load of pool sites.

A pool site is the set of a pool's endpoints in one data centre. One entry, the site's
owner, calls these endpoints on behalf of all entries.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_servers import speed_weight
from amaranthtally.policy.rendezvous import rendezvous_weight

__all__ = ["CROSSING_S_PER_BYTE", "NO_ROOM_WAITS", "Peer", "PoolSites"]

# Penalty for running a stage outside the entry's own data centre or region, in seconds
# of waiting time: the network delay, and the cost of the traffic for the results.
OTHER_REGION_S = 0.05
OTHER_CENTRE_S = 0.02
# Extra waiting time accepted for each byte that then crosses no link, in seconds. For a
# result of 1.5 MB this is 0.45 s. At the users' prices, that traffic costs a thirtieth
# of the request that reads the result, and a third of the cheapest such request.
CROSSING_S_PER_BYTE = 0.3e-6
# The share of a request's spare time that may be used for this extra wait.
SPARED_SHARE = 0.25
# How long a site where a call failed is avoided, in seconds; each failure in a row
# doubles it up to the longest. An endpoint that restarts is down for a few seconds.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# How long no jobs are submitted to a peer that did not answer, in seconds.
PEER_PAUSE_S = 3.0

NO_SAVED_BYTES: Mapping[str, float] = {}
NO_ROOM_WAITS: Mapping[str, float] = {}


@dataclass(frozen=True, slots=True)
class Peer:
    """Another live entry."""

    name: str
    data_centre: str


@dataclass(slots=True)
class _Wait:
    """A wait that was reported at a time stamp; it shrinks as time passes."""

    wait_s: float = 0.0
    reported_at: float = 0.0

    def remaining_s(self, now: float) -> float:
        return max(0.0, self.wait_s - (now - self.reported_at))


@dataclass(slots=True)
class _Site:
    waits: dict[int, _Wait] = field(default_factory=dict)
    slowdown_s: float = 0.0
    slowdown_reported_at: float = 0.0
    paused_until: float = 0.0
    failures: int = 0


class PoolSites:
    """
    Determines the owner of each pool site, and tracks how long pieces wait there.

    Owners are found by rendezvous hashing, without communication: each entry ranks the
    live entries for a site by a hash, those in the site's data centre first, and takes
    the first as owner. Entries that disagree about which entries are alive may use
    different owners for some time. Pieces may safely be computed twice, so this costs
    only efficiency.
    """

    def __init__(self) -> None:
        self._name = ""
        self._region = ""
        self._data_centre = ""
        self._peers: dict[str, Peer] = {}
        # The entries ranked for each site, until the set of entries changes. With many
        # entries, ranking them for each piece would be most of the work for the piece.
        self._ranked: dict[tuple[str, str], list[Peer]] = {}
        self._leaving = False
        self._peer_paused_until: dict[str, float] = {}
        self._sites: dict[tuple[str, str], _Site] = {}

    def configure(self, name: str, region: str, data_centre: str) -> None:
        """Set this entry's own name, region and data centre."""
        if (name, data_centre) != (self._name, self._data_centre):
            self._ranked.clear()
        self._name = name
        self._region = region
        self._data_centre = data_centre

    def replace_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the set of other live entries."""
        self._peers = {peer.name: peer for peer in peers if peer.name != self._name}
        self._ranked.clear()

    @property
    def is_leaving(self) -> bool:
        """Whether this entry is shutting down."""
        return self._leaving

    def leave(self) -> None:
        """Give up ownership of all sites, as this entry is shutting down."""
        self._leaving = True

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return the name of a site's owner, empty if it is this entry."""
        for peer in self._ranked_entries(pool, data_centre):
            if peer.name == self._name:
                if not self._leaving:
                    return ""
            elif not self._is_paused(now, peer.name):
                return peer.name
        return ""

    def peer_failed(self, now: float, peer: str) -> None:
        """Submit no jobs to a peer for a while, or until it is known to be back."""
        self._peer_paused_until[peer] = now + PEER_PAUSE_S

    def peer_recovered(self, peer: str) -> None:
        """
        Submit jobs to a peer again, as it answers and is ready.

        After a loss of power, the first entry to start finds the ports of the others
        closed, although they are up 0.1 s later. When it kept avoiding them, two
        entries called each endpoint for three to six seconds, their calls found no room
        for results, and a quarter of the requests of the next ten seconds were late.
        """
        self._peer_paused_until.pop(peer, None)

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live peers that no jobs are submitted to, as they failed."""
        return frozenset(name for name in self._peers if self._is_paused(now, name))

    def distance_penalty_s(self, endpoint: Endpoint) -> float:
        """Return the penalty for running a stage at an endpoint, in seconds."""
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return OTHER_CENTRE_S if endpoint.region == self._region else OTHER_REGION_S

    # Waits

    def update_wait(
        self,
        now: float,
        pool: str,
        data_centre: str,
        wait_s: float,
        slowdown_s: float = 0.0,
        rank: int = 0,
    ) -> None:
        """
        Record how long pieces of a rank wait at a site, and that the site works.

        The waits of more urgent ranks are lowered to ``wait_s`` and those of less
        urgent ranks raised to it, as pieces are served in order of rank.

        ``slowdown_s`` is how much longer than usual a call takes there. It is kept
        apart from the wait, since a queue shrinks while there is no report, but a slow
        endpoint stays slow. When both were one figure, a slow site looked free a second
        after each of its calls and was always busy.
        """
        site = self._site(pool, data_centre)
        for known_rank, wait in site.waits.items():
            remaining_s = wait.remaining_s(now)
            if (known_rank < rank and remaining_s > wait_s) or (
                known_rank > rank and remaining_s < wait_s
            ):
                site.waits[known_rank] = _Wait(wait_s, now)
        site.waits[rank] = _Wait(wait_s, now)
        site.slowdown_s = slowdown_s
        site.slowdown_reported_at = now
        site.failures = 0

    def note_submitted(
        self, now: float, pool: str, data_centre: str, added_s: float, rank: int = 0
    ) -> None:
        """Add a submitted piece to the waits, until the site's next report."""
        site = self._site(pool, data_centre)
        site.waits.setdefault(rank, _Wait(self._queue_s(now, site, rank), now))
        for known_rank, wait in site.waits.items():
            if known_rank >= rank:
                site.waits[known_rank] = _Wait(wait.remaining_s(now) + added_s, now)

    def note_failure(self, now: float, pool: str, data_centre: str) -> None:
        """Avoid a site for a while, as a call failed there."""
        site = self._site(pool, data_centre)
        if now < site.paused_until:
            return
        site.paused_until = now + min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**site.failures)
        site.failures += 1

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int = 0) -> float:
        """Return how much later than at an idle site a piece is done, in seconds."""
        site = self._site(pool, data_centre)
        slowdown_s = site.slowdown_s * speed_weight(now - site.slowdown_reported_at)
        return self._queue_s(now, site, rank) + slowdown_s

    def best_data_centre(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        saved_bytes: Mapping[str, float] = NO_SAVED_BYTES,
        spare_s: float = 0.0,
        rank: int = 0,
        room_waits_s: Mapping[str, float] = NO_ROOM_WAITS,
    ) -> str | None:
        """
        Return the data centre in which to run a stage, ``None`` without candidates.

        ``candidates`` maps each data centre with endpoints of the pool to one of them.
        ``saved_bytes`` maps a data centre to the bytes that cross no link if the stage
        runs there: the inputs stored there, and the results read there later. The more
        time the request can spare, the longer it may wait to save that traffic.
        ``room_waits_s`` maps a data centre to the time until its endpoints have room
        for a result, in seconds.
        """
        most_extra_s = SPARED_SHARE * max(0.0, spare_s)
        open_sites = {
            name: endpoint
            for name, endpoint in candidates.items()
            if now >= self._site(pool, name).paused_until
        } or candidates
        return min(
            open_sites,
            key=lambda name: (
                max(self.wait_s(now, pool, name, rank), room_waits_s.get(name, 0.0))
                + self.distance_penalty_s(open_sites[name])
                - min(most_extra_s, CROSSING_S_PER_BYTE * saved_bytes.get(name, 0.0))
            ),
            default=None,
        )

    def _queue_s(self, now: float, site: _Site, rank: int) -> float:
        """Return the wait of a rank, or of the closest more urgent rank recorded."""
        known_rank = max((r for r in site.waits if r <= rank), default=None)
        return 0.0 if known_rank is None else site.waits[known_rank].remaining_s(now)

    def _ranked_entries(self, pool: str, data_centre: str) -> list[Peer]:
        """Return all entries for a site, those in its data centre first, by hash."""
        ranked = self._ranked.get((pool, data_centre))
        if ranked is None:
            key = f"{pool}/{data_centre}"
            ranked = sorted(
                [*self._peers.values(), Peer(self._name, self._data_centre)],
                key=lambda peer: (
                    peer.data_centre != data_centre,
                    rendezvous_weight(peer.name, key),
                ),
            )
            self._ranked[pool, data_centre] = ranked
        return ranked

    def _is_paused(self, now: float, peer: str) -> bool:
        return now < self._peer_paused_until.get(peer, 0.0)

    def _site(self, pool: str, data_centre: str) -> _Site:
        return self._sites.setdefault((pool, data_centre), _Site())
