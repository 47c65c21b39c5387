"""Metrics of a gateway, for its metrics address."""

from collections import Counter as Tally
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram

__all__ = ["GatewayMetrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)


class _RequestLabels(NamedTuple):
    route: str
    status: str


class GatewayMetrics:
    """Counts what ended, cheaply; collectors are set when a scrape asks for them."""

    def __init__(self) -> None:
        self._request_tally: Tally[_RequestLabels] = Tally()
        self._requests = Counter(
            "amaranthtally_requests_total", "Requests by route and status."
        )
        self._seconds = Histogram(
            "amaranthtally_request_seconds",
            "Time from arrival to the end of a request, by route.",
            buckets=list(LATENCY_BUCKETS_S),
        )
        self._in_flight = Gauge(
            "amaranthtally_requests_in_flight", "Requests admitted and not yet ended."
        )

    def request_ended(self, route: str, status: int, seconds: float) -> None:
        """Count a request by how it ended; refused ones count too."""
        self._request_tally[_RequestLabels(route, str(status))] += 1
        self._seconds.observe({"route": route}, seconds)

    def request_rejected(self, status: int) -> None:
        """Count a request that failed its checks; its path is not trusted."""
        self._request_tally[_RequestLabels("", str(status))] += 1

    def refresh(self, in_flight: int) -> None:
        """Set every collector to what has been counted."""
        for request, count in self._request_tally.items():
            self._requests.set(request._asdict(), count)
        self._in_flight.set({}, in_flight)
