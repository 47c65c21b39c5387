"""Connections to the other gateways, and what is said over them."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol

from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerRecord, PieceJob, PieceReport, StoredResult
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.documents import DocumentPart, PartRequest
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions
from amaranthtally.wire.gateway_peer import GatewayClient, connect_gateway

__all__ = ["UNREACHABLE", "PeerLinks"]

# A way that takes longer leads nowhere, in seconds: ten times the way to another
# region and back.
CONNECT_TIMEOUT_S = 0.4
# No call between gateways waits for work, so that its answer comes within this, in
# seconds, or the peer stands still.
CALL_TIMEOUT_S = 0.8

# How often a peer that makes pieces for this gateway, or failed to, is asked whether it
# lives, in seconds; a call between gateways costs it 0.2 ms.
HEARTBEAT_S = 0.5
# Tries to tell a peer what became of its pieces, and the pause between, in seconds:
# its connection may just have been reset.
TELL_TRIES = 3
TELL_PAUSE_S = 0.2

# A gateway that takes no part: it starts or leaves.
UNREACHABLE = PeerRecord("", "")

log = get_logger()


class _Listener(Protocol):
    """Whoever decides what follows from a lost peer."""

    def peer_failed(self, peer: str) -> None:
        """Hear that a peer did not answer."""

    def peer_recovered(self, peer: str) -> None:
        """Hear that a peer answers and takes part."""

    def results_not_passed(self, results: Sequence[StoredResult]) -> None:
        """Hear that a peer could not be told of results that are read no more."""


class PeerLinks:
    """One connection to each peer that is needed, opened at first use."""

    def __init__(
        self,
        name: str,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        listener: _Listener,
    ) -> None:
        self._name = name
        self._record = UNREACHABLE
        self._spawn = spawn
        self._listener = listener
        self._addresses: Mapping[str, str] = {}
        self._clients: dict[str, GatewayClient] = {}
        self._connecting: dict[str, asyncio.Task[GatewayClient]] = {}
        self._loop = asyncio.get_running_loop()

    def introduce_as(self, record: PeerRecord) -> None:
        """Tell peers from now on that they reach this gateway there."""
        self._record = record

    def replace(self, addresses: Mapping[str, str]) -> None:
        """Use these addresses of peers; connections to others end."""
        self._addresses = addresses
        for name, client in list(self._clients.items()):
            if addresses.get(name) != client.peer:
                self._drop(name)

    def ask(self, peer: str, asks: Sequence[PieceJob]) -> None:
        """Ask a peer for pieces."""
        self._spawn(self._ask(peer, asks))

    def tell(self, peer: str, told: Sequence[PieceReport]) -> None:
        """Tell a peer what became of pieces; it asks again where this is lost."""
        self._spawn(self._tell(peer, told))

    def free(self, peer: str, results: Sequence[StoredResult], ended: str) -> None:
        """Tell a peer that results are read no more, or a request has ended."""
        self._spawn(self._free(peer, results, ended))

    async def greet(self, peer: str, versions: Versions) -> GatewayStatus:
        """Exchange versions with a peer; raises ``PeerLostError``."""
        return await self._call(
            peer, lambda c: c.exchange_status(self._name, self._record, versions)
        )

    async def read(self, peer: str, request: PartRequest) -> DocumentPart:
        """Read a part of what a peer believes; raises ``PeerLostError``."""
        return await self._call(peer, lambda client: client.read_part(request))

    def close(self) -> None:
        """Close every connection."""
        for name in list(self._clients):
            self._drop(name)

    async def _ask(self, peer: str, asks: Sequence[PieceJob]) -> None:
        try:
            now = self._loop.time()
            await self._call(
                peer, lambda client: client.submit_jobs(self._name, asks, now)
            )
        except PeerLostError as error:
            log.info("peer_lost", peer=peer, pieces=len(asks), cause=str(error))
            self._listener.peer_failed(peer)

    async def watch(self, to_check: Callable[[], frozenset[str]]) -> None:
        """Find out which peers have gone that make pieces, or are back."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await asyncio.gather(*(self._check(peer) for peer in to_check()))

    async def _check(self, peer: str) -> None:
        try:
            answer = await self.greet(peer, Versions())
        except PeerLostError as error:
            log.info("peer_lost", peer=peer, cause=str(error))
            self._listener.peer_failed(peer)
            return
        # One that has started anew and has no configuration yet would hand back
        # whatever it is asked for.
        if answer.versions.configuration and not answer.leaving:
            self._listener.peer_recovered(peer)

    async def _tell(self, peer: str, told: Sequence[PieceReport]) -> None:
        for _ in range(TELL_TRIES):
            try:
                await self._call(peer, lambda client: client.report_outcomes(told))
                return
            except PeerLostError as error:
                log.info("peer_not_told", peer=peer, pieces=len(told), cause=str(error))
            await asyncio.sleep(TELL_PAUSE_S)

    async def _free(
        self, peer: str, results: Sequence[StoredResult], ended: str
    ) -> None:
        try:
            await self._call(
                peer, lambda client: client.release_results(results, ended)
            )
        except PeerLostError as error:
            log.info("peer_not_told", peer=peer, results=len(results), cause=str(error))
            # Kept to their time limit they would fill their makers, and whoever calls
            # those next would find no room there for seconds.
            self._listener.results_not_passed(results)

    async def _call(
        self, peer: str, call: Callable[[GatewayClient], Coroutine[Any, Any, Any]]
    ) -> Any:
        client = await self._client(peer)
        try:
            return await call(client)
        except PeerLostError:
            if self._clients.get(peer) is client:
                self._drop(peer)
            raise

    async def _client(self, peer: str) -> GatewayClient:
        found = self._clients.get(peer)
        if found is not None:
            return found
        address = self._addresses.get(peer)
        if address is None:
            raise PeerLostError(peer, "no address is known")
        connecting = self._connecting.get(peer)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(peer, address))
            self._connecting[peer] = connecting
            connecting.add_done_callback(lambda _: self._connecting.pop(peer, None))
        return await asyncio.shield(connecting)

    async def _connect(self, peer: str, address: str) -> GatewayClient:
        host, port = split_address(address)
        client = await connect_gateway(host, port, CONNECT_TIMEOUT_S, CALL_TIMEOUT_S)
        self._clients[peer] = client
        log.info("peer_connected", peer=peer, address=address)
        return client

    def _drop(self, name: str) -> None:
        client = self._clients.pop(name)
        client.close()
        log.info("peer_disconnected", peer=name, address=client.peer)
