"""Clients of the platform: key-value service, store, leases and list of hosts."""

from amaranthtally.platform.call_bounds import (
    CallTrace,
    ConnectionUse,
    MalformedHeadError,
    ResponseLimitError,
    response_bounds,
)
from amaranthtally.platform.errors import (
    PlatformError,
    PlatformHistoryCompacted,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from amaranthtally.platform.hosts import HostList, HostState
from amaranthtally.platform.key_value import (
    CALLER_HEADER,
    KeyValueClient,
    KeyValueEntry,
    Listing,
    decode_entry,
    open_key_value,
)
from amaranthtally.platform.leases import LeaseClient, VersionedValue
from amaranthtally.platform.reception import Reception
from amaranthtally.platform.sessions import (
    bounded_connector,
    bounded_session,
    read_body,
)
from amaranthtally.platform.store import StoreClient, StoreTransfer, open_store

__all__ = [
    "CALLER_HEADER",
    "CallTrace",
    "ConnectionUse",
    "KeyValueEntry",
    "VersionedValue",
    "HostList",
    "HostState",
    "KeyValueClient",
    "LeaseClient",
    "Listing",
    "MalformedHeadError",
    "PlatformOutcomeUnknown",
    "PlatformUnavailable",
    "PlatformError",
    "PlatformHistoryCompacted",
    "Reception",
    "ResponseLimitError",
    "StoreClient",
    "StoreTransfer",
    "bounded_connector",
    "bounded_session",
    "decode_entry",
    "open_key_value",
    "open_store",
    "read_body",
    "response_bounds",
]
