"""Responses whose heads depart from the standard, before a body that looks whole."""

STATUS = b"HTTP/1.1 200 OK"
STATUS_LINES = {
    "status-000": b"HTTP/1.1 000",
    "status-000-reason": b"HTTP/1.1 000 Odd",
    "status-001": b"HTTP/1.1 001 Odd",
    "status-099": b"HTTP/1.1 099 Odd",
    "status-101": b"HTTP/1.1 101 Switching Protocols",
    "status-600": b"HTTP/1.1 600 Odd",
    "status-999": b"HTTP/1.1 999 Odd",
    "status-two-digits": b"HTTP/1.1 20 OK",
    "status-four-digits": b"HTTP/1.1 2000 OK",
    "status-sign": b"HTTP/1.1 +20 OK",
    "status-blanks": b"HTTP/1.1  200 OK",
    "status-tab": b"HTTP/1.1\t200 OK",
    "status-none": b"HTTP/1.1",
    "version-0.9": b"HTTP/0.9 200 OK",
    "version-1.2": b"HTTP/1.2 200 OK",
    "version-2.0": b"HTTP/2.0 200 OK",
    "version-small": b"http/1.1 200 OK",
    "version-none": b"200 OK",
    "other-protocol": b"ICY 200 OK",
    "reason-nul": b"HTTP/1.1 200 O\x00K",
    "reason-escape": b"HTTP/1.1 200 O\x1bK",
    "reason-delete": b"HTTP/1.1 200 O\x7fK",
    "reason-cr": b"HTTP/1.1 200 O\rK",
    "blank-before": b" HTTP/1.1 200 OK",
    "nul-before": b"\x00HTTP/1.1 200 OK",
}
LINES = {
    "name-blank-after": b"X-Odd : 1",
    "name-blank-before": b" X-Odd: 1",
    "name-tab-before": b"\tX-Odd: 1",
    "name-blank-within": b"X Odd: 1",
    "name-tab-within": b"X\tOdd: 1",
    "name-nul": b"X\x00Odd: 1",
    "name-escape": b"X\x1bOdd: 1",
    "name-delete": b"X\x7fOdd: 1",
    "name-not-ascii": b"X\xffOdd: 1",
    "name-comma": b"X,Odd: 1",
    "name-bracket": b"X[Odd]: 1",
    "name-none": b": 1",
    "colon-none": b"X-Odd",
    "value-nul": b"X-Odd: 1\x002",
    "value-escape": b"X-Odd: 1\x1b2",
    "value-delete": b"X-Odd: 1\x7f2",
    "value-cr": b"X-Odd: 1\r2",
    "folded": b"X-Odd: 1\r\n 2",
}
# Each stands in place of the body's length.
FRAMINGS = {
    "length-blank-after-name": b"Content-Length : %d",
    "length-tab-after-name": b"Content-Length\t: %d",
    "length-nul-after-name": b"Content-Length\x00: %d",
    "length-sign": b"Content-Length: +%d",
    "length-word": b"Content-Length: %d bytes",
    "length-twice": b"Content-Length: %d\r\nContent-Length: 1",
    "length-and-chunks": b"Content-Length: %d\r\nTransfer-Encoding: chunked",
}
CODINGS = {
    "coding-gzip": b"gzip",
    "coding-identity": b"identity",
    "coding-xchunked": b"xchunked",
    "coding-chunked-then-gzip": b"chunked, gzip",
    "coding-gzip-then-chunked": b"gzip, chunked",
    "coding-chunked-twice": b"chunked, chunked",
    "coding-control-byte": b"\x0bchunked",
    "coding-quoted": b'"chunked"',
    "coding-none": b"",
}


def malformed_responses(lines, body):
    """
    Return responses by what is malformed in their heads.

    ``lines`` are sound header lines without their ends, none of which frames the body.
    """

    def response(status, *odd):
        return b"\r\n".join([status, *lines, *odd, b"", body])

    length = b"Content-Length: %d" % len(body)
    coding = b"Transfer-Encoding: "
    return (
        {name: response(status, length) for name, status in STATUS_LINES.items()}
        | {name: response(STATUS, line, length) for name, line in LINES.items()}
        | {
            name: response(STATUS, line.replace(b"%d", b"%d" % len(body)))
            for name, line in FRAMINGS.items()
        }
        | {name: response(STATUS, coding + value) for name, value in CODINGS.items()}
        | {"coding-1.0": response(b"HTTP/1.0 200 OK", coding + b"chunked")}
    )
