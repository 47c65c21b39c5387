"""Client of the gateway protocol."""

import asyncio
from collections.abc import Sequence
from typing import Any

import capnp

from amaranthtally.policy import (
    LoadMessage,
    OriginEntry,
    PartEnd,
    PartNotice,
    PartSuccess,
    PermitAnswer,
    PermitAsk,
    Piece,
    PieceJob,
    PieceReport,
    RateLimitNotice,
    StoredResult,
    UsageReport,
)
from amaranthtally.wire.changes import ChangeBatch
from amaranthtally.wire.documents import DocumentPart, PartRequest
from amaranthtally.wire.errors import MethodUnknownError, PeerLostError
from amaranthtally.wire.gateway_codec import (
    MAX_MESSAGE_WORDS,
    GatewayStatus,
    Greeter,
    Versions,
    gateway_schema,
    read_changes,
    read_origin,
    read_part,
    read_pieces,
    read_versions,
    write_changes,
    write_jobs,
    write_origins,
    write_part_request,
    write_pieces,
    write_reports,
    write_results,
    write_versions,
)
from amaranthtally.wire.load_view_codec import read_load_message, write_load_message
from amaranthtally.wire.prompt_codec import (
    read_part_notices,
    write_part_ends,
    write_part_notices,
    write_part_successes,
)
from amaranthtally.wire.rate_limit_codec import (
    read_permit_answers,
    read_rate_limits,
    write_permit_asks,
    write_rate_limits,
)
from amaranthtally.wire.usage_codec import write_usage

__all__ = ["GatewayClient", "connect_gateway"]

# Type of the exception with which a peer answers a call that it does not know.
UNIMPLEMENTED = "UNIMPLEMENTED"


