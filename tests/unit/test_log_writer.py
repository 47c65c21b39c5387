"""Log lines whose reader has stopped."""

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
    found = b""
    try:
        while part := os.read(reader, 65_536):
            found += part
    except BlockingIOError:
        return found


def test_lines_are_written_as_they_come(pipe):
    reader, descriptor = pipe
    writer = BoundedWriter(descriptor)
    writer.write(line(1))
    assert read_all(reader) == line(1).encode()
    assert writer.pending_lines == 0


def test_a_reader_that_stops_holds_nobody_up(pipe):
    """
    Every request of a process hangs. Whoever read its output had stopped, the pipe was
    full, and the next log line waited for it.
    """
    _, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    started = time.monotonic()
    for number in range(20_000):
        writer.write(line(number))
    assert time.monotonic() - started < 5.0
    assert writer.pending_lines <= 100
    assert writer.dropped > 0


def test_failures_are_kept_before_successes(pipe):
    _, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    while not writer.dropped:
        writer.write(line(0))
    before = writer.pending_lines
    writer.write(line(1, "error"))
    assert writer.pending_lines == before + 1


def test_what_was_lost_is_counted_and_no_line_is_torn(pipe):
    reader, descriptor = pipe
    writer = BoundedWriter(descriptor, max_lines=100)
    for number in range(20_000):
        writer.write(line(number))
    found = read_all(reader)
    while writer.pending_lines:
        writer.flush()
        found += read_all(reader)
    lines = found.decode().splitlines()
    counts = [x for x in lines if "log_lines_lost" in x]
    assert sum(int(x.rpartition("=")[2]) for x in counts) == writer.dropped
    assert all(x.startswith("level=") and "=" in x for x in lines)
    assert len(lines) - len(counts) + writer.dropped == 20_000


def test_a_closed_pipe_ends_no_process(pipe):
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = BoundedWriter(descriptor)
    writer.write(line(1))
    os.close(descriptor)
