"""Data centres that operators have evacuated."""

from collections.abc import Mapping
from dataclasses import replace

from amaranthtally.policy.model import Endpoint

__all__ = ["mark_evacuated"]


def mark_evacuated(
    endpoints: Mapping[str, Endpoint], data_centres: frozenset[str]
) -> Mapping[str, Endpoint]:
    """Return the endpoints by id; those in these data centres take no calls."""
    if not data_centres:
        return endpoints
    return {
        name: replace(endpoint, takes_calls=False, is_evacuated=True)
        if endpoint.data_centre in data_centres
        else endpoint
        for name, endpoint in endpoints.items()
    }
