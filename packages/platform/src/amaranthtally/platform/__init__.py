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
from amaranthtally.platform.leases import HeldKey, LeaseClient

__all__ = [
    "CALLER_HEADER",
    "Entry",
    "HeldKey",
    "HostState",
    "KeyValueClient",
    "LeaseClient",
    "ListedHost",
    "Listing",
    "PlatformAnswerLost",
    "PlatformDown",
    "PlatformError",
    "fetch_hosts",
    "open_key_value",
]
