"""Connections to the other gateways and the calls made over them."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol

from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
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
from amaranthtally.wire import MethodUnknownError, PeerLostError
from amaranthtally.wire.changes import ChangeBatch
from amaranthtally.wire.documents import DocumentPart, PartRequest
from amaranthtally.wire.gateway_client import GatewayClient, connect_gateway
from amaranthtally.wire.gateway_codec import GatewayStatus, Greeter, Versions

__all__ = ["PeerConnections"]

# Time-out for opening a connection, in seconds: ten times the round trip to another
# region.
CONNECT_TIMEOUT_S = 0.4
# Time-out for a call, in seconds. No call between gateways waits for work to be done,
# so a peer that does not answer in time has failed or is stalled.
CALL_TIMEOUT_S = 0.8
# Interval between probes of a peer that runs jobs of this gateway or has failed, in
# seconds. A call costs the peer 0.2 ms.
HEARTBEAT_INTERVAL_S = 0.5
# Number of attempts to report the outcomes of jobs to their submitter, and the pause
# between them, in seconds. The first may fail because the connection was reset.
REPORT_ATTEMPTS = 3
REPORT_RETRY_DELAY_S = 0.2

# Sent by a gateway that is starting.
NO_RECORD = PeerRecord("", "")

log = get_logger()


class _Listener(Protocol):
    """Is notified of failed and recovered peers, and of releases that failed."""

    def peer_failed(self, peer: str) -> None:
        """Handle a peer that did not answer."""

    def peer_recovered(self, peer: str) -> None:
        """Handle a peer that answers and runs jobs again."""

    def submitter_lost(self, peer: str) -> None:
        """Handle a peer that could not be told the outcomes of its jobs."""

    def results_not_released(self, results: Sequence[StoredResult]) -> None:
        """Handle results whose release did not reach a peer."""


class PeerConnections:
    """Holds one connection to each peer, opened when it is first used."""

    def __init__(
        self,
        name: str,
        supervisor: Supervisor,
        listener: _Listener,
        seeds: Sequence[str] = (),
    ) -> None:
        self._name = name
        # The names of seeds are not known; they are called by their addresses.
        self._seeds = {address: address for address in seeds}
        self._greeter = Greeter(NO_RECORD)
        self._supervisor = supervisor
        self._listener = listener
        self._addresses: Mapping[str, str] = self._seeds
        self._clients: dict[str, GatewayClient] = {}
        self._connecting: dict[str, asyncio.Task[GatewayClient]] = {}
        self._loop = asyncio.get_running_loop()

    def set_own_record(self, record: PeerRecord) -> None:
        """Set the record that is sent to peers with each status from now on."""
        self._greeter = Greeter(record)

    def note_leaving(self) -> None:
        """Tell peers with each status that this gateway is leaving."""
        self._greeter = Greeter(self._greeter.record, is_leaving=True)

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Set the peers' addresses; close connections to any other address."""
        self._addresses = {**self._seeds, **addresses}
        for name, client in list(self._clients.items()):
            if self._addresses.get(name) != client.peer:
                self._disconnect(name)

    def submit_jobs(self, peer: str, jobs: Sequence[PieceJob]) -> None:
        """Submit jobs to a peer, in the background."""
        self._spawn(self._submit_jobs(peer, jobs))

    async def withdraw_jobs(
        self, peer: str, pieces: Sequence[Piece]
    ) -> tuple[Piece, ...]:
        """Withdraw jobs that a peer has not started; raises ``PeerLostError``."""
        return await self._call(peer, lambda client: client.withdraw_jobs(pieces))

    def report_outcomes(self, peer: str, reports: Sequence[PieceReport]) -> None:
        """
        Report the outcomes of a peer's jobs to it, in the background.

        The peer submits a job again if no report on it arrives.
        """
        self._spawn(self._report_outcomes(peer, reports))

    def release_results(
        self, peer: str, results: Sequence[StoredResult], ended: str
    ) -> None:
        """
        Release results at the peer that calls their endpoints, in the background.

        ``ended`` is the id of a request that has ended, empty if none has.
        """
        self._spawn(self._release_results(peer, results, ended))

    async def exchange_status(
        self, peer: str, versions: Versions, follows: bool = False
    ) -> GatewayStatus:
        """
        Send the record and versions to a peer; raises ``PeerLostError``.

        With ``follows`` the peer sends this gateway the store's changes for a while.
        """
        return await self._call(
            peer,
            lambda c: c.exchange_status(self._name, self._greeter, versions, follows),
        )

    async def read_part(self, peer: str, request: PartRequest) -> DocumentPart:
        """Read a part of a peer's document; raises ``PeerLostError``."""
        return await self._call(peer, lambda client: client.read_part(request))

    async def read_changes(self, peer: str, after: int) -> ChangeBatch | None:
        """
        Read the first changes that a peer has after a revision of the store.

        Returns ``None`` if the peer does not keep them. Raises ``PeerLostError``, and
        ``MalformedChangesError`` if the answer cannot be used.
        """
        return await self._call(peer, lambda client: client.read_changes(after))

    async def push_changes(
        self, peer: str, batch: ChangeBatch, versions: Versions
    ) -> bool:
        """
        Send changes to a peer; return whether it follows this gateway.

        Raises ``PeerLostError``.
        """
        return await self._call(
            peer, lambda client: client.push_changes(self._name, batch, versions)
        )

    async def copy_origins(self, peer: str, entries: Sequence[OriginEntry]) -> None:
        """Give a peer copies of the origins of streams; raises ``PeerLostError``."""
        now = self._loop.time()
        await self._call(peer, lambda client: client.copy_origins(entries, now))

    async def find_origin(self, peer: str, request_id: str) -> OriginEntry | None:
        """
        Return the origin of the stream that a request began, if a peer has it.

        Raises ``PeerLostError``.
        """
        now = self._loop.time()
        return await self._call(
            peer, lambda client: client.find_origin(request_id, now)
        )

    async def spread_rate_limits(
        self, peer: str, notices: Sequence[RateLimitNotice]
    ) -> None:
        """Pass limits of endpoints on to a peer; raises ``PeerLostError``."""
        await self._call(peer, lambda client: client.spread_rate_limits(notices))

    async def read_rate_limits(self, peer: str) -> tuple[RateLimitNotice, ...]:
        """Return the rate limits that a peer knows; raises ``PeerLostError``."""
        return await self._call(peer, lambda client: client.read_rate_limits())

    async def ask_permits(
        self, peer: str, asks: Sequence[PermitAsk]
    ) -> tuple[PermitAnswer, ...]:
        """Ask a peer for permits to send to endpoints; raises ``PeerLostError``."""
        return await self._call(
            peer, lambda client: client.ask_permits(self._name, asks)
        )

    async def spread_part_notices(
        self, peer: str, notices: Sequence[PartNotice]
    ) -> None:
        """Pass notices on parts of prompts on to a peer; raises ``PeerLostError``."""
        now = self._loop.time()
        await self._call(peer, lambda client: client.spread_part_notices(notices, now))

    async def read_part_notices(self, peer: str) -> tuple[PartNotice, ...]:
        """Return the notices that a peer holds; raises ``PeerLostError``."""
        now = self._loop.time()
        return await self._call(peer, lambda client: client.read_part_notices(now))

    async def report_ends(self, peer: str, ends: Sequence[PartEnd]) -> None:
        """Report ends of endpoints to a peer; raises ``PeerLostError``."""
        now = self._loop.time()
        await self._call(peer, lambda client: client.report_ends(ends, now))

    async def report_successes(
        self, peer: str, successes: Sequence[PartSuccess]
    ) -> None:
        """Report successes of parts to a peer; raises ``PeerLostError``."""
        now = self._loop.time()
        await self._call(peer, lambda client: client.report_successes(successes, now))

    async def exchange_loads(self, peer: str, message: LoadMessage) -> LoadMessage:
        """Send a peer what is known of loads; raises ``PeerLostError``."""
        return await self._call(
            peer, lambda client: client.exchange_loads(self._name, message)
        )

    async def exchange_usage(self, peer: str, report: UsageReport) -> None:
        """Report the work of client accounts to a peer; raises ``PeerLostError``."""
        await self._call(peer, lambda client: client.exchange_usage(self._name, report))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._supervisor.spawn_call(work)

    def close(self) -> None:
        """Close every connection."""
        for name in list(self._clients):
            self._disconnect(name)

    async def _submit_jobs(self, peer: str, jobs: Sequence[PieceJob]) -> None:
        try:
            now = self._loop.time()
            await self._call(
                peer, lambda client: client.submit_jobs(self._name, jobs, now)
            )
        except PeerLostError as error:
            log.info("peer_lost", peer=peer, pieces=len(jobs), cause=str(error))
            self._listener.peer_failed(peer)

    async def run_heartbeat(self, peers_to_probe: Callable[[], frozenset[str]]) -> None:
        """Probe peers until cancelled, to detect failed and recovered ones."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await asyncio.gather(*(self._probe(peer) for peer in peers_to_probe()))

    async def _probe(self, peer: str) -> None:
        try:
            status = await self.exchange_status(peer, Versions())
        except PeerLostError as error:
            log.info("peer_lost", peer=peer, cause=str(error))
            self._listener.peer_failed(peer)
            return
        # A restarted peer without a configuration would hand back every job.
        if status.versions.configuration and not status.leaving:
            self._listener.peer_recovered(peer)

    async def _report_outcomes(self, peer: str, reports: Sequence[PieceReport]) -> None:
        for _ in range(REPORT_ATTEMPTS):
            try:
                await self._call(peer, lambda client: client.report_outcomes(reports))
                return
            except PeerLostError as error:
                log.info(
                    "peer_not_told", peer=peer, pieces=len(reports), cause=str(error)
                )
            await asyncio.sleep(REPORT_RETRY_DELAY_S)
        self._listener.submitter_lost(peer)

    async def _release_results(
        self, peer: str, results: Sequence[StoredResult], ended: str
    ) -> None:
        try:
            await self._call(
                peer, lambda client: client.release_results(results, ended)
            )
        except PeerLostError as error:
            log.info("peer_not_told", peer=peer, results=len(results), cause=str(error))
            # If these results were stored until they expire, they would fill the memory
            # of their endpoints, which would reject further calls for seconds.
            self._listener.results_not_released(results)

    async def _call(
        self, peer: str, call: Callable[[GatewayClient], Coroutine[Any, Any, Any]]
    ) -> Any:
        client = await self._client(peer)
        try:
            answer = await call(client)
        except MethodUnknownError:
            # Calls that the peer knows are in flight on the same connection.
            raise
        except PeerLostError:
            if self._clients.get(peer) is client:
                self._disconnect(peer)
            raise
        return answer

    async def _client(self, peer: str) -> GatewayClient:
        client = self._clients.get(peer)
        if client is not None:
            return client
        address = self._addresses.get(peer)
        if address is None:
            raise PeerLostError(peer, "no address is known")
        connecting = self._connecting.get(peer)
        if connecting is None:
            connecting = self._supervisor.spawn(
                "PeerConnections.connect",
                self._connect(peer, address),
                (PeerLostError,),
            )
            self._connecting[peer] = connecting
            connecting.add_done_callback(lambda _: self._connecting.pop(peer, None))
        return await asyncio.shield(connecting)

    async def _connect(self, peer: str, address: str) -> GatewayClient:
        host, port = split_address(address)
        client = await connect_gateway(host, port, CONNECT_TIMEOUT_S, CALL_TIMEOUT_S)
        self._clients[peer] = client
        log.info("peer_connected", peer=peer, address=address)
        return client

    def _disconnect(self, name: str) -> None:
        client = self._clients.pop(name)
        client.close()
        log.info("peer_disconnected", peer=name, address=client.peer)
