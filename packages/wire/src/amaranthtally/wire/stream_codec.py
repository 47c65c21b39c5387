"""Conversion between parts of chunk streams and Cap'n Proto structs."""

from collections.abc import Sequence
from typing import Any

from amaranthtally.wire.codec import read_call_id, write_call_id
from amaranthtally.wire.fields import fields_of, read_fields, schema
from amaranthtally.wire.messages import StreamPart

__all__ = ["read_part", "write_parts"]


def write_parts(request: Any, parts: Sequence[StreamPart]) -> None:
    """Fill a ``chunks`` request."""
    targets = request.init("parts", len(parts))
    for target, part in zip(targets, parts, strict=True):
        target.stream = part.stream
        write_call_id(target.init("id"), part.id)
        target.offset = part.offset
        target.texts = part.texts


_PART = fields_of(schema.StreamPart, "stream", "id", "offset", "texts")


def read_part(source: Any) -> StreamPart:
    """Decode a ``StreamPart`` reader."""
    stream, call_id, offset, texts = read_fields(source, _PART)
    return StreamPart(stream, read_call_id(call_id), offset, list(texts))
