"""Finds out whether an endpoint has ended, by a connection without a request."""

import asyncio

__all__ = ["keeps_connections"]

# Time-out for opening the connection, in seconds.
CONNECT_TIMEOUT_S = 0.5
# An endpoint that has ended closes a connection within this time, in seconds, if
# something else accepts it in its place.
CLOSED_WITHIN_S = 0.1


async def keeps_connections(address: str) -> bool:
    """
    Return whether an endpoint leaves a new connection open.

    If it cannot be reached at all, it may be cut off and go on working: that does not
    show that it has ended.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionError:
        return False
    except (OSError, TimeoutError):
        return True
    try:
        async with asyncio.timeout(CLOSED_WITHIN_S):
            return await reader.read(1) != b""
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    finally:
        writer.transport.abort()
