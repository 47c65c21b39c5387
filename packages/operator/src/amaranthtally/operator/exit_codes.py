"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit codes; the settings may have changed only with ``DONE`` or ``UNKNOWN``."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    DIFFERS = 6