class GatewayClient:
    """
    A connection to another gateway.

    Every request raises ``PeerLostError`` if the connection ends or no reply arrives
    within ``timeout_s`` seconds; a connection can fail without being closed.
    """

    def __init__(self, peer: str, stream: Any, timeout_s: float) -> None:
        self._peer = peer
        self._stream = stream
        self._timeout_s = timeout_s
        self._client = capnp.TwoPartyClient(
            stream, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        self._gateway = self._client.bootstrap().cast_as(gateway_schema.Gateway)

    @property
    def peer(self) -> str:
        """Address of the gateway."""
        return self._peer

    async def exchange_status(
        self, name: str, greeter: Greeter, versions: Versions, follows: bool
    ) -> GatewayStatus:
        """Send this gateway's address and versions; return the peer's status."""
        request = self._gateway.greet_request()
        request.name = name
        if greeter.is_leaving:
            request.leavingAddress = greeter.record.address
        else:
            request.address = greeter.record.address
        request.dataCentre = greeter.record.data_centre
        request.follows = follows
        write_versions(request.versions, versions)
        reply = await self._send(request)
        return GatewayStatus(
            read_versions(reply.versions), reply.leaving, reply.watches
        )

    async def read_part(self, request: PartRequest) -> DocumentPart:
        """Read a part of the peer's configuration or records."""
        message = self._gateway.read_request()
        write_part_request(message, request)
        return read_part(await self._send(message))

    async def read_changes(self, after: int) -> ChangeBatch | None:
        """Read the first changes after a revision; ``None`` if they are not kept."""
        request = self._gateway.readChanges_request()
        request.after = after
        reply = await self._send(request)
        return read_changes(reply.batch) if reply.isKept else None

    async def push_changes(
        self, name: str, batch: ChangeBatch, versions: Versions
    ) -> bool:
        """Send changes; return whether the peer follows this gateway."""
        request = self._gateway.pushChanges_request()
        request.name = name
        write_changes(request.batch, batch)
        write_versions(request.versions, versions)
        return (await self._send(request)).follows

    async def submit_jobs(
        self, submitter: str, jobs: Sequence[PieceJob], now: float
    ) -> None:
        """Submit jobs; their outcomes arrive in a ``tell`` request of the peer."""
        request = self._gateway.ask_request()
        request.asker = submitter
        write_jobs(request, jobs, now)
        await self._send(request)

    async def withdraw_jobs(self, pieces: Sequence[Piece]) -> tuple[Piece, ...]:
        """Withdraw jobs that the peer has not started; return those withdrawn."""
        request = self._gateway.withdrawJobs_request()
        write_pieces(request.init("pieces", len(pieces)), pieces)
        return read_pieces((await self._send(request)).withdrawn)

    async def report_outcomes(self, reports: Sequence[PieceReport]) -> None:
        """Report the outcomes of jobs that the peer submitted."""
        request = self._gateway.tell_request()
        write_reports(request, reports)
        await self._send(request)

    async def release_results(
        self, results: Sequence[StoredResult], ended_request: str
    ) -> None:
        """Release results that are no longer read; name a request that has ended."""
        request = self._gateway.free_request()
        request.ended = ended_request
        write_results(request, results)
        await self._send(request)

    async def copy_origins(self, entries: Sequence[OriginEntry], now: float) -> None:
        """Give the peer copies of the origins of streams."""
        request = self._gateway.copyOrigins_request()
        write_origins(request, entries, now)
        await self._send(request)

    async def find_origin(self, request_id: str, now: float) -> OriginEntry | None:
        """Return the origin of the stream that a request began, if the peer has it."""
        request = self._gateway.findOrigin_request()
        request.requestId = request_id
        reply = await self._send(request)
        return read_origin(reply.origin, now) if reply.isKnown else None

    async def spread_rate_limits(self, notices: Sequence[RateLimitNotice]) -> None:
        """Pass on the rate limits that endpoints have named."""
        request = self._gateway.spreadRateLimits_request()
        write_rate_limits(request, notices)
        await self._send(request)

    async def read_rate_limits(self) -> tuple[RateLimitNotice, ...]:
        """Return the rate limits that the peer knows."""
        reply = await self._send(self._gateway.readRateLimits_request())
        return read_rate_limits(reply.limits)

    async def ask_permits(
        self, asker: str, asks: Sequence[PermitAsk]
    ) -> tuple[PermitAnswer, ...]:
        """Ask for permits that the peer issues."""
        request = self._gateway.askPermits_request()
        request.asker = asker
        write_permit_asks(request, asks)
        return read_permit_answers((await self._send(request)).answers)

    async def spread_part_notices(
        self, notices: Sequence[PartNotice], now: float
    ) -> None:
        """Pass on notices on parts of prompts."""
        request = self._gateway.spreadPartNotices_request()
        write_part_notices(request, notices, now)
        await self._send(request)

    async def read_part_notices(self, now: float) -> tuple[PartNotice, ...]:
        """Return the notices on parts of prompts that the peer holds."""
        reply = await self._send(self._gateway.readPartNotices_request())
        return read_part_notices(reply.notices, now)

    async def report_ends(self, ends: Sequence[PartEnd], now: float) -> None:
        """Report ends of endpoints."""
        request = self._gateway.reportEnds_request()
        write_part_ends(request, ends, now)
        await self._send(request)

    async def report_successes(
        self, successes: Sequence[PartSuccess], now: float
    ) -> None:
        """Report successes of parts, as the peer has asked."""
        request = self._gateway.reportSuccesses_request()
        write_part_successes(request, successes, now)
        await self._send(request)

    async def exchange_loads(self, sender: str, message: LoadMessage) -> LoadMessage:
        """Send what is known of endpoints' loads; return what the peer knows."""
        request = self._gateway.exchangeLoads_request()
        request.sender = sender
        write_load_message(request.message, message)
        return read_load_message((await self._send(request)).answer)

    async def exchange_usage(self, sender: str, report: UsageReport) -> None:
        """Report the work of client accounts at the sender."""
        request = self._gateway.exchangeUsage_request()
        request.sender = sender
        write_usage(request.usage, report)
        await self._send(request)

    def close(self) -> None:
        """Close the connection; calls in flight raise ``PeerLostError``."""
        self._stream.close()

    async def _send(self, request: Any) -> Any:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await request.send()
        except capnp.KjException as error:
            if error.type == UNIMPLEMENTED:
                raise MethodUnknownError(self._peer) from error
            raise PeerLostError(self._peer, str(error).splitlines()[0]) from error
        except TimeoutError as error:
            raise PeerLostError(self._peer, "no reply before the time-out") from error


async def connect_gateway(
    host: str, port: int, connect_timeout_s: float, call_timeout_s: float
) -> GatewayClient:
    """
    Connect to a gateway; must run inside ``capnp.kj_loop()``.

    Raises ``PeerLostError`` if no connection is made within ``connect_timeout_s``
    seconds. ``call_timeout_s`` is the time-out of each request.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(connect_timeout_s):
            stream = await capnp.AsyncIoStream.create_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(peer, str(error) or "timeout") from error
    return GatewayClient(peer, stream, call_timeout_s)
