"""Errors of the inner protocol."""

__all__ = ["ChunkRefusedError", "PeerLostError", "ReplyMismatchError", "WireError"]


class WireError(Exception):
    """A call between two of the system's processes did not complete."""


class PeerLostError(WireError):
    """
    The connection to a peer ended, or could not be made.

    A call that was in flight may have run: ask the same incarnation what became
    of it, or answer ``unknown``.
    """

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__(
            f"connection to {peer} lost ({detail}); "
            "check that the sidecar runs and its address in the settings is right"
        )
        self.peer = peer


class ReplyMismatchError(WireError):
    """
    A peer sent the answer, or a chunk, of another call. Nothing of it is used.

    What became of this call is not known.
    """

    def __init__(self, peer: str, expected: object, found: object) -> None:
        super().__init__(
            f"answer from {peer} belongs to another call "
            f"(expected {expected}, found {found}); replace that sidecar"
        )
        self.peer = peer


class ChunkRefusedError(WireError):
    """A chunk could not be taken; what became of its call is not known."""

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__(
            f"chunk from {peer} could not be taken ({detail}); report this as a fault"
        )
        self.peer = peer
