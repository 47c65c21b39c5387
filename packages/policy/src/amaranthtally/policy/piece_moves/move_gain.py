"""Whether a waiting piece gains by a move to another pool site."""

from typing import NamedTuple

__all__ = ["SiteWait", "is_move_worth_it", "may_gain"]

# Time that a move takes in addition to the transfer of inputs, in seconds: the
# withdrawal and the submission, each a round trip to another region.
EXCHANGE_S = 0.05


class SiteWait(NamedTuple):
    """
    A pool site with the predicted wait for a call there, in seconds.

    ``crossing_s`` is the cost of having the inputs and the result of a piece cross a
    link if the piece runs there, as seconds of waiting time.
    """

    data_centre: str
    wait_s: float
    crossing_s: float = 0.0


def may_gain(waited_s: float, here: SiteWait) -> bool:
    """Whether a move to an idle site without any cost of transfer is worth it."""
    return here.wait_s - waited_s > 2 * EXCHANGE_S


def is_move_worth_it(
    waited_s: float, here: SiteWait, there: SiteWait, call_s: float
) -> bool:
    """
    Whether to move a piece that has waited at a site for ``waited_s`` seconds.

    A new piece would wait at its site for ``here.wait_s``; one that has waited is ahead
    of those that came later, and waits for that much less. The other site takes pieces
    only while it has none waiting: its wait is no longer than one call, ``call_s``.
    """
    if there.wait_s > call_s:
        return False
    gain_s = (here.wait_s - waited_s) - there.wait_s - EXCHANGE_S
    cost_s = max(0.0, there.crossing_s - here.crossing_s) + EXCHANGE_S
    return gain_s > cost_s
