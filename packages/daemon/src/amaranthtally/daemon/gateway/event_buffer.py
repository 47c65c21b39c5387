"""Buffers a stream of server-sent events until each event is complete."""

from typing import NamedTuple

__all__ = ["CompleteEvents", "EventBuffer"]

# The end of an event: as engines write it, and the other form that the standard allows.
EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
MAX_DELIMITER_BYTES = max(map(len, EVENT_DELIMITERS))
ID_FIELD = b"id:"


class CompleteEvents(NamedTuple):
    """The bytes of complete events, their number, and the id of the last one."""

    body: bytes
    event_count: int
    last_id: str


NO_EVENTS = CompleteEvents(b"", 0, "")
# No engine sends a larger event, in bytes. Without this limit an event that never ends
# would exhaust the process's memory.
MAX_EVENT_BYTES = 1_048_576


class EventBuffer:
    """
    Returns complete events only and buffers an incomplete one.

    An engine may fail in the middle of an event. If the incomplete event were sent to
    the caller, it would run into the first event of the engine that resumes the stream,
    and the caller could parse neither.
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """The number of buffered bytes of an incomplete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> CompleteEvents:
        """
        Add received bytes; return the events that they complete.

        Raises ``ValueError`` if the buffer would exceed ``MAX_EVENT_BYTES``.
        """
        # Only new bytes are searched: an endpoint that adds to one event byte by byte
        # would else cost a copy and a search of everything for each of them.
        searched = max(0, len(self._pending) - MAX_DELIMITER_BYTES + 1)
        self._pending += data
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError(f"event of over {MAX_EVENT_BYTES} bytes")
        end = max(_end_of_last(self._pending, d, searched) for d in EVENT_DELIMITERS)
        if not end:
            return NO_EVENTS
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        events = [e for e in complete.replace(b"\r\n", b"\n").split(b"\n\n") if e]
        return CompleteEvents(
            complete, len(events), _id_of(events[-1]) if events else ""
        )


def _end_of_last(data: bytearray, delimiter: bytes, start: int) -> int:
    position = data.rfind(delimiter, start)
    return 0 if position < 0 else position + len(delimiter)


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
