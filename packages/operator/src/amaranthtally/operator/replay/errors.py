"""Errors of the replay; each message says how to correct the fault."""

from pathlib import Path

__all__ = ["DoubleEndError", "OutcomesError", "TraceError", "UnknownActionError"]


class TraceError(Exception):
    """A trace file or deployment file cannot be read."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(
            f"{path}: {detail}; create it again with 'amaranthtally trace'"
        )


class OutcomesError(Exception):
    """An outcomes file cannot be read or names an unknown figure."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(f"{path}: {detail}; 'Replay' in docs/DESIGN.md lists its keys")


class UnknownActionError(Exception):
    """A planner returned an action of a type that the replay does not handle."""

    def __init__(self, kind: type) -> None:
        super().__init__(
            f"action {kind.__name__} has no handler; add one to FakeEntry's handlers"
        )


class DoubleEndError(Exception):
    """A planner acted on a request that had ended already."""

    def __init__(self, request_id: str, action: str) -> None:
        super().__init__(
            f"{action} for request {request_id} after its end; "
            "fix the planner; a replay of the same trace reproduces the error"
        )
