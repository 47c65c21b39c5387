"""Server side of the sidecar protocol, and the capabilities that its peers offer."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any, Protocol, TypeVar

import capnp

from amaranthtally.wire.chunk_batcher import ChunkBatcher, SendParts
from amaranthtally.wire.codec import (
    read_call,
    read_call_id,
    read_load,
    read_terms,
    schema,
    write_load,
    write_reply,
)
from amaranthtally.wire.connections import EntryConnections
from amaranthtally.wire.errors import PeerLostError
from amaranthtally.wire.messages import (
    AtMostOnceTerms,
    CallId,
    ChunkHandler,
    HelloReply,
    Load,
    OutcomeQuery,
    SettingsDelta,
    StageCall,
    StageReply,
    StreamPart,
)
from amaranthtally.wire.peer_listener import (
    PeerConnection,
    PeerLimits,
    listen_for_peers,
    noting_calls,
)
from amaranthtally.wire.stream_codec import read_part, write_parts
from amaranthtally.wire.streams import OpenStreams

__all__ = [
    "LoadHandler",
    "SettingsFetcher",
    "SettingsSource",
    "SidecarHandler",
    "entry_server",
    "serve_sidecar",
    "settings_server",
]

ResultT = TypeVar("ResultT")


class SettingsSource(Protocol):
    """Provides the settings changes that a peer does not have yet."""

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return the changes after ``revision``, oldest first."""


# Receives a load that a sidecar pushes.
LoadHandler = Callable[[Load], None]
# Reads the settings changes after a revision from the peer of the connection.
SettingsFetcher = Callable[[int], Awaitable[SettingsDelta]]


class SidecarHandler(SettingsSource, Protocol):
    """Implements the requests that a sidecar receives."""

    def announce_revision(self, revision: int, fetch: SettingsFetcher) -> int:
        """Receive a peer's settings revision and return this process's revision."""

    async def hello(
        self, entry: str, revision: int, fetch: SettingsFetcher
    ) -> HelloReply:
        """Accept an entry; ``fetch`` reads the entry's settings changes."""

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a stage; pass streamed chunks to ``on_chunk``."""

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call, and refuse a copy of it that arrives later."""

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, query: OutcomeQuery
    ) -> StageReply:
        """Return the outcome of an at-most-once call."""

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Store a stopping peer's signed records; return whether they were stored."""

    def load(self) -> Load:
        """Return the current load."""


# Servers


class _SettingsServer(schema.SettingsPeer.Server):
    def __init__(self, source: SettingsSource) -> None:
        self._source = source

    async def changesSince(  # noqa: N802 - name fixed by the schema
        self, revision: int, _context: Any, **_: Any
    ) -> None:
        _write_settings_delta(_context.results, self._source.changes_since(revision))


class _EntryServer(schema.EntryPeer.Server):
    def __init__(
        self, source: SettingsSource, on_load: LoadHandler, streams: OpenStreams
    ) -> None:
        self._source = source
        self._on_load = on_load
        self._streams = streams

    async def loadChanged(  # noqa: N802 - name fixed by the schema
        self, load: Any, _context: Any, **_: Any
    ) -> None:
        self._on_load(read_load(load))

    async def chunks(self, parts: Any, _context: Any, **_: Any) -> None:
        for part in parts:
            self._streams.receive(read_part(part))

    async def changesSince(  # noqa: N802 - name fixed by the schema
        self, revision: int, _context: Any, **_: Any
    ) -> None:
        _write_settings_delta(_context.results, self._source.changes_since(revision))


