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
    One connection to one sidecar.

    Every method raises ``PeerLostError`` when the connection ends.
    """

    def __init__(self, peer: str, stream: Any) -> None:
        self._peer = peer
        self._stream = stream
        self._calls = 0
        self._streams = OpenStreams(peer)
        self._client = capnp.TwoPartyClient(stream)
        self._sidecar = self._client.bootstrap().cast_as(schema.Sidecar)

    @property
    def peer(self) -> str:
        """Address of the sidecar."""
        return self._peer

    @property
    def calls(self) -> int:
        """Calls about stages that wait for their reply."""
        return self._calls

    async def hello(
        self,
        entry: str,
        revision: int,
        source: SettingsSource,
        on_load: LoadHandler | None = None,
    ) -> HelloReply:
        """
        Greet the sidecar and let it read the settings of ``source``.

        ``on_load`` receives the load when the sidecar tells it unasked.
        """
        answer = await self._guard(
            self._sidecar.hello(
                entry=entry,
                revision=revision,
                settings=entry_server(source, on_load or _no_load, self._streams),
            )
        )
        return HelloReply(answer.endpoint, read_load(answer.load))

    async def run(self, call: StageCall, on_chunks: ChunksHandler | None) -> StageReply:
        """
        Run a stage. Cancelling the task cancels the call at the sidecar.

        Chunks come through ``hello``'s capability: greet the sidecar first. Raises
        ``ReplyMismatchError`` for a reply or a chunk of another call.
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
        self._calls += 1
        try:
            answer = await self._guard(request.send())
        finally:
            self._calls -= 1
        return self._check(call_id, read_reply(answer.reply))

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call and say whether it had started."""
        request = self._sidecar.cancel_request()
        write_call_id(request.id, call_id)
        answer = await self._guard(request.send())
        return self._check(call_id, read_reply(answer.reply))

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, inquiry: OutcomeQuery
    ) -> StageReply:
        """Ask what became of a call that may not be repeated."""
        request = self._sidecar.inquire_request()
        request.callKey = call_key
        write_terms(request.terms, terms)
        request.inquiry = inquiry.value
        self._calls += 1
        try:
            answer = await self._guard(request.send())
        finally:
            self._calls -= 1
        return read_reply(answer.reply)

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Hand over signed records; false where the sidecar does not keep them."""
        answer = await self._guard(
            self._sidecar.handOver(body=body, signature=signature)
        )
        return bool(answer.taken)

    async def load(self) -> Load:
        """Read the sidecar's load."""
        answer = await self._guard(self._sidecar.load())
        return read_load(answer.load)

    async def changes_since(self, revision: int) -> SettingsDelta:
        """Read the settings changes that the sidecar has after ``revision``."""
        return read_settings_delta(
            await self._guard(self._sidecar.changesSince(revision))
        )

    async def announce_revision(self, revision: int, source: SettingsSource) -> int:
        """Tell the sidecar a revision that ``source`` has; return the sidecar's."""
        answer = await self._guard(
            self._sidecar.announce(revision=revision, source=settings_server(source))
        )
        return int(answer.revision)

    async def disconnected(self) -> None:
        """Return when the connection has ended."""
        with suppress(capnp.KjException):
            await self._client.on_disconnect()

    def close(self) -> None:
        """Close the connection; calls in flight raise ``PeerLostError``."""
        self._stream.close()

    def _check(self, call_id: CallId, reply: StageReply) -> StageReply:
        # A peer that mixes up its calls would hand one caller's result to another.
        # It shows as a reply whose id is not the call's; such a reply is not used.
        if reply.id != call_id:
            raise ReplyMismatchError(self._peer, call_id, reply.id)
        return reply

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


def _no_load(load: Load) -> None:
    """Drop news of a sidecar's load."""


def _short(error: Exception) -> str:
    return str(error).splitlines()[0]
