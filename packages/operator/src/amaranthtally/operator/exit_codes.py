"""What the command line's exit says."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit codes; only after DONE and UNKNOWN may the settings have changed."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    DIFFERS = 6
