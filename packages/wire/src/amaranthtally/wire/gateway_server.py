"""Server of the gateway protocol."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, Protocol

import capnp

from amaranthtally.policy import (
    LoadMessage,
    OriginEntry,
    PartEnd,
    PartNotice,
    PartSuccess,
    PeerRecord,
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
from amaranthtally.wire.gateway_codec import (
    MAX_MESSAGE_WORDS,
    GatewayStatus,
    Greeter,
    Versions,
    gateway_schema,
    read_changes,
    read_jobs,
    read_origins,
    read_part_request,
    read_pieces,
    read_reports,
    read_results,
    read_versions,
    write_changes,
    write_origin,
    write_part,
    write_pieces,
    write_versions,
)
from amaranthtally.wire.load_view_codec import read_load_message, write_load_message
from amaranthtally.wire.peer_listener import (
    PeerConnection,
    PeerLimits,
    listen_for_peers,
    noting_calls,
)
from amaranthtally.wire.prompt_codec import (
    read_part_ends,
    read_part_notices,
    read_part_successes,
    write_part_notices,
)
from amaranthtally.wire.rate_limit_codec import (
    read_permit_asks,
    read_rate_limits,
    write_permit_answers,
    write_rate_limits,
)
from amaranthtally.wire.usage_codec import read_usage

__all__ = ["GatewayHandler", "serve_gateway"]


class GatewayHandler(Protocol):
    """Implements the requests that a gateway receives; no method may block."""

    def exchange_status(
        self, name: str, greeter: Greeter, versions: Versions, follows: bool
    ) -> GatewayStatus:
        """
        Receive a peer's address and versions; return this gateway's status.

        With ``follows`` the peer wants to be sent the store's changes for a while.
        """

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or of the records."""

    def read_changes(self, after: int) -> ChangeBatch | None:
        """Return changes after a revision of the store; ``None`` if not kept."""

    def push_received(self, name: str, batch: ChangeBatch, versions: Versions) -> bool:
        """Receive changes; return whether this gateway follows the peer."""

    def submit_jobs(self, submitter: str, jobs: Sequence[PieceJob]) -> None:
        """Accept jobs that a peer submits."""

    def withdraw_jobs(self, pieces: Sequence[Piece]) -> Sequence[Piece]:
        """Drop those of these jobs that have not started, and return them."""

    def report_outcomes(self, reports: Sequence[PieceReport]) -> None:
        """Receive the outcomes of jobs that this gateway submitted."""

    def release_results(
        self, results: Sequence[StoredResult], ended_request: str
    ) -> None:
        """
        Release results that are no longer read.

        ``ended_request`` is the id of a request that has ended, or empty.
        """

    def copy_origins(self, entries: Sequence[OriginEntry]) -> None:
        """Hold copies of what a peer knows of the origins of streams."""

    def find_origin(self, request_id: str) -> OriginEntry | None:
        """Return the origin of the stream that a request began, if it is held."""

    def rate_limits_received(self, notices: Sequence[RateLimitNotice]) -> None:
        """Take the rate limits that a peer has passed on."""

    def known_rate_limits(self) -> Sequence[RateLimitNotice]:
        """Return the rate limits that this gateway knows."""

    def permits_asked(
        self, asker: str, asks: Sequence[PermitAsk]
    ) -> Sequence[PermitAnswer]:
        """Return the permits that a peer gets."""

    def part_notices_received(self, notices: Sequence[PartNotice]) -> None:
        """Take notices on parts of prompts that a peer has passed on."""

    def known_part_notices(self) -> Sequence[PartNotice]:
        """Return the notices on parts of prompts that this gateway holds."""

    def ends_reported(self, ends: Sequence[PartEnd]) -> None:
        """Take the ends of endpoints that a peer reports."""

    def successes_reported(self, successes: Sequence[PartSuccess]) -> None:
        """Take the successes of parts that a peer reports."""

    def loads_exchanged(self, sender: str, message: LoadMessage) -> LoadMessage:
        """Take what a peer knows of endpoints' loads; return what it lacks."""

    def usage_received(self, sender: str, report: UsageReport) -> None:
        """Take the work of client accounts that a peer reports."""


