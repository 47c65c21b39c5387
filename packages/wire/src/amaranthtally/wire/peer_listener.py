"""Accepts connections of peers; those that have made no call give way to new ones."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from functools import wraps
from inspect import iscoroutinefunction
from typing import Any, TypeVar

import capnp

__all__ = ["PeerConnection", "PeerLimits", "listen_for_peers", "noting_calls"]

BACKLOG = 1024
# The head of a message in Cap'n Proto's framing: its number of segments less one, and
# the size of the first, in words of 8 bytes.
MESSAGE_HEAD = struct.Struct("<II")
# Pauses between looks at what has arrived, in seconds; each is twice the one before.
FIRST_LOOK_S, LONGEST_LOOK_S = 0.005, 0.25
# Pause after a connection could not be accepted, as for want of a descriptor, in
# seconds.
ACCEPT_PAUSE_S = 0.1

ServerT = TypeVar("ServerT", bound=type)
Serve = Callable[[Any, "PeerConnection"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """
    Limits on the connections of peers.

    ``connections`` is their number. A connection is a stranger's until it has made a
    call, for ``first_call_s`` seconds at most. Its first message, which only asks for
    an object to call, has ``first_message_words`` words of 8 bytes at most.
    """

    connections: int = 10_000
    first_call_s: float = 5.0
    first_message_words: int = 1024


class PeerConnection:
    """A connection that was accepted, and whether any call has come over it."""

    def __init__(self, accepted: socket.socket) -> None:
        self.socket = accepted
        self._is_known = False
        self._closed = asyncio.Event()

    @property
    def is_known(self) -> bool:
        """Whether any call has come over it."""
        return self._is_known

    def note_call(self) -> None:
        """Note that a call has come over it."""
        self._is_known = True

    def close(self) -> None:
        """Close it, whatever it waits for."""
        self._closed.set()

    def close_unless_known(self) -> None:
        """Close it, unless a call has come over it."""
        if not self._is_known:
            self.close()

    async def run_until_closed(self, work: Awaitable[object]) -> None:
        """Run ``work`` until it ends or the connection is closed."""
        tasks = [
            asyncio.ensure_future(work),
            asyncio.ensure_future(self._closed.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class _PeerListener:
    def __init__(
        self, listening: socket.socket, serve: Serve, limits: PeerLimits
    ) -> None:
        self._listening = listening
        self._is_stopped = False
        self._serve = serve
        self._limits = limits
        # In the order in which they were accepted.
        self._connections: dict[PeerConnection, asyncio.Task[None]] = {}
        # Tasks of connections that gave way; the event loop alone holds them weakly.
        self._closing: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Accept connections from now on."""
        if not self._is_stopped:
            self._loop.add_reader(self._listening, self._accept_waiting)

    def stop(self) -> None:
        """Accept no more connections."""
        self._is_stopped = True
        self._loop.remove_reader(self._listening)

    async def close(self) -> None:
        """Close all connections."""
        tasks = [*self._connections.values(), *self._closing]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept_waiting(self) -> None:
        try:
            accepted, _ = self._listening.accept()
        except BlockingIOError:
            return
        except OSError:
            self._loop.remove_reader(self._listening)
            self._loop.call_later(ACCEPT_PAUSE_S, self.start)
            return
        self._accept(accepted)

    def _accept(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._has_room():
            accepted.close()
            return
        connection = PeerConnection(accepted)
        task = self._loop.create_task(self._handle(connection))
        self._connections[connection] = task
        task.add_done_callback(lambda task: self._forget(connection, task))

    def _forget(self, connection: PeerConnection, task: asyncio.Task[None]) -> None:
        self._connections.pop(connection, None)
        self._closing.discard(task)

    def _has_room(self) -> bool:
        """Whether there is room for one more, after a stranger has made some."""
        if len(self._connections) < self._limits.connections:
            return True
        strangers = (c for c in self._connections if not c.is_known)
        longest = next(strangers, None)
        if longest is None:
            return False
        self._closing.add(self._connections.pop(longest))
        longest.close()
        return True

    async def _handle(self, connection: PeerConnection) -> None:
        timer = self._loop.call_later(
            self._limits.first_call_s, connection.close_unless_known
        )
        try:
            await connection.run_until_closed(self._run(connection))
        finally:
            timer.cancel()

    async def _run(self, connection: PeerConnection) -> None:
        stream = None
        try:
            if not await self._has_small_first_message(connection.socket):
                return
            stream = await capnp.AsyncIoStream.create_connection(sock=connection.socket)
            await self._serve(stream, connection)
        except OSError:
            return
        finally:
            if stream is None:
                connection.socket.close()
            else:
                stream.close()

    async def _has_small_first_message(self, accepted: socket.socket) -> bool:
        """Wait for the head of the first message; return whether a peer sends such."""
        pause_s = FIRST_LOOK_S
        while True:
            with suppress(BlockingIOError):
                head = accepted.recv(MESSAGE_HEAD.size, socket.MSG_PEEK)
                if not head:
                    return False
                if len(head) == MESSAGE_HEAD.size:
                    break
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_LOOK_S, 2.0 * pause_s)
        other_segments, words = MESSAGE_HEAD.unpack(head)
        return not other_segments and words <= self._limits.first_message_words


@asynccontextmanager
async def listen_for_peers(
    serve: Serve, host: str, port: int, limits: PeerLimits
) -> AsyncIterator[int]:
    """
    Call ``serve`` with the stream of each connection; yield the bound port.

    Port 0 lets the kernel choose a free one. Must run inside ``capnp.kj_loop()``. On
    exit the listening socket is closed and the open connections end.
    """
    with socket.create_server((host, port), backlog=BACKLOG) as listening:
        listening.setblocking(False)
        listener = _PeerListener(listening, serve, limits)
        listener.start()
        try:
            yield listening.getsockname()[1]
        finally:
            listener.stop()
    await listener.close()
    await asyncio.sleep(0)


def noting_calls(server_class: ServerT) -> ServerT:
    """Let each call to a server note itself at the server's ``connection``."""
    for name, method in list(vars(server_class).items()):
        if iscoroutinefunction(method) and not name.startswith("_"):
            setattr(server_class, name, _noting(method))
    return server_class


def _noting(method: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
    @wraps(method)
    async def call(self: Any, *arguments: Any, **named: Any) -> None:
        self.connection.note_call()
        await method(self, *arguments, **named)

    return call
