"""Metrics of a sidecar, for ``/metrics``."""

from aioprometheus import Counter, Gauge, Histogram

from amaranthtally.wire import Load, StageReply

__all__ = ["EndpointMetrics", "SidecarMetrics"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 4.0)


class SidecarMetrics:
    """The metrics of one process, for all of its endpoints."""

    def __init__(self) -> None:
        self.calls = Counter("amaranthtally_calls_total", "Calls by status.")
        self.run_seconds = Histogram(
            "amaranthtally_call_seconds",
            "Time of a call at the endpoint.",
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.load = {
            name: Gauge(f"amaranthtally_calls_{name}", f"Calls {name} now.")
            for name in ("running", "queued", "limit")
        }
        self.leaving = Gauge("amaranthtally_leaving", "1 while it takes no new work.")
        self.prefix_blocks = Gauge(
            "amaranthtally_prefix_blocks",
            "Blocks of prompts that the engine is taken to hold in its cache.",
        )


class EndpointMetrics:
    """
    The metrics of one endpoint; its gauges are updated at each scrape.

    ``labels`` distinguish the endpoints of a process; they are empty if there is
    only one endpoint.
    """

    def __init__(self, metrics: SidecarMetrics, labels: dict[str, str]) -> None:
        self._metrics = metrics
        self._labels = labels

    def call_ended(self, reply: StageReply) -> None:
        """Record a call's status and its time at the endpoint."""
        self._metrics.calls.inc({**self._labels, "status": reply.status.value})
        if reply.run_s:
            self._metrics.run_seconds.observe(self._labels, reply.run_s)

    def refresh(self, load: Load, prefix_blocks: int) -> None:
        """Update the gauges."""
        gauges = self._metrics.load
        gauges["running"].set(self._labels, load.running)
        gauges["queued"].set(self._labels, load.queued)
        gauges["limit"].set(self._labels, load.limit)
        self._metrics.leaving.set(self._labels, int(load.leaving))
        self._metrics.prefix_blocks.set(self._labels, prefix_blocks)
