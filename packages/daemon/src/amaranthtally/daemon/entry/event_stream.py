"""A response of server-sent events to one caller."""

import asyncio

from aiohttp import hdrs, web

__all__ = ["EventStream"]

EVENT_STREAM = "text/event-stream"
NO_WAIT_BYTES = 16_384


class EventStream:
    """
    Writes events as fast as the caller reads them.

    Raises ``ConnectionResetError`` once the caller has read nothing for ``stall_s``
    seconds. A caller that stands still would otherwise keep its response open, and a
    planned stop of the entry would wait for it up to its limit.
    """

    def __init__(self, request: web.Request, stall_s: float) -> None:
        self._request = request
        self._stall_s = stall_s
        self._response = web.StreamResponse(headers={hdrs.CONTENT_TYPE: EVENT_STREAM})

    @property
    def response(self) -> web.StreamResponse:
        """The response, for the server."""
        return self._response

    async def open(self) -> None:
        """Send the head of the response."""
        await self._response.prepare(self._request)

    async def send(self, name: str, *data: bytes) -> None:
        """Send an event for each of ``data``, in one write."""
        kind = name.encode()
        events = b"".join(b"event: %s\ndata: %s\n\n" % (kind, item) for item in data)
        if self._has_room(len(events)):
            await self._response.write(events)
            return
        try:
            async with asyncio.timeout(self._stall_s):
                await self._response.write(events)
        except TimeoutError as error:
            if self._request.transport is not None:
                self._request.transport.abort()
            raise ConnectionResetError("the caller reads nothing") from error

    def _has_room(self, size: int) -> bool:
        # A write waits only while the transport holds more than its high-water mark,
        # 64 KiB. Far below it no timer is needed, which costs as much as the write.
        transport = self._request.transport
        return (
            transport is not None
            and transport.get_write_buffer_size() + size < NO_WAIT_BYTES
        )

    async def close(self) -> None:
        """End the response."""
        await self._response.write_eof()
