"""Loopback ports that stay reserved for a process while it is not running."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LOOPBACK", "reserve_port"]

LOOPBACK = "127.0.0.1"


@contextmanager
def reserve_port() -> Iterator[int]:
    """
    Yield a port for processes that listen on it one after another.

    If the port were only chosen and not bound, the kernel could assign it to another
    process, as an ephemeral port of a listener or of an outgoing connection, before the
    intended process listens on it. This function binds a socket that never listens. The
    kernel then does not assign the port, and a listener that sets ``SO_REUSEADDR`` can
    still use it.
    """
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((LOOPBACK, 0))
        yield reservation.getsockname()[1]
