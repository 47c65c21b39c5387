"""Time-outs for responses of the platform."""

import aiohttp

__all__ = ["answer_timeout"]

# Limit on a whole response, in seconds. A response may hold all settings, and one that
# is cut off must be sent again from the start. On a slow link, a limit shorter than the
# transfer would keep the link saturated with retries of which none completes. This one
# is long enough to end only responses that trickle in indefinitely.
RESPONSE_TIMEOUT_S = 30.0


def answer_timeout(
    read_timeout_s: float, connect_s: float | None = None
) -> aiohttp.ClientTimeout:
    """Return a time-out for ``read_timeout_s`` seconds without data of a response."""
    return aiohttp.ClientTimeout(
        total=RESPONSE_TIMEOUT_S, sock_connect=connect_s, sock_read=read_timeout_s
    )
