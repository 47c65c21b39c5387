"""An engine's events, however its bytes are cut."""

import pytest

from amaranthtally.daemon.sidecar.adapters import EndpointError, EventSplitter

STREAM = b": ping\n\ndata: one\r\n\r\nevent: x\ndata: two \n\ndata: [DONE]\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_events_do_not_depend_on_how_the_bytes_are_cut(size):
    """
    A word is missing or cut in two. The network cuts an engine's stream anywhere.
    """
    splitter = EventSplitter()
    found = []
    for start in range(0, len(STREAM), size):
        found += splitter.feed(STREAM[start : start + size])
    assert found == [b"one", b"two", b"[DONE]"]
    assert splitter.rest == b""


def test_an_event_without_end_is_refused():
    """
    A sidecar runs out of memory. An engine sends a line that never ends.
    """
    splitter = EventSplitter()
    with pytest.raises(EndpointError):
        for _ in range(100):
            splitter.feed(b"x" * 65_536)
