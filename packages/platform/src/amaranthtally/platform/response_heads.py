"""
The grammar of a response's head, as RFC 9112 has it, sections 2 to 6.

aiohttp's parser is lenient for responses: it takes any three digits for a status, reads
a name before its colon more loosely than the standard, and passes on a body undecoded
whose transfer coding it does not know.
"""

import re

from result import Err, Ok, Result

__all__ = ["FIRST_FINAL_STATUS", "end_of_head", "is_head_begun", "read_status"]

FIRST_FINAL_STATUS = 200
# An answer to a request for another protocol, which no call here makes.
SWITCHING_PROTOCOLS = 101
BLANK_LINE = b"\r\n\r\n"
VERSION = b"HTTP/1."
HTTP_1_0 = b"HTTP/1.0"
# The only coding that a client without ``TE`` can be sent. Any other would leave the
# end of the body unknown.
CHUNKED = b"chunked"

TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The blank before an empty reason is often left out.
STATUS_LINE = rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: " + TEXT + rb")?\r\n"
HEAD = re.compile(STATUS_LINE + rb"(?:" + NAME + rb":" + TEXT + rb"\r\n)*+\r\n")
TRANSFER_ENCODING = re.compile(rb"(?i)\r\ntransfer-encoding:([^\r]*)")


def is_head_begun(received: bytes | bytearray) -> bool:
    """Whether bytes may be the beginning of a head, as far as they go."""
    return received[: len(VERSION)] == VERSION[: len(received)]


def end_of_head(received: bytes | bytearray, searched: int = 0) -> int:
    """
    Return the length of the first head; 0 if it is not complete.

    The first ``searched`` bytes are known to hold no end.
    """
    start = received.find(BLANK_LINE, max(0, searched - len(BLANK_LINE) + 1))
    return start + len(BLANK_LINE) if start >= 0 else 0


def read_status(head: bytes) -> Result[int, str]:
    """
    Return the status of a complete head, from 100 to 599, or why it is malformed.

    A head is malformed if any of it departs from the grammar, or if it leaves unknown
    where the body ends. Lengths are left to the parser, which is strict about them.
    """
    match = HEAD.fullmatch(head)
    if match is None:
        return Err("malformed head")
    status = int(match[1])
    if status == SWITCHING_PROTOCOLS:
        return Err("switch to a protocol that was not asked for")
    codings = TRANSFER_ENCODING.findall(head)
    if codings and not _is_decodable(head, codings):
        return Err("unknown transfer coding")
    return Ok(status)


def _is_decodable(head: bytes, codings: list[bytes]) -> bool:
    values = [coding.strip(b" \t").lower() for coding in codings]
    return values == [CHUNKED] and not head.startswith(HTTP_1_0)
