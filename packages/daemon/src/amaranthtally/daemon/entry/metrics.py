"""Metrics of an entry, for ``/metrics``."""

from aioprometheus import Counter, Gauge, Histogram

__all__ = ["EntryMetrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)


class EntryMetrics:
    """Counts what ended; gauges are set when a scrape asks for them."""

    def __init__(self) -> None:
        self._requests = Counter(
            "amaranthtally_requests_total", "Requests by pipeline and status."
        )
        self._seconds = Histogram(
            "amaranthtally_request_seconds",
            "Time from arrival to the end of a request, by pipeline.",
            buckets=list(LATENCY_BUCKETS_S),
        )
        self._attempts = Counter(
            "amaranthtally_attempts_total", "Ended attempts by stage and fate."
        )
        self._region_bytes = Counter(
            "amaranthtally_region_bytes_total",
            "Bytes sent to and received from endpoints of another region, by stage.",
        )
        self._in_flight = Gauge(
            "amaranthtally_requests_in_flight", "Requests admitted and not yet ended."
        )
        self._connected = Gauge(
            "amaranthtally_sidecars_connected", "Sidecars with an open connection."
        )

    def request_ended(self, pipeline: str, status: int, seconds: float) -> None:
        """Count a request by how it ended; refused ones count too."""
        self._requests.inc({"pipeline": pipeline, "status": str(status)})
        self._seconds.observe({"pipeline": pipeline}, seconds)

    def request_rejected(self, status: int) -> None:
        """Count a request that failed its checks; its path is not trusted."""
        self._requests.inc({"pipeline": "", "status": str(status)})

    def attempt_ended(self, stage: str, fate: str) -> None:
        """Count an attempt."""
        self._attempts.inc({"stage": stage, "fate": fate})

    def region_crossed(self, stage: str, size: int) -> None:
        """Count bytes that left the entry's region or came from another."""
        self._region_bytes.add({"stage": stage}, size)

    def refresh(self, in_flight: int, connected: int) -> None:
        """Set the gauges."""
        self._in_flight.set({}, in_flight)
        self._connected.set({}, connected)
