"""The splitter of engine events."""

import pytest

from amaranthtally.daemon.sidecar.adapters import EndpointError, EventSplitter

STREAM = b": ping\n\ndata: one\r\n\r\nevent: x\ndata: two \n\ndata: [DONE]\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_events_do_not_depend_on_chunk_boundaries(size):
    """
    Guards against missing or truncated tokens: the network can split an engine's
    stream at any byte.
    """
    splitter = EventSplitter()
    events = []
    for start in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[start : start + size])
    assert events == [b"one", b"two", b"[DONE]"]
    assert splitter.incomplete_line == b""


def test_an_unterminated_event_is_rejected():
    """
    Guards against a sidecar that runs out of memory when an engine sends a line
    without an end.
    """
    splitter = EventSplitter()
    with pytest.raises(EndpointError):
        for _ in range(100):
            splitter.feed(b"x" * 65_536)
