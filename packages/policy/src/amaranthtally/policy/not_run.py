"""Decides whether a call provably did not run."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["NOT_SENT", "CallEnd", "NotRunProof", "proof_of_not_run"]


class NotRunProof(Enum):
    """Why a call has certainly not run, and never will."""

    NOT_SENT = "not_sent"
    STATED = "stated"


@dataclass(frozen=True, slots=True)
class CallEnd:
    """
    What is known at the end of a call.

    With ``was_sent``, some of it may have left this process. ``is_own`` says that a
    response is known to be the answer to this very call, and ``states_not_run`` that
    its words mean that the called side did not start the call.
    """

    was_sent: bool = True
    is_own: bool = False
    states_not_run: bool = False


NOT_SENT = CallEnd(was_sent=False)


def proof_of_not_run(end: CallEnd) -> NotRunProof | None:
    """
    Return the proof that a call did not run, or ``None`` if it may have run.

    All that sends calls asks here: attempts, pieces, queries, calls between processes.
    A call that ran but counts as not run is run twice, or its caller is told to send it
    again. Neither a lost connection nor a response to another call proves anything.
    """
    if not end.was_sent:
        return NotRunProof.NOT_SENT
    if end.is_own and end.states_not_run:
        return NotRunProof.STATED
    return None
