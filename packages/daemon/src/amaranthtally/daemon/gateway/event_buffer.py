"""Holds back a stream's event until it is whole, and reads its id."""

from typing import NamedTuple

__all__ = ["EventBuffer", "WholeEvents"]

# Where an event ends, as engines write it and as the form also allows.
ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class WholeEvents(NamedTuple):
    """Bytes of whole events, how many they are, and the id of the last."""

    body: bytes
    number: int
    last_id: str


NONE = WholeEvents(b"", 0, "")
# An event of more bytes than this is none of an engine's; held without a bound, one
# that never ends would take the process's memory.
MOST_HELD_BYTES = 1_048_576


class EventBuffer:
    """
    Holds back what is not yet a whole event.

    The failure: an engine breaks off inside an event. Passed on, its half would join
    the first event of the engine that goes on, and the caller would read neither.
    """

    def __init__(self) -> None:
        self._held = b""

    @property
    def held(self) -> int:
        """Bytes of an event that has not ended."""
        return len(self._held)

    def feed(self, data: bytes) -> WholeEvents:
        """
        Take bytes; return the events that they complete.

        Raises ``ValueError`` for an event that does not end.
        """
        data = self._held + data
        if len(data) > MOST_HELD_BYTES:
            raise ValueError(f"an event of over {MOST_HELD_BYTES} bytes")
        end = max(_after_last(data, mark) for mark in ENDS)
        self._held = data[end:]
        if not end:
            return NONE
        whole = data[:end]
        events = [e for e in whole.replace(b"\r\n", b"\n").split(b"\n\n") if e]
        return WholeEvents(whole, len(events), _id_of(events[-1]) if events else "")


def _after_last(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
