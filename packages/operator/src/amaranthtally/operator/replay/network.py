"""Constant latencies between places, and a region that is cut off."""

from amaranthtally.operator.replay.trace import EndpointPlan, LatencyPlan
from amaranthtally.simulator.clock import VirtualClock

__all__ = ["Network"]

CUT_DETECTION_S = 1.0


class Network:
    """
    Says how long a message takes and whether it gets through.

    An entry notices a cut after ``CUT_DETECTION_S`` seconds, by a missing heartbeat on
    connections that stand and by the time-out of a new one. Each region has one
    entry, in its first data centre.
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
        """The clock that messages take their time on."""
        return self._clock

    @property
    def is_cut_undetected(self) -> bool:
        """Whether a cut is so new that connections across it seem to stand."""
        return self._clock.now < self._cut_at + CUT_DETECTION_S

    @property
    def detection_delay_s(self) -> float:
        """Seconds until a message sent now across the cut is known to be lost."""
        if self.is_cut_undetected:
            return self._cut_at + CUT_DETECTION_S - self._clock.now
        return CUT_DETECTION_S

    def cut(self, region: str) -> None:
        """Cut a region off from the others, or none when the name is empty."""
        self._cut_region = region
        self._cut_at = self._clock.now

    def is_reachable(self, entry_region: str, endpoint: EndpointPlan) -> bool:
        """Whether a message gets through now."""
        if not self._cut_region:
            return True
        across = (entry_region == self._cut_region) != (
            endpoint.region == self._cut_region
        )
        return not across

    def delay_s(self, entry_region: str, endpoint: EndpointPlan) -> float:
        """One-way latency in seconds."""
        if endpoint.region != entry_region:
            return self._latency.regions_s
        if endpoint.data_centre != self._entry_data_centres[entry_region]:
            return self._latency.data_centres_s
        return self._latency.same_data_centre_s
