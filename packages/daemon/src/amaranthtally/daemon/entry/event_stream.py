"""A response of server-sent events."""

import asyncio

from aiohttp import hdrs, web

__all__ = ["EventStream"]

EVENT_STREAM = "text/event-stream"
NON_BLOCKING_BYTES = 16_384


class EventStream:
    """
    Writes events at the rate at which the caller reads them.

    Raises ``ConnectionResetError`` if the caller has read nothing for
    ``stall_timeout_s`` seconds. A stalled caller would otherwise keep its response
    open, and a planned stop of the entry would wait for it until the drain limit.
    """

    def __init__(self, request: web.Request, stall_timeout_s: float) -> None:
        self._request = request
        self._stall_timeout_s = stall_timeout_s
        self._response = web.StreamResponse(headers={hdrs.CONTENT_TYPE: EVENT_STREAM})

    @property
    def response(self) -> web.StreamResponse:
        """The HTTP response that the request handler returns."""
        return self._response

    async def open(self) -> None:
        """Send the status line and the headers."""
        await self._response.prepare(self._request)

    async def send(self, name: str, *data: bytes) -> None:
        """Send one event for each item of ``data``, all in one write."""
        event_name = name.encode()
        events = b"".join(
            b"event: %s\ndata: %s\n\n" % (event_name, item) for item in data
        )
        if self._fits_in_buffer(len(events)):
            await self._response.write(events)
            return
        try:
            async with asyncio.timeout(self._stall_timeout_s):
                await self._response.write(events)
        except TimeoutError as error:
            if self._request.transport is not None:
                self._request.transport.abort()
            raise ConnectionResetError("the caller reads nothing") from error

    def _fits_in_buffer(self, size: int) -> bool:
        # A write blocks only while the transport buffers more than its high-water mark
        # of 64 KiB. Well below that, the write needs no timeout, and setting one up
        # would cost as much as the write itself.
        transport = self._request.transport
        return (
            transport is not None
            and transport.get_write_buffer_size() + size < NON_BLOCKING_BYTES
        )

    async def close(self) -> None:
        """End the response."""
        await self._response.write_eof()
