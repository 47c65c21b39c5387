"""Client side of the inner protocol, run by an entry."""

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
from amaranthtally.wire.errors import PeerLostError
from amaranthtally.wire.messages import (
    CallId,
    ChunkHandler,
    Greeting,
    Inquiry,
    Load,
    OnceTerms,
    SettingsGap,
    StageCall,
    StageReply,
)
from amaranthtally.wire.server import SettingsSource, read_gap, settings_server

__all__ = ["SidecarClient", "connect_sidecar"]


class _ChunkServer(schema.ChunkSink.Server):
    def __init__(self, on_chunk: ChunkHandler) -> None:
        self._on_chunk = on_chunk

    async def chunk(self, offset: int, text: str, _context: Any, **_: Any) -> None:
        await self._on_chunk(offset, text)


class SidecarClient:
    """
    One connection to one sidecar.

    Every method raises ``PeerLostError`` when the connection ends.
    """

    def __init__(self, peer: str, stream: Any) -> None:
        self._peer = peer
        self._stream = stream
        self._client = capnp.TwoPartyClient(stream)
        self._sidecar = self._client.bootstrap().cast_as(schema.Sidecar)

    @property
    def peer(self) -> str:
        """Address of the sidecar."""
        return self._peer

    async def hello(
        self, entry: str, revision: int, source: SettingsSource
    ) -> Greeting:
        """Greet the sidecar and let it read the settings of ``source``."""
        answer = await self._guard(
            self._sidecar.hello(
                entry=entry, revision=revision, settings=settings_server(source)
            )
        )
        return Greeting(answer.endpoint, read_load(answer.load))

    async def run(self, call: StageCall, on_chunk: ChunkHandler | None) -> StageReply:
        """Run a stage. Cancelling the task cancels the call at the sidecar."""
        request = self._sidecar.run_request()
        write_call(request.call, call)
        if on_chunk is not None:
            request.sink = _ChunkServer(on_chunk)
        answer = await self._guard(request.send())
        return read_reply(answer.reply)

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call and say whether it had started."""
        request = self._sidecar.cancel_request()
        write_call_id(request.id, call_id)
        answer = await self._guard(request.send())
        return read_reply(answer.reply)

    async def inquire(
        self, call_key: str, terms: OnceTerms, inquiry: Inquiry
    ) -> StageReply:
        """Ask what became of a call that may not be repeated."""
        request = self._sidecar.inquire_request()
        request.callKey = call_key
        write_terms(request.terms, terms)
        request.inquiry = inquiry.value
        answer = await self._guard(request.send())
        return read_reply(answer.reply)

    async def load(self) -> Load:
        """Read the sidecar's load."""
        answer = await self._guard(self._sidecar.load())
        return read_load(answer.load)

    async def changes_since(self, revision: int) -> SettingsGap:
        """Read the settings changes that the sidecar has after ``revision``."""
        return read_gap(await self._guard(self._sidecar.changesSince(revision)))

    async def disconnected(self) -> None:
        """Return when the connection has ended."""
        with suppress(capnp.KjException):
            await self._client.on_disconnect()

    def close(self) -> None:
        """Close the connection; calls in flight raise ``PeerLostError``."""
        self._stream.close()

    async def _guard(self, promise: Any) -> Any:
        try:
            return await promise
        except capnp.KjException as error:
            raise PeerLostError(self._peer, _short(error)) from error


async def connect_sidecar(host: str, port: int, timeout: float) -> SidecarClient:
    """
    Connect to a sidecar; must run inside ``capnp.kj_loop()``.

    Raises ``PeerLostError`` when it does not answer within ``timeout`` seconds.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(timeout):
            stream = await capnp.AsyncIoStream.create_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(peer, str(error) or "timeout") from error
    return SidecarClient(peer, stream)


def _short(error: Exception) -> str:
    return str(error).splitlines()[0]
