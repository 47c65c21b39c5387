"""Ports on loopback that belong to a process also while it is down."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LOOPBACK", "reserve_port"]

LOOPBACK = "127.0.0.1"


@contextmanager
def reserve_port() -> Iterator[int]:
    """
    Yield a port for processes that listen on it one after another.

    A port that is only known to be free is given to whoever asks for any port, or
    calls out, before the process listens. A bound socket that never listens keeps
    the kernel from that, and lets in a listener that allows reuse.
    """
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((LOOPBACK, 0))
        yield held.getsockname()[1]
