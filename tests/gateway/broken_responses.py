"""Responses that break off, by where: in the head, in a body, between its chunks."""

from tests.gateway.fake_endpoint import http_chunk

CHUNKED = b"Transfer-Encoding: chunked\r\n"
# These do not break off: they show that the others are rejected for where they do.
WHOLE = ("whole-length", "whole-chunked")


def broken_responses(head_lines, body):
    """
    Return the bytes of a response up to each place where it breaks off.

    ``head_lines`` are a status line and header lines with their ends, without any that
    frames the body.
    """
    status = head_lines[0]
    head = b"".join(head_lines)
    bare = head.replace(b"\r\n", b"\n")
    chunked = head + CHUNKED + b"\r\n"
    chunk = http_chunk(body)
    size, _ = chunk.split(b"\r\n", 1)
    return {
        "whole-length": head + b"Content-Length: %d\r\n\r\n" % len(body) + body,
        "whole-chunked": chunked + chunk + b"0\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
        "interim-head": b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + status,
        "status-code": status[:12],
        "status-line": status,
        "header-name": head + b"X-Ow",
        "header-colon": head + b"X-Own:",
        "header-value": head + b"X-Own: val",
        "header-cr": head + b"X-Own: value\r",
        "header-line": head,
        "length-zero": head + b"Content-Length: 0\r\n",
        "length-zero-cr": head + b"Content-Length: 0\r\n\r",
        "length-in-value": head + b"Content-Length: %d" % len(body),
        "length-line": head + b"Content-Length: %d\r\n" % len(body),
        "length-no-body": head + b"Content-Length: %d\r\n\r\n" % len(body),
        "length-body": head + b"Content-Length: %d\r\n\r\n" % len(body) + body[:-1],
        "chunked-line": head + CHUNKED,
        "chunked-no-body": chunked,
        "chunk-size": chunked + size,
        "chunk-size-part": chunked + b"1",
        "chunk-size-cr": chunked + size + b"\r",
        "chunk-size-line": chunked + size + b"\r\n",
        "chunk-extension": chunked + size + b";name=va",
        "chunk-data": chunked + chunk[:-3],
        "chunk-whole-data": chunked + chunk[:-2],
        "chunk-cr": chunked + chunk[:-1],
        "chunk-end": chunked + chunk,
        "last-size": chunked + chunk + b"0",
        "last-size-cr": chunked + chunk + b"0\r",
        "last-size-line": chunked + chunk + b"0\r\n",
        "last-cr": chunked + chunk + b"0\r\n\r",
        "trailer-name": chunked + chunk + b"0\r\nX-Sum",
        "trailer-line": chunked + chunk + b"0\r\nX-Sum: 1\r\n",
        "empty-last-size-line": chunked + b"0\r\n",
        "bare-status": status.replace(b"\r\n", b"\n"),
        "bare-lines": bare,
        "bare-length-zero": bare + b"Content-Length: 0\n",
        "bare-chunked": bare + b"Transfer-Encoding: chunked\n\n" + size + b"\n" + body,
    }
