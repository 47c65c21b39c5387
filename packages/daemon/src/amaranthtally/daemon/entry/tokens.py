"""
Signed tokens, which carry a request's bindings to the caller and back.

Issuing or using a token needs no write to the platform, so tokens work while the
platform is down.
"""

import base64
import secrets

import msgspec
from result import Err, Result

from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.decoding import DecodeError, decode_base64, decode_json
from amaranthtally.policy.at_most_once import Binding

__all__ = [
    "TOKEN_PREFIX",
    "Token",
    "TokenError",
    "TokenSigner",
    "is_token",
    "new_token",
]

TOKEN_PREFIX = "att1."
SERIAL_BYTES = 12


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Permits a client account one run of a pipeline, at the bound incarnations."""

    account: str
    pipeline: str
    serial: str
    bindings: list[Binding]


class TokenError(msgspec.Struct, frozen=True):
    """A token is malformed, or not signed with a key that this entry accepts."""

    def __str__(self) -> str:
        return "the token is not valid; ask for a new one"


class TokenSigner:
    """Signs and verifies tokens."""

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys

    def sign(self, token: Token) -> str:
        """Return the signed text of a token."""
        body = msgspec.json.encode(token)
        return TOKEN_PREFIX + _encode(body) + "." + _encode(self._keys.sign(body))

    def verify(self, text: str) -> Result[Token, TokenError]:
        """Return the token of a signed text, or an error."""
        body_text, _, mac_text = text.removeprefix(TOKEN_PREFIX).partition(".")
        body, mac = _decode(body_text), _decode(mac_text)
        if isinstance(body, Err) or isinstance(mac, Err):
            return Err(TokenError())
        if not self._keys.accepts(body.ok_value, mac.ok_value):
            return Err(TokenError())
        return decode_json(body.ok_value, Token).map_err(lambda _: TokenError())


def new_token(account: str, pipeline: str, bindings: list[Binding]) -> Token:
    """Return a token with a new random serial."""
    return Token(account, pipeline, secrets.token_hex(SERIAL_BYTES), bindings)


def is_token(key: str) -> bool:
    """Whether a key is a token, and not one of the caller's choice."""
    return key.startswith(TOKEN_PREFIX)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> Result[bytes, DecodeError]:
    padded = text + "=" * (-len(text) % 4)
    return decode_base64(padded, altchars=b"-_")
