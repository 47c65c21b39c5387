"""
The schema of the sidecar protocol, and access to the fields of its structs.

pycapnp reads the committed schema at import, so no generated code is needed.
Its objects have no static types: they are ``Any`` in the codecs and nowhere else.

Structs are read by field descriptors. Reading a field by name takes four times as
long, because the ordinary attribute lookup fails before pycapnp searches the schema.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import capnp

__all__ = ["fields_of", "read_fields", "schema", "to_micros", "to_seconds"]

capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name("sidecar.capnp")))

MICROSECONDS = 1_000_000


def fields_of(struct: Any, *names: str) -> tuple[Any, ...]:
    """Return the descriptors of the named fields of a struct."""
    descriptors = struct.schema.fields
    return tuple(descriptors[name] for name in names)


def read_fields(source: Any, fields: tuple[Any, ...]) -> Iterator[Any]:
    """Return the values of a reader's fields, in the order of ``fields``."""
    # pycapnp prefixes the method with an underscore to keep it apart from fields.
    return map(source._get_by_field, fields)  # noqa: SLF001


def to_micros(seconds: float) -> int:
    """Convert to whole microseconds; negative times become 0."""
    return max(0, int(seconds * MICROSECONDS))


def to_seconds(micros: int) -> float:
    """Convert microseconds to seconds."""
    return micros / MICROSECONDS
