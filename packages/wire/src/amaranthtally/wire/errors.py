"""Errors of the protocols between entries, sidecars and gateways."""

__all__ = [
    "ChunkRefusedError",
    "MethodUnknownError",
    "PeerLostError",
    "ReplyMismatchError",
    "WireError",
]


class WireError(Exception):
    """Base class: a call between two processes of the system did not complete."""


class PeerLostError(WireError):
    """
    The connection to a peer ended or could not be established.

    A call that was in flight may have run: query its outcome from the same
    incarnation of the peer, or report it as ``unknown``.
    """

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__(
            f"connection to {peer} lost ({detail}); "
            "check that the sidecar is running and its address in the settings is right"
        )
        self.peer = peer


class MethodUnknownError(PeerLostError):
    """A peer of an older version does not know a call; its connection goes on."""

    def __init__(self, peer: str) -> None:
        super().__init__(peer, "it does not know the method")


class ReplyMismatchError(WireError):
    """
    A peer sent the reply to another call, or a chunk of one; it is discarded.

    The outcome of this call is unknown.
    """

    def __init__(self, peer: str, expected: object, received: object) -> None:
        super().__init__(
            f"reply from {peer} belongs to another call "
            f"(expected {expected}, got {received}); replace that sidecar"
        )
        self.peer = peer


class ChunkRefusedError(WireError):
    """The handler of a chunk failed; the outcome of the chunk's call is unknown."""

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__(
            f"handler of a chunk from {peer} failed ({detail}); report this as a bug"
        )
        self.peer = peer
