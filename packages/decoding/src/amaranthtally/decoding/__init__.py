"""
Decoders for data from outside; each returns a failure instead of raising it.

A decoder raises more than its documented errors: msgspec raises ``RecursionError`` for
nested data, also in fields that the type ignores. An exception that nobody expected
ends the task that decodes, so that one odd record stops all others.
"""

import base64
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any, TypeVar, cast

import msgspec
from result import Err, Ok, Result

from amaranthtally.decoding.nesting import is_nested_deeper

__all__ = [
    "DEFAULT_BOUNDS",
    "DecodeBounds",
    "DecodeError",
    "DecodeFault",
    "decode_base64",
    "decode_json",
    "decode_msgpack",
    "unwrap_decoded",
]

# Most nested arrays and objects. The interpreter allows about 1,000 calls within each
# other, less those that are active already. Below this bound the outcome does not
# depend on who decodes, so that all gateways take or reject the same records.
MAX_NESTING = 128
# Largest encoded size in bytes, that of a document that gateways read from each other.
MAX_SIZE_BYTES = 64 * 1024 * 1024
# Longest cause, in characters: it goes into log lines and may quote what was decoded.
MAX_CAUSE_LENGTH = 200
# Decoders kept for types; there is one for each place that decodes.
MAX_DECODERS = 128

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class DecodeBounds:
    """The largest size in bytes, and the deepest nesting, that is decoded."""

    size_bytes: int = MAX_SIZE_BYTES
    nesting: int = MAX_NESTING


DEFAULT_BOUNDS = DecodeBounds()


class DecodeFault(Enum):
    """Why data was not decoded."""

    TOO_LARGE = "too_large"
    TOO_DEEP = "too_deep"
    # It is not in the format, or does not match the type.
    MALFORMED = "malformed"
    # The decoder failed in another way, which nobody expected.
    FAILED = "failed"


class DecodeError(ValueError):
    """Data that cannot be used; ``str`` gives a cause of bounded length."""

    def __init__(self, fault: DecodeFault, cause: str) -> None:
        super().__init__(cause[:MAX_CAUSE_LENGTH])
        self.fault = fault


def decode_json(
    data: bytes | bytearray, kind: type[T], bounds: DecodeBounds = DEFAULT_BOUNDS
) -> Result[T, DecodeError]:
    """Decode JSON as a type; nothing is raised."""
    if len(data) > bounds.size_bytes:
        return Err(_too_large(len(data), bounds))
    if is_nested_deeper(data, bounds.nesting):
        return Err(_too_deep(bounds))
    try:
        return Ok(_json_decoder(cast(Hashable, kind)).decode(data))
    except Exception as error:
        return Err(_from_exception(error))


def decode_msgpack(
    data: bytes | bytearray, kind: type[T], bounds: DecodeBounds = DEFAULT_BOUNDS
) -> Result[T, DecodeError]:
    """
    Decode MessagePack as a type; nothing is raised.

    Its nesting is bounded by the decoder: a container is as short as one byte, and
    finding it needs a walk through all values. Only processes of this project write it.
    """
    if len(data) > bounds.size_bytes:
        return Err(_too_large(len(data), bounds))
    try:
        return Ok(_msgpack_decoder(cast(Hashable, kind)).decode(data))
    except Exception as error:
        return Err(_from_exception(error))


def decode_base64(
    text: str | bytes, altchars: bytes | None = None
) -> Result[bytes, DecodeError]:
    """Decode base64 and reject all characters outside its alphabet."""
    try:
        return Ok(base64.b64decode(text, altchars, validate=True))
    except Exception as error:
        return Err(_from_exception(error))


def unwrap_decoded(result: Result[T, DecodeError]) -> T:
    """Return a decoded value, or raise its ``DecodeError`` for a caller to handle."""
    if isinstance(result, Err):
        raise result.err_value
    return result.ok_value


@lru_cache(MAX_DECODERS)
def _json_decoder(kind: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind)


@lru_cache(MAX_DECODERS)
def _msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)


def _too_large(size: int, bounds: DecodeBounds) -> DecodeError:
    cause = f"{size} bytes, at most {bounds.size_bytes} are decoded"
    return DecodeError(DecodeFault.TOO_LARGE, cause)


def _too_deep(bounds: DecodeBounds) -> DecodeError:
    cause = f"nested deeper than {bounds.nesting} levels"
    return DecodeError(DecodeFault.TOO_DEEP, cause)


def _from_exception(error: Exception) -> DecodeError:
    if isinstance(error, RecursionError):
        fault = DecodeFault.TOO_DEEP
    elif isinstance(error, (msgspec.MsgspecError, ValueError)):
        fault = DecodeFault.MALFORMED
    else:
        fault = DecodeFault.FAILED
    return DecodeError(fault, f"{type(error).__name__}: {error}")
