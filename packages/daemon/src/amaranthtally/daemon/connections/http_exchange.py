"""aiohttp's handler of a connection, and how far its requests have been read."""

import asyncio

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

__all__ = ["HttpExchange"]

# Requests that may wait behind the one that is handled. aiohttp parses 32 of them by
# itself, each with a head of the largest size.
MAX_WAITING_REQUESTS = 2
# What is read of a body before its handler asks for more, in bytes.
BODY_BUFFER_BYTES = 16_384
# How long the rest of a refused request is read, in seconds, so that its client is not
# reset before it has read the refusal.
LINGERING_S = 2.0


class HttpExchange(web.RequestHandler):
    """Parses the requests of one connection and runs their handlers."""

    __slots__ = ("_payload",)

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        head_bytes: int,
        decompresses: bool,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=decompresses,
            max_line_size=head_bytes,
            max_field_size=head_bytes,
            lingering_time=LINGERING_S,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS - 1
        self._payload: StreamReader | None = None

    @property
    def progress(self) -> tuple[int, int]:
        """Number of heads and of bytes of the last body that have been parsed."""
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        return self._request_count, body_bytes

    @property
    def is_reading_body(self) -> bool:
        """Whether the body of the last request is not complete."""
        return self._payload is not None and not self._payload.is_eof()

    @property
    def has_request(self) -> bool:
        """Whether a request is handled, or waits to be."""
        return self._request_in_progress or bool(self._messages)

    @property
    def has_had_request(self) -> bool:
        """Whether any head has been parsed."""
        return self._payload is not None

    def receive(self, data: bytes) -> bool:
        """Parse what was received; return whether it may be part of requests."""
        self.data_received(data)
        if not self._messages:
            return True
        newest, payload = self._messages[-1]
        if not isinstance(newest, RawRequestMessage):
            return False
        self._payload = payload
        return True
