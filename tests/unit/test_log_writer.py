"""Log output whose reader has stalled."""

import os
import time

import pytest

from amaranthtally.daemon.log_writer import BoundedWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def line(number, level="info"):
    return f"level={level} event=happened number={number}\n"


def read_all(reader):
    os.set_blocking(reader, False)
    output = b""
    try:
        while part := os.read(reader, 65_536):
            output += part
    except BlockingIOError:
        return output


def test_surrogates_are_escaped(pipe):
    """Guards against a log line that raises in the handler that writes it."""
    reader, descriptor = pipe
    BoundedWriter(descriptor).write("event=received id=\udcff\n")
    assert read_all(reader) == b"event=received id=\\udcff\n"


def test_lines_are_written_immediately(pipe):
    reader, descriptor = pipe
    writer = BoundedWriter(descriptor)
    writer.write(line(1))
    assert read_all(reader) == line(1).encode()
    assert writer.pending_lines == 0


def test_stalled_reader_does_not_block_writes(pipe):
    """
    Guards against blocking the event loop: when the reader of a process's output
    stalls, the pipe fills up, and a blocking write of the next log line would hang
    every request.
    """
    _, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    started = time.monotonic()
    for number in range(20_000):
        writer.write(line(number))
    assert time.monotonic() - started < 5.0
    assert writer.pending_lines <= 100
    assert writer.dropped > 0


def test_errors_are_buffered_when_info_lines_are_dropped(pipe):
    _, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    while not writer.dropped:
        writer.write(line(0))
    before = writer.pending_lines
    writer.write(line(1, "error"))
    assert writer.pending_lines == before + 1


def test_dropped_lines_are_counted_and_no_line_is_truncated(pipe):
    reader, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    for number in range(20_000):
        writer.write(line(number))
    output = read_all(reader)
    while writer.pending_lines:
        writer.flush()
        output += read_all(reader)
    lines = output.decode().splitlines()
    counts = [x for x in lines if "log_lines_lost" in x]
    assert sum(int(x.rpartition("=")[2]) for x in counts) == writer.dropped
    assert all(x.startswith("level=") and "=" in x for x in lines)
    assert len(lines) - len(counts) + writer.dropped == 20_000


def test_write_to_closed_pipe_does_not_raise(pipe):
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = BoundedWriter(descriptor)
    writer.write(line(1))
    os.close(descriptor)
