"""What entries tell each other of the calls and the loads of endpoints."""

from typing import NamedTuple

__all__ = [
    "FIGURES_BYTES",
    "LoadFigures",
    "LoadMessage",
    "SharedReport",
    "message_bytes",
]

# Size on the wire of a message without figures, and of the figures of one endpoint, in
# bytes. A call without figures was measured to take 200 bytes and an answer 136; TCP
# and IP headers add 52 to each. The mean of both stands here.
MESSAGE_BYTES = 220
FIGURES_BYTES = 16


class SharedReport(NamedTuple):
    """
    A load report of an endpoint, as the sender heard it ``age_s`` seconds ago.

    ``slowness`` is how many times as long as usual work takes on the endpoint's host;
    ``calls`` are those that run and wait there.
    """

    slowness: float
    calls: int
    age_s: float


class LoadFigures(NamedTuple):
    """
    What a sender knows of one endpoint, named by its ``key``.

    ``calls`` are in flight from those for whom the sender speaks, ``prefill_tokens``
    the prompt tokens of these calls that are still to be processed.
    """

    key: int
    calls: int
    prefill_tokens: int
    report: SharedReport | None = None


class LoadMessage(NamedTuple):
    """
    Figures that changed since the message with the serial ``base``.

    With ``base`` 0 they replace all that this sender sent before. ``heard`` is the
    serial of the receiver's last message that was taken, 0 to be sent all figures.
    ``group`` names the group of entries whose sums these are, "" if the sender speaks
    for itself, or answers an entry that does.
    """

    incarnation: int
    serial: int
    base: int
    heard: int
    group: str
    figures: tuple[LoadFigures, ...] = ()


def message_bytes(figures: int) -> int:
    """Return the size of a message with figures of this many endpoints, in bytes."""
    return MESSAGE_BYTES + FIGURES_BYTES * figures
