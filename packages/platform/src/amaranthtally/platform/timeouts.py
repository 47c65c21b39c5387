"""How long an answer of the platform may take."""

import aiohttp

__all__ = ["answer_timeout"]

# An answer may be as large as all settings, over any link, and one that is cut has to
# be sent again as a whole: a bound on all of it, which a link is too thin for, would
# keep that link full and let nothing through. This one, in seconds, ends only answers
# that trickle without an end.
ANSWER_TIMEOUT_S = 30.0


def answer_timeout(
    silence_s: float, connect_s: float | None = None
) -> aiohttp.ClientTimeout:
    """Give an answer up once nothing of it has come for so many seconds."""
    return aiohttp.ClientTimeout(
        total=ANSWER_TIMEOUT_S, sock_connect=connect_s, sock_read=silence_s
    )
