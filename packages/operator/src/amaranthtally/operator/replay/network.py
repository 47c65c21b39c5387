"""Fake network with constant latencies and at most one isolated region."""

from amaranthtally.operator.replay.trace import EndpointPlan, LatencyPlan
from amaranthtally.simulator.clock import VirtualClock

__all__ = ["Network"]

CUT_DETECTION_S = 1.0


class Network:
    """
    Latency and reachability between entries and endpoints.

    An entry detects a cut after ``CUT_DETECTION_S`` seconds: on an open connection by
    a missing heartbeat, on a new connection by its time-out. Each region has one
    entry, in the region's first data centre.
    """

    def __init__(
        self,
        clock: VirtualClock,
        latency: LatencyPlan,
        entry_data_centres: dict[str, str],
    ) -> None:
        self._clock = clock
        self._latency = latency
        self._entry_data_centres = entry_data_centres
        self._cut_region = ""
        self._cut_at = 0.0

    @property
    def clock(self) -> VirtualClock:
        """The virtual clock."""
        return self._clock

    @property
    def is_cut_undetected(self) -> bool:
        """Whether a cut is too recent for entries to have detected it."""
        return self._clock.now < self._cut_at + CUT_DETECTION_S

    @property
    def detection_delay_s(self) -> float:
        """Seconds until the loss of a message sent now across the cut is detected."""
        if self.is_cut_undetected:
            return self._cut_at + CUT_DETECTION_S - self._clock.now
        return CUT_DETECTION_S

    def cut(self, region: str) -> None:
        """Isolate a region from the others; an empty name ends the isolation."""
        self._cut_region = region
        self._cut_at = self._clock.now

    def is_reachable(self, entry_region: str, endpoint: EndpointPlan) -> bool:
        """Whether a message between an entry and an endpoint arrives now."""
        if not self._cut_region:
            return True
        crosses_cut = (entry_region == self._cut_region) != (
            endpoint.region == self._cut_region
        )
        return not crosses_cut

    def delay_s(self, entry_region: str, endpoint: EndpointPlan) -> float:
        """Return the one-way latency in seconds."""
        if endpoint.region != entry_region:
            return self._latency.regions_s
        if endpoint.data_centre != self._entry_data_centres[entry_region]:
            return self._latency.data_centres_s
        return self._latency.same_data_centre_s
