"""Short names of endpoints in messages between entries."""

from collections.abc import Iterator, Mapping
from zlib import crc32

from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointKeys"]


class EndpointKeys:
    """
    The endpoints by their keys of 32 bits, which all entries derive alike.

    A key stands for one start of an endpoint, so that figures of a server that was
    replaced under its address are not taken for those of the new one. Endpoints whose
    keys are equal have none: with 11,000 endpoints two share a key once in 70 fleets.
    """

    def __init__(self, endpoints: Mapping[str, Endpoint]) -> None:
        self._keys: dict[str, int] = {}
        self._endpoints: dict[int, Endpoint] = {}
        ambiguous = set()
        for endpoint in endpoints.values():
            key = crc32(f"{endpoint.id}/{endpoint.incarnation}".encode())
            if key in self._endpoints:
                ambiguous.add(key)
            self._keys[endpoint.id] = key
            self._endpoints[key] = endpoint
        for key in ambiguous:
            del self._endpoints[key]
        if ambiguous:
            self._keys = {n: k for n, k in self._keys.items() if k not in ambiguous}

    def __len__(self) -> int:
        return len(self._endpoints)

    def __iter__(self) -> Iterator[int]:
        return iter(self._endpoints)

    def __contains__(self, key: int) -> bool:
        return key in self._endpoints

    def key_of(self, endpoint: str) -> int | None:
        """Return the key of an endpoint, ``None`` if it has none."""
        return self._keys.get(endpoint)

    def find(self, key: int) -> Endpoint | None:
        """Return the endpoint with a key, or ``None``."""
        return self._endpoints.get(key)
