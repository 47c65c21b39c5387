"""Errors of the replay; each message names the remedy."""

from pathlib import Path

__all__ = ["DoubleEndError", "OutcomesError", "TraceError", "UnknownActionError"]


class TraceError(Exception):
    """A trace or deployment cannot be read."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(f"{path}: {detail}; make it again with 'amaranthtally trace'")


class OutcomesError(Exception):
    """An outcomes file cannot be read or names an unknown figure."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(f"{path}: {detail}; 'Replay' in docs/DESIGN.md lists its keys")


class UnknownActionError(Exception):
    """The policy returned a kind of action that the replay cannot carry out."""

    def __init__(self, kind: type) -> None:
        super().__init__(
            f"action {kind.__name__} has no handler; add one to EntryReplay's table"
        )


class DoubleEndError(Exception):
    """The policy ended a request twice, or acted on it after its end."""

    def __init__(self, request_id: str, action: str) -> None:
        super().__init__(
            f"{action} for request {request_id} after its end; "
            "mend the policy, the trace and seed repeat it"
        )