@noting_calls
class _GatewayServer(gateway_schema.Gateway.Server):
    def __init__(self, handler: GatewayHandler, connection: PeerConnection) -> None:
        self.connection = connection
        self._handler = handler
        self._loop = asyncio.get_running_loop()

    async def greet(
        self,
        name: str,
        versions: Any,
        address: str,
        dataCentre: str,  # noqa: N803 - name fixed by the schema
        follows: bool,
        leavingAddress: str,  # noqa: N803 - name fixed by the schema
        _context: Any,
        **_: Any,
    ) -> None:
        record = PeerRecord(address or leavingAddress, dataCentre)
        greeter = Greeter(record, is_leaving=bool(leavingAddress))
        status = self._handler.exchange_status(
            name, greeter, read_versions(versions), follows
        )
        write_versions(_context.results.versions, status.versions)
        _context.results.leaving = status.leaving
        _context.results.watches = status.watches

    async def read(
        self, document: Any, checksum: int, offset: int, _context: Any, **_: Any
    ) -> None:
        request = read_part_request(document, checksum, offset)
        write_part(_context.results, self._handler.read_part(request))

    async def readChanges(  # noqa: N802 - name fixed by the schema
        self, after: int, _context: Any, **_: Any
    ) -> None:
        batch = self._handler.read_changes(after)
        _context.results.isKept = batch is not None
        if batch is not None:
            write_changes(_context.results.batch, batch)

    async def pushChanges(  # noqa: N802 - name fixed by the schema
        self, name: str, batch: Any, versions: Any, _context: Any, **_: Any
    ) -> None:
        _context.results.follows = self._handler.push_received(
            name, read_changes(batch), read_versions(versions)
        )

    async def ask(self, asker: str, asks: Any, _context: Any, **_: Any) -> None:
        self._handler.submit_jobs(asker, read_jobs(asks, self._loop.time()))

    async def tell(self, told: Any, _context: Any, **_: Any) -> None:
        self._handler.report_outcomes(read_reports(told))

    async def free(self, results: Any, ended: str, _context: Any, **_: Any) -> None:
        self._handler.release_results(read_results(results), ended)

    async def copyOrigins(  # noqa: N802 - name fixed by the schema
        self, origins: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.copy_origins(read_origins(origins, self._loop.time()))

    async def findOrigin(  # noqa: N802 - name fixed by the schema
        self,
        requestId: str,  # noqa: N803 - name fixed by the schema
        _context: Any,
        **_: Any,
    ) -> None:
        entry = self._handler.find_origin(requestId)
        _context.results.isKnown = entry is not None
        if entry is not None:
            write_origin(_context.results.origin, entry, self._loop.time())

    async def spreadRateLimits(  # noqa: N802 - name fixed by the schema
        self, limits: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.rate_limits_received(read_rate_limits(limits))

    async def readRateLimits(  # noqa: N802 - name fixed by the schema
        self, _context: Any, **_: Any
    ) -> None:
        write_rate_limits(_context.results, self._handler.known_rate_limits())

    async def askPermits(  # noqa: N802 - name fixed by the schema
        self, asker: str, asks: Any, _context: Any, **_: Any
    ) -> None:
        answers = self._handler.permits_asked(asker, read_permit_asks(asks))
        write_permit_answers(_context.results, answers)

    async def spreadPartNotices(  # noqa: N802 - name fixed by the schema
        self, notices: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.part_notices_received(
            read_part_notices(notices, self._loop.time())
        )

    async def readPartNotices(  # noqa: N802 - name fixed by the schema
        self, _context: Any, **_: Any
    ) -> None:
        write_part_notices(
            _context.results, self._handler.known_part_notices(), self._loop.time()
        )

    async def reportEnds(  # noqa: N802 - name fixed by the schema
        self, ends: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.ends_reported(read_part_ends(ends, self._loop.time()))

    async def withdrawJobs(  # noqa: N802 - name fixed by the schema
        self, pieces: Any, _context: Any, **_: Any
    ) -> None:
        withdrawn = self._handler.withdraw_jobs(read_pieces(pieces))
        write_pieces(_context.results.init("withdrawn", len(withdrawn)), withdrawn)

    async def reportSuccesses(  # noqa: N802 - name fixed by the schema
        self, successes: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.successes_reported(
            read_part_successes(successes, self._loop.time())
        )

    async def exchangeLoads(  # noqa: N802 - name fixed by the schema
        self, sender: str, message: Any, _context: Any, **_: Any
    ) -> None:
        answer = self._handler.loads_exchanged(sender, read_load_message(message))
        write_load_message(_context.results.answer, answer)

    async def exchangeUsage(  # noqa: N802 - name fixed by the schema
        self, sender: str, usage: Any, _context: Any, **_: Any
    ) -> None:
        self._handler.usage_received(sender, read_usage(usage))


@asynccontextmanager
async def serve_gateway(
    handler: GatewayHandler, host: str, port: int, limits: PeerLimits | None = None
) -> AsyncIterator[int]:
    """
    Serve ``handler`` over TCP and yield the bound port; port 0 picks a free one.

    Must run inside ``capnp.kj_loop()``.
    """

    async def serve(stream: Any, connection: PeerConnection) -> None:
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=_GatewayServer(handler, connection),
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
        )
        await server.on_disconnect()

    async with listen_for_peers(serve, host, port, limits or PeerLimits()) as bound:
        yield bound
