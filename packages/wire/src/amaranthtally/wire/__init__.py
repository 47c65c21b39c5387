"""Protocol between entries and sidecars: messages, codec, client and server."""

from amaranthtally.wire.client import SidecarClient, connect_sidecar
from amaranthtally.wire.connections import EntryConnections
from amaranthtally.wire.errors import (
    ChunkRefusedError,
    MethodUnknownError,
    PeerLostError,
    ReplyMismatchError,
    WireError,
)
from amaranthtally.wire.messages import (
    AtMostOnceTerms,
    CacheUpdate,
    CallId,
    ChunkHandler,
    ChunksHandler,
    HelloReply,
    Load,
    ModelState,
    OutcomeQuery,
    SettingsDelta,
    StageCall,
    StageReply,
    Status,
)
from amaranthtally.wire.server import (
    SettingsFetcher,
    SettingsSource,
    SidecarHandler,
    serve_sidecar,
)

__all__ = [
    "AtMostOnceTerms",
    "CacheUpdate",
    "CallId",
    "ChunkHandler",
    "ChunkRefusedError",
    "ChunksHandler",
    "EntryConnections",
    "HelloReply",
    "MethodUnknownError",
    "Load",
    "ModelState",
    "OutcomeQuery",
    "PeerLostError",
    "ReplyMismatchError",
    "SettingsDelta",
    "SettingsFetcher",
    "SettingsSource",
    "SidecarClient",
    "SidecarHandler",
    "StageCall",
    "StageReply",
    "Status",
    "WireError",
    "connect_sidecar",
    "serve_sidecar",
]
