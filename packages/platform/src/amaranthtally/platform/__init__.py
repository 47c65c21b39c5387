"""Clients of the platform: key-value service and list of hosts."""

from amaranthtally.platform.errors import (
    PlatformAnswerLost,
    PlatformDown,
    PlatformError,
)
from amaranthtally.platform.hosts import HostState, ListedHost, fetch_hosts
from amaranthtally.platform.key_value import (
    CALLER_HEADER,
    Entry,
    KeyValueClient,
    Listing,
    open_key_value,
)

__all__ = [
    "CALLER_HEADER",
    "Entry",
    "HostState",
    "KeyValueClient",
    "ListedHost",
    "Listing",
    "PlatformAnswerLost",
    "PlatformDown",
    "PlatformError",
    "fetch_hosts",
    "open_key_value",
]
