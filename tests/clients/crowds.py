"""Crowds of connections that send or read without regard to any limit."""

import asyncio
import struct
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from amaranthtally.adapter import headers as names

# Connections of a flood, and most bytes that each of them sends.
FLOOD_CONNECTIONS = 30
FLOOD_BYTES = 10_000_000
WRITE_BYTES = 65_536
# Most time that a flood takes, in seconds: it ends by itself.
FLOOD_TIMEOUT_S = 20.0
# What a client that reads nothing leaves in its own buffers, in bytes.
UNREAD_BYTES = 4096

HEAD = b"POST /job/ HTTP/1.1\r\nHost: api.example\r\n"
# Stands for the number of a connection, so that requests have different ids.
NUMBER = b"@"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ID_LINE = names.REQUEST_ID.encode() + b": crowd-" + NUMBER + b"\r\n"
GET = b"GET /job/ HTTP/1.1\r\nHost: api.example\r\n" + ID_LINE + b"\r\n"


@dataclass(frozen=True)
class Flood:
    """What each connection of a crowd sends: an opening, then a part without end."""

    opening: bytes
    repeated: bytes
    is_read: bool = True


FLOODS = {
    "empty lines": Flood(b"", b"\r\n"),
    "method": Flood(b"", b"A"),
    "request line": Flood(b"GET /", b"a"),
    "header name": Flood(HEAD, b"a"),
    "header value": Flood(HEAD + b"a: ", b"a"),
    "spaces before a value": Flood(HEAD + b"a:", b" "),
    "small headers": Flood(HEAD, b"a: b\r\n"),
    "large headers": Flood(HEAD, b"a: " + b"b" * 8000 + b"\r\n"),
    "folded lines": Flood(HEAD + b"a: b\r\n", b" c\r\n"),
    "chunk size": Flood(CHUNKED, b"0"),
    "chunk extension": Flood(CHUNKED + b"1;", b"a"),
    "chunks": Flood(CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    "trailers": Flood(CHUNKED + b"0\r\n", b"a: b\r\n"),
    "requests": Flood(b"", GET),
    "requests that nobody reads": Flood(b"", GET, is_read=False),
}


async def send_flood(host, port, flood):
    """Let a crowd send a flood; it ends as the server closes, or after its bytes."""

    async def send(number):
        part = flood.repeated.replace(NUMBER, b"%d" % number)
        part *= -(-WRITE_BYTES // len(part))
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(
                host, port, limit=UNREAD_BYTES
            )
            reading = asyncio.create_task(_read_all(reader)) if flood.is_read else None
            try:
                writer.write(flood.opening)
                for _ in range(0, FLOOD_BYTES, len(part)):
                    writer.write(part)
                    await writer.drain()
            finally:
                if reading is not None:
                    reading.cancel()
                writer.transport.abort()

    sending = [asyncio.create_task(send(n)) for n in range(FLOOD_CONNECTIONS)]
    _, pending = await asyncio.wait(sending, timeout=FLOOD_TIMEOUT_S)
    for task in pending:
        task.cancel()
    await asyncio.gather(*sending, return_exceptions=True)


async def _read_all(reader):
    with suppress(OSError):
        while await reader.read(WRITE_BYTES):
            pass


HALF_BODY = HEAD + b"Content-Length: 10\r\n\r\nhalf"
# What each connection of a crowd sends once, before it is left open.
LEFT_OPEN = {
    "nothing": b"",
    "an empty line": b"\r\n",
    "half a head": HEAD,
    "half a body": HALF_BODY,
    "half a chunk": CHUNKED + b"a\r\nhalf",
    "half the trailers": CHUNKED + b"0\r\na: b\r\n",
    "a request": GET,
    "requests that nobody reads": GET * 16,
}


@asynccontextmanager
async def connections_left_open(host, port, count, sent):
    """Open connections one after the other, and leave them open."""
    writers = []
    try:
        for number in range(count):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(
                    host, port, limit=UNREAD_BYTES
                )
                writers.append(writer)
                writer.write(sent.replace(NUMBER, b"%d" % number))
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


def _frame_head(words, segments=1):
    """Return the head of a Cap'n Proto message whose first segment has a size."""
    return struct.pack("<II", segments - 1, words)


# Just below the largest message that a peer may send, in words of 8 bytes.
LARGE_FRAME_WORDS = 2_000_000
PEER_FLOODS = {
    "text": Flood(b"", b"a"),
    "zeros": Flood(b"", b"\0"),
    "too large a message": Flood(_frame_head(2**31), b"\0"),
    "too many segments": Flood(_frame_head(1, segments=2**31), b"\1\0\0\0"),
    "a large message": Flood(_frame_head(LARGE_FRAME_WORDS), b"\0"),
    "messages that nobody reads": Flood(b"", _frame_head(1) + bytes(8), is_read=False),
}
PEERS_LEFT_OPEN = {
    "nothing": b"",
    "half a frame": b"\0\0\0",
    "half a message": _frame_head(1000) + bytes(400),
}