@noting_calls
class _SidecarServer(schema.Sidecar.Server):
    def __init__(
        self,
        handler: SidecarHandler,
        connections: EntryConnections,
        connection: PeerConnection,
    ) -> None:
        self.connection = connection
        self._handler = handler
        self._connections = connections
        self._batcher: ChunkBatcher | None = None

    def disconnected(self) -> None:
        """Discard the chunks that are still to be sent: the connection has ended."""
        if self._batcher is not None:
            self._batcher.close()

    async def changesSince(  # noqa: N802 - name fixed by the schema
        self, revision: int, _context: Any, **_: Any
    ) -> None:
        _write_settings_delta(_context.results, self._handler.changes_since(revision))

    async def announce(
        self, revision: int, source: Any, _context: Any, **_: Any
    ) -> None:
        own_revision = self._handler.announce_revision(revision, _fetcher(source))
        _context.results.revision = own_revision

    async def hello(
        self, entry: str, revision: int, settings: Any, _context: Any, **_: Any
    ) -> None:
        reply = await _unless_cancelled(
            self._handler.hello(entry, revision, _fetcher(settings))
        )
        self._connections.hello_received(self, settings)
        self._batcher = ChunkBatcher(_part_sender(settings))
        _context.results.endpoint = reply.endpoint
        write_load(_context.results.load, reply.load)

    async def run(self, call: Any, stream: int, _context: Any, **_: Any) -> None:
        stage_call = read_call(call)
        reply = await _unless_cancelled(self._run(stage_call, stream))
        write_reply(_context.results.reply, reply)

    async def _run(self, call: StageCall, stream: int) -> StageReply:
        if self._batcher is None or not stream:
            return await self._handler.run(call, _ignore_chunk)
        with self._batcher.open(stream, call.id) as chunks:
            reply = await self._handler.run(call, chunks.put)
            await chunks.finish()
            return reply

    async def cancel(self, id: Any, _context: Any, **_: Any) -> None:  # noqa: A002
        reply = await _unless_cancelled(self._handler.cancel(read_call_id(id)))
        write_reply(_context.results.reply, reply)

    async def inquire(
        self,
        callKey: str,  # noqa: N803 - name fixed by the schema
        terms: Any,
        inquiry: Any,
        _context: Any,
        **_: Any,
    ) -> None:
        reply = await _unless_cancelled(
            self._handler.query_outcome(
                callKey, read_terms(terms), OutcomeQuery(str(inquiry))
            )
        )
        write_reply(_context.results.reply, reply)

    async def handOver(  # noqa: N802 - name fixed by the schema
        self, body: Any, signature: Any, _context: Any, **_: Any
    ) -> None:
        _context.results.taken = await _unless_cancelled(
            self._handler.hand_over(bytes(body), bytes(signature))
        )

    async def load(self, _context: Any, **_: Any) -> None:
        write_load(_context.results.load, self._handler.load())


def entry_server(
    source: SettingsSource, on_load: LoadHandler, streams: OpenStreams
) -> Any:
    """
    Return the capability that an entry gives to a sidecar.

    The sidecar reads the settings of ``source`` and sends loads and chunks through it.
    """
    return _EntryServer(source, on_load, streams)


async def _ignore_chunk(offset: int, text: str) -> None:
    """Discard a chunk of a call that does not stream."""


def settings_server(source: SettingsSource) -> Any:
    """Return the capability with which a peer reads ``source``."""
    return _SettingsServer(source)


def _part_sender(entry: Any) -> SendParts:
    def send(parts: Sequence[StreamPart]) -> Awaitable[object]:
        request = entry.chunks_request()
        write_parts(request, parts)
        acknowledgement: Awaitable[object] = request.send()
        return acknowledgement

    return send


async def _unless_cancelled(work: Awaitable[ResultT]) -> ResultT:
    """
    Return the result of ``work``; raise ``CancelledError`` if the call was cancelled.

    When a caller cancels its call, the call's result struct is freed, but pycapnp
    2.2.4 still writes to it if the method returns. The process then dies of SIGSEGV,
    and all of its calls and records are lost. A handler can return after the
    cancellation if it races with the handler's own time-out or completion. The
    task's count of cancellation requests shows this even if the handler caught the
    ``CancelledError``.
    """
    result = await work
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return result


def _fetcher(peer: Any) -> SettingsFetcher:
    async def fetch(after: int) -> SettingsDelta:
        try:
            return read_settings_delta(await peer.changesSince(after))
        except capnp.KjException as error:
            raise PeerLostError("settings peer", str(error).splitlines()[0]) from error

    return fetch


def _write_settings_delta(target: Any, delta: SettingsDelta) -> None:
    target.revision = delta.revision
    target.changes = list(delta.changes)
    target.snapshot = delta.snapshot


def read_settings_delta(source: Any) -> SettingsDelta:
    """Decode the reply of ``changesSince``."""
    changes = tuple(bytes(change) for change in source.changes)
    return SettingsDelta(source.revision, changes, bytes(source.snapshot))


@asynccontextmanager
async def serve_sidecar(
    handler: SidecarHandler,
    host: str,
    port: int,
    connections: EntryConnections | None = None,
    limits: PeerLimits | None = None,
) -> AsyncIterator[int]:
    """
    Serve ``handler`` over TCP and yield the bound port; port 0 picks a free one.

    Must run inside ``capnp.kj_loop()``. On exit the listening socket is closed and
    the open connections end.
    """
    open_connections = EntryConnections() if connections is None else connections

    async def serve(stream: Any, connection: PeerConnection) -> None:
        sidecar = _SidecarServer(handler, open_connections, connection)
        open_connections.connection_opened(sidecar)
        try:
            server = capnp.TwoPartyServer(stream, bootstrap=sidecar)
            await server.on_disconnect()
        finally:
            open_connections.connection_closed(sidecar)
            sidecar.disconnected()

    async with listen_for_peers(serve, host, port, limits or PeerLimits()) as bound:
        yield bound
