"""Client side of the sidecar protocol, used by entries and by other sidecars."""

import asyncio
from contextlib import suppress
from typing import Any

import capnp

from amaranthtally.wire.codec import (
    read_load,
    read_reply,
    schema,
    write_call,
    write_call_id,
    write_terms,
)
from amaranthtally.wire.errors import PeerLostError, ReplyMismatchError
from amaranthtally.wire.messages import (
    AtMostOnceTerms,
    CallId,
    ChunksHandler,
    HelloReply,
    Load,
    OutcomeQuery,
    SettingsDelta,
    StageCall,
    StageReply,
)
from amaranthtally.wire.server import (
    LoadHandler,
    SettingsSource,
    entry_server,
    read_settings_delta,
    settings_server,
)
from amaranthtally.wire.streams import OpenStreams

__all__ = ["SidecarClient", "connect_sidecar"]


class SidecarClient:
    """
    A connection to a sidecar.

    Every request raises ``PeerLostError`` if the connection ends before the reply.
    """

    def __init__(self, peer: str, stream: Any) -> None:
        self._peer = peer
        self._stream = stream
        self._pending_calls = 0
        self._streams = OpenStreams(peer)
        self._client = capnp.TwoPartyClient(stream)
        self._sidecar = self._client.bootstrap().cast_as(schema.Sidecar)

    @property
    def peer(self) -> str:
        """Address of the sidecar."""
        return self._peer

    @property
    def pending_calls(self) -> int:
        """Number of ``run`` and ``query_outcome`` requests that await their reply."""
        return self._pending_calls

    async def hello(
        self,
        entry: str,
        revision: int,
        source: SettingsSource,
        on_load: LoadHandler | None = None,
    ) -> HelloReply:
        """
        Introduce this entry and let the sidecar read the settings of ``source``.

        ``on_load`` receives each load that the sidecar pushes.
        """
        response = await self._await_response(
            self._sidecar.hello(
                entry=entry,
                revision=revision,
                settings=entry_server(source, on_load or _ignore_load, self._streams),
            )
        )
        return HelloReply(response.endpoint, read_load(response.load))

    async def run(self, call: StageCall, on_chunks: ChunksHandler | None) -> StageReply:
        """
        Run a stage. Cancelling the task cancels the call at the sidecar.

        The sidecar sends chunks through the capability that it got from ``hello``, so
        ``hello`` must come first. Raises ``ReplyMismatchError`` if the reply or a
        chunk belongs to another call, and ``ChunkRefusedError`` if ``on_chunks``
        raised an exception.
        """
        request = self._sidecar.run_request()
        write_call(request.call, call)
        if on_chunks is None:
            return await self._run(call.id, request)
        with self._streams.open(call.id, on_chunks) as stream:
            request.stream = stream.number
            reply = await self._run(call.id, request)
            stream.check()
            return reply

    async def _run(self, call_id: CallId, request: Any) -> StageReply:
        self._pending_calls += 1
        try:
            response = await self._await_response(request.send())
        finally:
            self._pending_calls -= 1
        return self._check(call_id, read_reply(response.reply))

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call; the reply is ``NOT_RUN`` if it had not started."""
        request = self._sidecar.cancel_request()
        write_call_id(request.id, call_id)
        response = await self._await_response(request.send())
        return self._check(call_id, read_reply(response.reply))

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, query: OutcomeQuery
    ) -> StageReply:
        """Query the outcome of an at-most-once call."""
        request = self._sidecar.inquire_request()
        request.callKey = call_key
        write_terms(request.terms, terms)
        request.inquiry = query.value
        self._pending_calls += 1
        try:
            response = await self._await_response(request.send())
        finally:
            self._pending_calls -= 1
        return read_reply(response.reply)

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Hand over signed records; return whether the sidecar stored them."""
        response = await self._await_response(
            self._sidecar.handOver(body=body, signature=signature)
        )
        return bool(response.taken)

    async def load(self) -> Load:
        """Read the sidecar's load."""
        response = await self._await_response(self._sidecar.load())
        return read_load(response.load)

    async def changes_since(self, revision: int) -> SettingsDelta:
        """Read the sidecar's settings changes after ``revision``."""
        return read_settings_delta(
            await self._await_response(self._sidecar.changesSince(revision))
        )

    async def announce_revision(self, revision: int, source: SettingsSource) -> int:
        """Announce the revision of ``source``; return the sidecar's revision."""
        response = await self._await_response(
            self._sidecar.announce(revision=revision, source=settings_server(source))
        )
        return int(response.revision)

    async def disconnected(self) -> None:
        """Wait until the connection has ended."""
        with suppress(capnp.KjException):
            await self._client.on_disconnect()

    def close(self) -> None:
        """Close the connection; calls in flight raise ``PeerLostError``."""
        self._stream.close()

    def _check(self, call_id: CallId, reply: StageReply) -> StageReply:
        # A sidecar that confuses its calls would give one caller's result to another.
        # The id in the reply detects this; a reply with another id is not used.
        if reply.id != call_id:
            raise ReplyMismatchError(self._peer, call_id, reply.id)
        return reply

    async def _await_response(self, promise: Any) -> Any:
        try:
            return await promise
        except capnp.KjException as error:
            raise PeerLostError(self._peer, _first_line(error)) from error


async def connect_sidecar(host: str, port: int, timeout: float) -> SidecarClient:
    """
    Connect to a sidecar; must run inside ``capnp.kj_loop()``.

    Raises ``PeerLostError`` if no connection is made within ``timeout`` seconds.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(timeout):
            stream = await capnp.AsyncIoStream.create_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(peer, str(error) or "timeout") from error
    return SidecarClient(peer, stream)


def _ignore_load(load: Load) -> None:
    """Discard a load that the sidecar pushes."""


def _first_line(error: Exception) -> str:
    return str(error).splitlines()[0]
