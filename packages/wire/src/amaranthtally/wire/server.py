"""Server side of the inner protocol, run by a sidecar."""

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

AnswerT = TypeVar("AnswerT")


class SettingsSource(Protocol):
    """Whoever can tell a peer the changes it lacks."""

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return the changes after ``revision``, oldest first."""


# Receives the load that a sidecar tells unasked.
LoadHandler = Callable[[Load], None]
# Reads, from the peer at the other end, its changes after a revision.
SettingsFetcher = Callable[[int], Awaitable[SettingsDelta]]


class SidecarHandler(SettingsSource, Protocol):
    """What a sidecar does with the calls of an entry."""

    def announce_revision(self, revision: int, fetch: SettingsFetcher) -> int:
        """Hear of a peer's revision and return one's own."""

    async def hello(
        self, entry: str, revision: int, fetch: SettingsFetcher
    ) -> HelloReply:
        """Greet an entry; ``fetch`` reads the changes that the entry has."""

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a stage; streamed chunks go to ``on_chunk``."""

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call; a tombstone refuses a copy that arrives later."""

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, inquiry: OutcomeQuery
    ) -> StageReply:
        """Say what became of a call that may not be repeated."""

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Take a stopping peer's signed records; false where they are not kept."""

    def load(self) -> Load:
        """Return the present load."""


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
            self._streams.take(read_part(part))

    async def changesSince(  # noqa: N802 - name fixed by the schema
        self, revision: int, _context: Any, **_: Any
    ) -> None:
        _write_settings_delta(_context.results, self._source.changes_since(revision))


class _SidecarServer(schema.Sidecar.Server):
    def __init__(self, handler: SidecarHandler, connections: EntryConnections) -> None:
        self._handler = handler
        self._connections = connections
        self._joiner: ChunkBatcher | None = None

    def end(self) -> None:
        """Drop the chunks that can't be sent any more."""
        if self._joiner is not None:
            self._joiner.close()

    async def changesSince(  # noqa: N802 - name fixed by the schema
        self, revision: int, _context: Any, **_: Any
    ) -> None:
        _write_settings_delta(_context.results, self._handler.changes_since(revision))

    async def announce(
        self, revision: int, source: Any, _context: Any, **_: Any
    ) -> None:
        own = self._handler.announce_revision(revision, _fetcher(source))
        _context.results.revision = own

    async def hello(
        self, entry: str, revision: int, settings: Any, _context: Any, **_: Any
    ) -> None:
        greeting = await _if_wanted(
            self._handler.hello(entry, revision, _fetcher(settings))
        )
        self._connections.greeted(self, settings)
        self._joiner = ChunkBatcher(_parts_sender(settings))
        _context.results.endpoint = greeting.endpoint
        write_load(_context.results.load, greeting.load)

    async def run(self, call: Any, stream: int, _context: Any, **_: Any) -> None:
        wanted = read_call(call)
        reply = await _if_wanted(self._run(wanted, stream))
        write_reply(_context.results.reply, reply)

    async def _run(self, wanted: StageCall, stream: int) -> StageReply:
        if self._joiner is None or not stream:
            return await self._handler.run(wanted, _no_chunk)
        with self._joiner.open(stream, wanted.id) as chunks:
            reply = await self._handler.run(wanted, chunks.put)
            await chunks.finish()
            return reply

    async def cancel(self, id: Any, _context: Any, **_: Any) -> None:  # noqa: A002
        reply = await _if_wanted(self._handler.cancel(read_call_id(id)))
        write_reply(_context.results.reply, reply)

    async def inquire(
        self,
        callKey: str,  # noqa: N803 - name fixed by the schema
        terms: Any,
        inquiry: Any,
        _context: Any,
        **_: Any,
    ) -> None:
        reply = await _if_wanted(
            self._handler.query_outcome(
                callKey, read_terms(terms), OutcomeQuery(str(inquiry))
            )
        )
        write_reply(_context.results.reply, reply)

    async def handOver(  # noqa: N802 - name fixed by the schema
        self, body: Any, signature: Any, _context: Any, **_: Any
    ) -> None:
        _context.results.taken = await _if_wanted(
            self._handler.hand_over(bytes(body), bytes(signature))
        )

    async def load(self, _context: Any, **_: Any) -> None:
        write_load(_context.results.load, self._handler.load())


def entry_server(
    source: SettingsSource, on_load: LoadHandler, streams: OpenStreams
) -> Any:
    """Return what a sidecar reads ``source`` from, and tells news and chunks to."""
    return _EntryServer(source, on_load, streams)


async def _no_chunk(offset: int, text: str) -> None:
    """Drop a chunk of a call that does not stream."""


def settings_server(source: SettingsSource) -> Any:
    """Return the capability through which a peer reads ``source``."""
    return _SettingsServer(source)


def _parts_sender(entry: Any) -> SendParts:
    def send(parts: Sequence[StreamPart]) -> Awaitable[object]:
        request = entry.chunks_request()
        write_parts(request, parts)
        sent: Awaitable[object] = request.send()
        return sent

    return send


async def _if_wanted(work: Awaitable[AnswerT]) -> AnswerT:
    """
    Return what ``work`` gives; raises ``CancelledError`` where nobody wants it.

    Once a caller has cancelled its call, the call's results are freed, and pycapnp
    2.2.4 writes to them all the same: the process ends by SIGSEGV and takes every
    other call and record with it. A handler can return after a cancellation, where
    it races with the handler's own time-out or end. The task's own count of
    cancellations tells, whatever the handler caught.
    """
    answer = await work
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return answer


def _fetcher(peer: Any) -> SettingsFetcher:
    async def fetch(after: int) -> SettingsDelta:
        try:
            return read_settings_delta(await peer.changesSince(after))
        except capnp.KjException as error:
            raise PeerLostError("settings peer", str(error).splitlines()[0]) from error

    return fetch


def _write_settings_delta(target: Any, gap: SettingsDelta) -> None:
    target.revision = gap.revision
    target.changes = list(gap.changes)
    target.snapshot = gap.snapshot


def read_settings_delta(source: Any) -> SettingsDelta:
    """Return the settings gap held by a reader."""
    changes = tuple(bytes(change) for change in source.changes)
    return SettingsDelta(source.revision, changes, bytes(source.snapshot))


@asynccontextmanager
async def serve_sidecar(
    handler: SidecarHandler,
    host: str,
    port: int,
    connections: EntryConnections | None = None,
) -> AsyncIterator[int]:
    """
    Serve ``handler`` over TCP and yield the bound port; 0 lets the kernel pick.

    Must run inside ``capnp.kj_loop()``. On exit no connection is accepted any
    more and the open ones end.
    """
    known = EntryConnections() if connections is None else connections

    async def accept(stream: Any) -> None:
        sidecar = _SidecarServer(handler, known)
        known.opened(sidecar)
        try:
            server = capnp.TwoPartyServer(stream, bootstrap=sidecar)
            await server.on_disconnect()
        finally:
            known.closed(sidecar)
            sidecar.end()

    listener = await capnp.AsyncIoStream.create_server(accept, host, port)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await asyncio.sleep(0)
