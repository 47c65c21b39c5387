"""Finds how deep JSON is nested, without decoding it and without recursion."""

import re
from itertools import accumulate

__all__ = ["is_nested_deeper"]

_ESCAPE = re.compile(rb"\\.", re.DOTALL)
_STRUCTURE = b'"[]{}'
_OTHER = bytes(byte for byte in range(256) if byte not in _STRUCTURE)
# Opening brackets become 1 and closing ones -1, as signed bytes.
_AS_STEPS = bytes.maketrans(b"[{]}", b"\x01\x01\xff\xff")


def is_nested_deeper(data: bytes | bytearray, levels: int) -> bool:
    """
    Return whether arrays and objects in JSON are nested deeper than so many levels.

    Brackets in strings do not count. Only the brackets of data with many of them are
    looked at one by one. In malformed data, the part before the first error is scanned
    as in sound data, and no decoder reads further.
    """
    if data.count(b"[") + data.count(b"{") <= levels:
        return False
    structure = _ESCAPE.sub(b"", data).translate(_AS_STEPS, _OTHER)
    # Strings without brackets. Removing two quotes that are neighbours leaves each
    # bracket inside or outside of a string, as it was.
    structure = structure.replace(b'""', b"")
    brackets = b"".join(structure.split(b'"')[::2])
    return max(accumulate(memoryview(brackets).cast("b")), default=0) > levels
