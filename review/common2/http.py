"""A small HTTP/1.1 client and server on streams, which show the bytes as they are."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response; ``start`` is its first line."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, to_end: bool = False
) -> None:
    """Read a body into its message; ``to_end`` if one without a length may follow."""
    parts: list[bytes] = []
    try:
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            while size:
                part = await reader.read(min(size, 65536))
                if not part:
                    raise ConnectionResetError
                parts.append(part)
                size -= len(part)
        elif to_end:
            while part := await reader.read(65536):
                parts.append(part)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_complete = False
    message.body = b"".join(parts)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@dataclass
class Outcome:
    """What a client got: a status, or 0 if the connection ended without one."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    within_s: float = 10.0,
) -> Outcome:
    """Send one request on a new connection; return what came back."""
    loop = asyncio.get_running_loop()
    outcome = Outcome(headers.get("X-Amaranthtally-Request-Id", ""), loop.time())
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            outcome.sent_at = loop.time()
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            response = await read_head(reader)
            if response is not None:
                outcome.status = response.status
                outcome.headers = response.headers
                await read_body(reader, response, to_end=True)
                outcome.body = response.body
                outcome.is_complete = response.is_complete
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    outcome.ended_at = loop.time()
    return outcome
