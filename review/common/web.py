"""A small HTTP/1.1 server and client for stand-ins, on the standard library alone."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Connection", "Request", "Response", "ask", "head_of", "listen"]

LIMIT = 2**22
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 503: "Unavailable"}


@dataclass
class Request:
    """A request as it was read from a connection; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


@dataclass
class Connection:
    """A connection of a caller; ``serial`` counts its requests, ``extra`` is free."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    serial: int = 0
    extra: list[bytes] = field(default_factory=list)

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Write a whole response with a length."""
        await self.send(head_of(status, headers or {}, len(body)) + body)


@dataclass
class Response:
    """A response; not ``complete`` if its connection ended before its body did."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


Handler = Callable[[Request, Connection], Awaitable[None]]


def head_of(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Return the head of a response, with a length unless that is ``None``."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def listen(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve on loopback; return the server and its port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await _read_request(reader)) is not None:
                connection.serial += 1
                await handler(request, connection)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The case has ended, or the caller has gone.
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port, limit=LIMIT)
    return server, server.sockets[0].getsockname()[1]


async def ask(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Response | None:
    """Send a request on a new connection; ``None`` if no head of an answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=LIMIT
            )
            try:
                sent = {**headers, "Content-Length": str(len(body))}
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in sent.items()]
                head = "\r\n".join(lines) + "\r\n\r\n"
                writer.write(head.encode("latin-1") + body)
                return await _read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body, _ = await _read_body(reader, head[1], until_close=False)
    return Request(method, target, head[1], body)


async def _read_response(reader: asyncio.StreamReader) -> Response | None:
    head = await _read_head(reader)
    if head is None:
        return None
    body, complete = await _read_body(reader, head[1], until_close=True)
    return Response(int(head[0].split(" ")[1]), head[1], body, complete)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_close: bool
) -> tuple[bytes, bool]:
    parts: list[bytes] = []
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
        elif "content-length" in headers:
            parts.append(await reader.readexactly(int(headers["content-length"])))
        elif until_close:
            parts.append(await reader.read())
    except asyncio.IncompleteReadError as error:
        return b"".join([*parts, error.partial]), False
    except (ConnectionError, ValueError):
        return b"".join(parts), False
    return b"".join(parts), True
