"""
Prompts for model engines, and hashes of their prefix blocks for cache-aware routing.

A prompt starts with the caller's input, because the input is known when the request
arrives and because a growing conversation keeps its beginning, which an engine can have
in its prefix cache. Documents retrieved by earlier stages follow.
"""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from amaranthtally.decoding import decode_json
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
    """Return a JSON string decoded, and any other JSON value as its JSON text."""
    return decode_json(bytes(value), str).unwrap_or(bytes(value).decode())


def build_prompt(text: str, documents: Iterable[str]) -> str:
    """Return the prompt for an input text and the documents retrieved for it."""
    return "\n".join([text, *documents])


def cache_salt(account: str) -> str:
    """
    Return the salt that keeps an account's cached blocks apart from other accounts'.

    Without it, a caller could infer from the time to the first token whether another
    account had sent the same text.
    """
    return blake2b(account.encode(), digest_size=SALT_BYTES).hexdigest()


def prefix_blocks(salt: str, text: str, max_blocks: int) -> tuple[int, ...]:
    """
    Return the hashes of the first complete blocks of a text, at most ``max_blocks``.

    Each hash covers its block and all text before it. Hashes with different salts
    collide with a probability of 1 in 2**64.
    """
    block_count = min(max_blocks, len(text) // BLOCK_CHARS)
    hasher = blake2b(salt.encode(), digest_size=HASH_BYTES)
    blocks = []
    for index in range(block_count):
        start = index * BLOCK_CHARS
        hasher.update(text[start : start + BLOCK_CHARS].encode(errors="replace"))
        blocks.append(int.from_bytes(hasher.digest(), "big"))
    return tuple(blocks)


def input_prefix_blocks(
    account: str, pipeline: Pipeline, value: msgspec.Raw, max_blocks: int
) -> tuple[int, ...]:
    """Return the prefix blocks of a request's input; empty if no stage caches any."""
    if not max_blocks or not pipeline.caches_prefixes:
        return ()
    return prefix_blocks(cache_salt(account), input_text(value), max_blocks)
