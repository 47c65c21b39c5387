"""Inner protocol between entries and sidecars: messages, codec, client, server."""

from amaranthtally.wire.client import SidecarClient, connect_sidecar
from amaranthtally.wire.connections import EntryConnections
from amaranthtally.wire.errors import (
    ChunkRefusedError,
    PeerLostError,
    ReplyMismatchError,
    WireError,
)
from amaranthtally.wire.messages import (
    CacheNews,
    CallId,
    ChunkHandler,
    ChunksHandler,
    Greeting,
    Inquiry,
    Load,
    ModelState,
    OnceTerms,
    SettingsGap,
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
    "CacheNews",
    "CallId",
    "ChunkHandler",
    "ChunkRefusedError",
    "ChunksHandler",
    "EntryConnections",
    "Greeting",
    "Inquiry",
    "Load",
    "ModelState",
    "OnceTerms",
    "PeerLostError",
    "ReplyMismatchError",
    "SettingsFetcher",
    "SettingsGap",
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
