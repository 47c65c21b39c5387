"""Clients of the platform: key-value service and list of hosts."""

from amaranthtally.platform.errors import (
    PlatformAnswerLost,
    PlatformDown,
    PlatformError,
    PlatformHistoryGone,
)
from amaranthtally.platform.hosts import HostList, HostState
from amaranthtally.platform.key_value import (
    CALLER_HEADER,
    Entry,
    KeyValueClient,
    Listing,
    open_key_value,
)
from amaranthtally.platform.leases import HeldKey, LeaseClient
from amaranthtally.platform.store import StoreClient, StoreTransfer, open_store

__all__ = [
    "CALLER_HEADER",
    "Entry",
    "HeldKey",
    "HostList",
    "HostState",
    "KeyValueClient",
    "LeaseClient",
    "Listing",
    "PlatformAnswerLost",
    "PlatformDown",
    "PlatformError",
    "PlatformHistoryGone",
    "StoreClient",
    "StoreTransfer",
    "open_key_value",
    "open_store",
]
