"""Identifies requests with the same content, whatever their ids."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["RequestKey", "request_key"]

DIGEST_BYTES = 16
LENGTH_BYTES = 8


@dataclass(frozen=True, slots=True)
class RequestKey:
    """
    The digest of what a request asks for.

    A caller that sends a request again gives it a new id and a shorter deadline; its
    key stays the same, at all entries.
    """

    digest: int

    def __str__(self) -> str:
        return f"{self.digest:0{2 * DIGEST_BYTES}x}"


def request_key(
    method: str,
    host: str,
    target: str,
    parts: Iterable[int],
    *body: bytes | memoryview,
) -> RequestKey:
    """
    Return the key of a request; ``parts`` are those of its prompt, if it has one.

    ``body`` is the request's body, cut into any number of pieces.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    prompt = ",".join(f"{part:x}" for part in parts)
    for field in (method, host, target, prompt):
        _add(digest, field.encode("utf-8", "surrogateescape"))
    _add(digest, *body)
    return RequestKey(int.from_bytes(digest.digest()))


def _add(digest: blake2b, *field: bytes | memoryview) -> None:
    # With its length before it, no field can pass for the end of another one.
    digest.update(sum(map(len, field)).to_bytes(LENGTH_BYTES))
    for piece in field:
        digest.update(piece)
