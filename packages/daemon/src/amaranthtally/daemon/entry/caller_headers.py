"""Request headers of callers: the bearer key and the idempotency key."""

import re

from aiohttp import hdrs, web

from amaranthtally.daemon.entry.tokens import is_token

__all__ = ["IDEMPOTENCY_KEY", "bearer_key", "is_well_formed"]

IDEMPOTENCY_KEY = "Idempotency-Key"
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,128}$")
MAX_TOKEN_CHARS = 2048


def is_well_formed(key: str) -> bool:
    """Whether an idempotency key is a token, or a valid key of the caller's choice."""
    if is_token(key):
        return len(key) <= MAX_TOKEN_CHARS
    return KEY_PATTERN.match(key) is not None


def bearer_key(request: web.Request) -> str:
    """Return the bearer key of a request, or an empty string."""
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
