"""
The prompt that a model engine is given, and the blocks by which it may be cached.

The caller's input comes first: it is known when a request arrives, and a thread that
grows keeps its beginning. Documents found by earlier stages follow.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import msgspec

from amaranthtally.policy import Pipeline

__all__ = [
    "input_prefix_blocks",
    "build_prompt",
    "cache_salt",
    "input_text",
    "prefix_blocks",
]

BLOCK_CHARS = 64
HASH_BYTES = 8
SALT_BYTES = 8


def input_text(value: msgspec.Raw) -> str:
    """Return a caller's input as the text that an engine sees."""
    decoded: Any = msgspec.json.decode(value)
    return decoded if isinstance(decoded, str) else bytes(value).decode()


def build_prompt(text: str, documents: Iterable[str]) -> str:
    """Return the prompt of an input's text and the documents found for it."""
    return "\n".join([text, *documents])


def cache_salt(account: str) -> str:
    """
    Return what parts an account's cached blocks from all others'.

    Without it a caller could tell by the time to the first token whether another
    account had sent the same text.
    """
    return blake2b(account.encode(), digest_size=SALT_BYTES).hexdigest()


def prefix_blocks(salt: str, text: str, most: int) -> tuple[int, ...]:
    """
    Return the hashes of a text's first whole blocks, at most so many.

    Each covers all text before it. Hashes of different salts are never the same
    but by chance, one in 2**64.
    """
    whole = min(most, len(text) // BLOCK_CHARS)
    state = blake2b(salt.encode(), digest_size=HASH_BYTES)
    blocks = []
    for index in range(whole):
        start = index * BLOCK_CHARS
        state.update(text[start : start + BLOCK_CHARS].encode(errors="replace"))
        blocks.append(int.from_bytes(state.digest(), "big"))
    return tuple(blocks)


def input_prefix_blocks(
    account: str, pipeline: Pipeline, value: msgspec.Raw, most: int
) -> tuple[int, ...]:
    """Return the blocks of an arriving input, where a stage's endpoints cache any."""
    if not most or not pipeline.caches_prefixes:
        return ()
    return prefix_blocks(cache_salt(account), input_text(value), most)
