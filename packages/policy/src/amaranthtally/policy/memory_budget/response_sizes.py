"""
How large the responses of each route are expected to be.

Workload: slow readers of large documents beside short requests, on one entry.
"""

__all__ = ["ResponseSizes"]

# What is left of the expected size with each smaller response.
DECAY = 0.98


class ResponseSizes:
    """The largest recent size of each route's whole responses, in bytes."""

    def __init__(self) -> None:
        self._expected: dict[str, float] = {}

    def expected(self, route: str) -> int:
        """Return the expected size of a route's next response; 0 if none is known."""
        return int(self._expected.get(route, 0.0))

    def note(self, route: str, size: int) -> None:
        """Note the size of a response."""
        self._expected[route] = max(size, DECAY * self._expected.get(route, 0.0))
