"""Metrics of a sidecar, for ``/metrics``."""

from aioprometheus import Counter, Gauge, Histogram

from amaranthtally.wire import Load, StageReply

__all__ = ["SidecarMetrics"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 4.0)


class SidecarMetrics:
    """Counts calls by status; gauges are set when a scrape asks for them."""

    def __init__(self) -> None:
        self._calls = Counter("amaranthtally_calls_total", "Calls by status.")
        self._run_seconds = Histogram(
            "amaranthtally_call_seconds",
            "Time of a call at the endpoint.",
            buckets=list(LATENCY_BUCKETS_S),
        )
        self._load = {
            name: Gauge(f"amaranthtally_calls_{name}", f"Calls {name} now.")
            for name in ("running", "queued", "limit")
        }
        self._leaving = Gauge("amaranthtally_leaving", "1 while it takes no new work.")
        self._prefix_blocks = Gauge(
            "amaranthtally_prefix_blocks",
            "Blocks of prompts that the engine is taken to hold in its cache.",
        )

    def call_ended(self, reply: StageReply) -> None:
        """Count a call."""
        self._calls.inc({"status": reply.status.value})
        if reply.run_s:
            self._run_seconds.observe({}, reply.run_s)

    def refresh(self, load: Load, prefix_blocks: int) -> None:
        """Set the gauges."""
        self._load["running"].set({}, load.running)
        self._load["queued"].set({}, load.queued)
        self._load["limit"].set({}, load.limit)
        self._leaving.set({}, int(load.leaving))
        self._prefix_blocks.set({}, prefix_blocks)
