"""Sessions whose connections bound and check the responses of servers."""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import aiohttp

from amaranthtally.platform.call_bounds import current_trace
from amaranthtally.platform.read_turns import ReadTurns
from amaranthtally.platform.reception import Reception
from amaranthtally.platform.response_handler import BoundedResponseHandler
from amaranthtally.policy import PLATFORM_LIMIT, ResponseLimit

__all__ = ["bounded_connector", "bounded_session", "read_body"]


def bounded_session(
    bounds: ResponseLimit = PLATFORM_LIMIT,
    reception: Reception | None = None,
    *,
    resends: bool = False,
    connector_options: Mapping[str, Any] | None = None,
    **options: Any,
) -> aiohttp.ClientSession:
    """
    Return a session of ``bounded_connector`` that keeps no cookies.

    With ``resends`` a call whose method is idempotent is sent again if its connection
    ends before a response. Its first copy may have taken effect, and the method does
    not show whether the call may run twice.
    """
    session = aiohttp.ClientSession(
        connector=bounded_connector(bounds, reception, **(connector_options or {})),
        cookie_jar=aiohttp.DummyCookieJar(),
        **options,
    )
    session._retry_connection = resends  # noqa: SLF001
    return session


def bounded_connector(
    bounds: ResponseLimit = PLATFORM_LIMIT,
    reception: Reception | None = None,
    **options: Any,
) -> aiohttp.TCPConnector:
    """
    Return a connector whose connections check heads and enforce ``response_bounds``.

    ``bounds`` are those of the calls outside of such a context. ``reception`` bounds
    what all responses that are held take together; without it, nothing does. A call
    raises ``ResponseLimitError`` if its response exceeds the bounds, and
    ``MalformedHeadError`` if the head departs from the standard.
    """
    connector = _BoundedConnector(**options)
    # aiohttp bounds single lines and their number only. It has no public option for the
    # protocol class; ``tests/platform/test_bounded_responses.py`` fails without this.
    factory: Any = partial(
        BoundedResponseHandler,
        asyncio.get_running_loop(),
        bounds,
        reception or Reception(),
        ReadTurns(),
    )
    connector._factory = factory  # noqa: SLF001
    return connector


def _ignore_size(size: int) -> None:
    pass


async def read_body(
    response: aiohttp.ClientResponse, on_part: Callable[[int], None] = _ignore_size
) -> bytes:
    """
    Return the whole body of a response; what came of a broken one is dropped.

    ``on_part`` is called with the size of each part as it comes, in bytes.
    """
    parts: list[bytes] = []
    part = b""
    try:
        async for part in response.content.iter_any():
            parts.append(part)
            on_part(len(part))
    except BaseException:
        # The error refers to this frame, and to itself: until it is collected as
        # garbage, it would keep what has come.
        parts.clear()
        part = b""
        raise
    return b"".join(parts)


class _BoundedConnector(aiohttp.TCPConnector):
    """Opens a connection for each call that needs a new one."""

    async def _get(self, *args: Any) -> Any:
        # aiohttp offers new connections for all calls or for none.
        trace = current_trace()
        if trace is not None and trace.needs_new_connection:
            return None
        return await super()._get(*args)
