"""Sends the store's changes to the gateways that follow this one."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["ChangePusher"]

# How long a peer counts as a follower after its last call, in seconds: three intervals
# between its calls.
FOLLOWER_TTL_S = 3.0

log = get_logger()


@dataclass(slots=True)
class _Follower:
    """A follower, the versions that it holds, and until when it counts as one."""

    versions: Versions
    until: float
    is_being_sent: bool = False


class ChangePusher:
    """
    Sends each change to every follower at once.

    A change that is lost on the way costs little: the follower sees at its next call
    that it is behind, and reads the change itself.
    """

    def __init__(
        self,
        connections: PeerConnections,
        replica: StoreReplica,
        versions: Callable[[], Versions],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._connections = connections
        self._replica = replica
        self._versions = versions
        self._spawn = spawn
        self._followers: dict[str, _Follower] = {}
        self._time = asyncio.get_running_loop().time

    @property
    def follower_count(self) -> int:
        """Number of gateways that follow this one."""
        now = self._time()
        return sum(follower.until > now for follower in self._followers.values())

    def note_follower(self, name: str, versions: Versions) -> None:
        """Note that a peer follows this gateway and holds these versions."""
        until = self._time() + FOLLOWER_TTL_S
        follower = self._followers.get(name)
        if follower is None:
            self._followers[name] = _Follower(versions, until)
            log.info("follower_joined", peer=name)
        else:
            follower.versions = versions
            follower.until = until

    def wake(self) -> None:
        """Send whatever followers lack, in the background."""
        now = self._time()
        for name, follower in list(self._followers.items()):
            if follower.until <= now:
                self._drop(name, "no call")
            elif not follower.is_being_sent and self._is_behind(follower):
                follower.is_being_sent = True
                self._spawn(self._send_all(name, follower))

    async def _send_all(self, name: str, follower: _Follower) -> None:
        try:
            while self._is_behind(follower) and await self._send_next(name, follower):
                pass
        except PeerLostError as error:
            self._drop(name, str(error))
        finally:
            follower.is_being_sent = False

    async def _send_next(self, name: str, follower: _Follower) -> bool:
        """Send one batch; return whether to continue."""
        batch = self._replica.changes_after(follower.versions.records)
        if batch is None:
            # The follower lacks more than is kept, and reads all at its next call.
            return False
        versions = self._versions()
        if not await self._connections.push_changes(name, batch, versions):
            self._drop(name, "not followed any more")
            return False
        follower.versions = Versions(versions.configuration, batch.revision)
        return True

    def _is_behind(self, follower: _Follower) -> bool:
        own = self._versions()
        return (
            follower.versions.records < own.records
            or follower.versions.configuration < own.configuration
        )

    def _drop(self, name: str, cause: str) -> None:
        if self._followers.pop(name, None) is not None:
            log.info("follower_left", peer=name, cause=cause)
