"""Endpoints that have said in their responses that they leave."""

from collections.abc import Mapping
from dataclasses import replace

from amaranthtally.policy.model import Endpoint

__all__ = ["LeavingEndpoints"]

# Most endpoints that are remembered; the earliest are forgotten first.
MAX_LEAVING = 4096


class LeavingEndpoints:
    """
    Starts of endpoints that leave, whatever their records say.

    A record may say so later, or never, and may be missing and come back. Only another
    start of the endpoint takes calls again.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Whether this start of an endpoint has said that it leaves."""
        return self._incarnations.get(endpoint.id) == endpoint.incarnation

    def add(self, endpoint: Endpoint) -> None:
        """Note that an endpoint leaves."""
        self._incarnations.pop(endpoint.id, None)
        self._incarnations[endpoint.id] = endpoint.incarnation
        if len(self._incarnations) > MAX_LEAVING:
            del self._incarnations[next(iter(self._incarnations))]

    def apply(self, endpoints: Mapping[str, Endpoint]) -> Mapping[str, Endpoint]:
        """Return the endpoints by id, those that leave as taking no calls."""
        leaving = {
            name: replace(endpoint, takes_calls=False)
            for name, incarnation in self._incarnations.items()
            if (endpoint := endpoints.get(name))
            and endpoint.takes_calls
            and endpoint.incarnation == incarnation
        }
        return {**endpoints, **leaving} if leaving else endpoints
