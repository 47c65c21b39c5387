"""Both ends of the protocol between gateways."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, Protocol

import capnp

from amaranthtally.policy import PeerRecord, PieceJob, PieceReport, StoredResult
from amaranthtally.wire.documents import DocumentPart, PartRequest
from amaranthtally.wire.errors import PeerLostError
from amaranthtally.wire.gateway_codec import (
    GatewayStatus,
    Versions,
    gateway_schema,
    read_asks,
    read_part,
    read_part_request,
    read_results,
    read_told,
    read_versions,
    write_asks,
    write_part,
    write_part_request,
    write_results,
    write_told,
    write_versions,
)

__all__ = ["GatewayClient", "GatewayHandler", "connect_gateway", "serve_gateway"]


class GatewayHandler(Protocol):
    """What a gateway does with the calls of another; none of them waits."""

    def exchange_status(
        self, name: str, record: PeerRecord, versions: Versions
    ) -> GatewayStatus:
        """Hear a peer's versions and return one's own, and whether this one leaves."""

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or the records."""

    def submit_jobs(self, asker: str, asks: Sequence[PieceJob]) -> None:
        """Take pieces that a peer wants made."""

    def report_outcomes(self, told: Sequence[PieceReport]) -> None:
        """Hear what became of pieces."""

    def release_results(self, results: Sequence[StoredResult], ended: str) -> None:
        """Hear that results are read no more, and of a request that has ended."""


class GatewayClient:
    """
    One connection to another gateway.

    Every method raises ``PeerLostError`` when the connection ends, or when no answer
    comes within ``timeout_s`` seconds: a connection can go silent without an end.
    """

    def __init__(self, peer: str, stream: Any, timeout_s: float) -> None:
        self._peer = peer
        self._stream = stream
        self._timeout_s = timeout_s
        self._client = capnp.TwoPartyClient(stream)
        self._gateway = self._client.bootstrap().cast_as(gateway_schema.Gateway)

    @property
    def peer(self) -> str:
        """Address of the gateway."""
        return self._peer

    async def exchange_status(
        self, name: str, record: PeerRecord, versions: Versions
    ) -> GatewayStatus:
        """Tell one's versions; return the peer's, and whether it leaves."""
        request = self._gateway.greet_request()
        request.name = name
        request.address = record.address
        request.dataCentre = record.data_centre
        write_versions(request.versions, versions)
        answer = await self._send(request)
        return GatewayStatus(read_versions(answer.versions), answer.leaving)

    async def read_part(self, request: PartRequest) -> DocumentPart:
        """Read a part of the peer's configuration or records."""
        sent = self._gateway.read_request()
        write_part_request(sent, request)
        return read_part(await self._send(sent))

    async def submit_jobs(
        self, asker: str, asks: Sequence[PieceJob], now: float
    ) -> None:
        """Ask for pieces."""
        request = self._gateway.ask_request()
        request.asker = asker
        write_asks(request, asks, now)
        await self._send(request)

    async def report_outcomes(self, told: Sequence[PieceReport]) -> None:
        """Tell what became of pieces."""
        request = self._gateway.tell_request()
        write_told(request, told)
        await self._send(request)

    async def release_results(
        self, results: Sequence[StoredResult], ended: str
    ) -> None:
        """Tell that results are read no more, or that a request has ended."""
        request = self._gateway.free_request()
        request.ended = ended
        write_results(request, results)
        await self._send(request)

    def close(self) -> None:
        """Close the connection; calls in flight raise ``PeerLostError``."""
        self._stream.close()

    async def _send(self, request: Any) -> Any:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await request.send()
        except capnp.KjException as error:
            raise PeerLostError(self._peer, str(error).splitlines()[0]) from error
        except TimeoutError as error:
            raise PeerLostError(self._peer, "no answer in time") from error


class _GatewayServer(gateway_schema.Gateway.Server):
    def __init__(self, handler: GatewayHandler) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()

    async def greet(
        self,
        name: str,
        versions: Any,
        address: str,
        dataCentre: str,  # noqa: N803 - the schema's name
        _context: Any,
        **_: Any,
    ) -> None:
        record = PeerRecord(address, dataCentre)
        own = self._handler.exchange_status(name, record, read_versions(versions))
        write_versions(_context.results.versions, own.versions)
        _context.results.leaving = own.leaving

    async def read(
        self, document: Any, checksum: int, offset: int, _context: Any, **_: Any
    ) -> None:
        request = read_part_request(document, checksum, offset)
        write_part(_context.results, self._handler.read_part(request))

    async def ask(self, asker: str, asks: Any, _context: Any, **_: Any) -> None:
        self._handler.submit_jobs(asker, read_asks(asks, self._loop.time()))

    async def tell(self, told: Any, _context: Any, **_: Any) -> None:
        self._handler.report_outcomes(read_told(told))

    async def free(self, results: Any, ended: str, _context: Any, **_: Any) -> None:
        self._handler.release_results(read_results(results), ended)


async def connect_gateway(
    host: str, port: int, connect_timeout_s: float, call_timeout_s: float
) -> GatewayClient:
    """
    Connect to a gateway; must run inside ``capnp.kj_loop()``.

    Raises ``PeerLostError`` when it does not answer within ``connect_timeout_s``.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(connect_timeout_s):
            stream = await capnp.AsyncIoStream.create_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(peer, str(error) or "timeout") from error
    return GatewayClient(peer, stream, call_timeout_s)


@asynccontextmanager
async def serve_gateway(
    handler: GatewayHandler, host: str, port: int
) -> AsyncIterator[int]:
    """
    Serve ``handler`` over TCP and yield the bound port; 0 lets the kernel pick.

    Must run inside ``capnp.kj_loop()``.
    """

    async def accept(stream: Any) -> None:
        server = capnp.TwoPartyServer(stream, bootstrap=_GatewayServer(handler))
        await server.on_disconnect()

    listener = await capnp.AsyncIoStream.create_server(accept, host, port)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await asyncio.sleep(0)
