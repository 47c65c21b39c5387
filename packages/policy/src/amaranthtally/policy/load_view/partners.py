"""The other entries with which load figures are exchanged."""

from dataclasses import dataclass
from math import inf

from amaranthtally.policy.load_messages import FIGURES_BYTES, message_bytes
from amaranthtally.policy.load_view.outbox import Outbox

__all__ = ["ByteBudget", "MAX_MESSAGE_BYTES", "Partner"]

# Size of the largest message, in bytes: on the slowest link of an entry, 5 Mbit/s, it
# takes 7 ms.
MAX_MESSAGE_BYTES = 4_096
# Bytes a second that an entry sends for this exchange: a tenth of its slowest link.
BYTES_PER_S = 64_000.0
# Seconds in which bytes that were not sent may be sent later.
BURST_S = 2.0


@dataclass(slots=True)
class Partner:
    """
    An entry that this one calls, or that calls this one.

    ``heard`` is the serial of the last of its messages that was taken. While a call is
    ``awaited``, no other is made.
    """

    outbox: Outbox
    heard: int = 0
    called_at: float = -inf
    awaited: bool = False


class ByteBudget:
    """Bounds the bytes that an entry sends; time stamps are in seconds."""

    def __init__(self) -> None:
        self._bytes = BYTES_PER_S
        self._at = 0.0

    def most_figures(self, now: float) -> int:
        """Return of how many endpoints a message may hold figures now."""
        gained = max(0.0, now - self._at) * BYTES_PER_S
        self._bytes = min(BURST_S * BYTES_PER_S, self._bytes + gained)
        self._at = max(self._at, now)
        left = min(float(MAX_MESSAGE_BYTES), self._bytes) - message_bytes(0)
        return max(0, int(left // FIGURES_BYTES))

    def take(self, figures: int) -> int:
        """Count a message with figures of so many endpoints; return its bytes."""
        size = message_bytes(figures)
        # Messages without figures show that a sender is alive, and are always sent.
        self._bytes = max(0.0, self._bytes - size)
        return size
