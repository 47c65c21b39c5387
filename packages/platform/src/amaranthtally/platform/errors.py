"""Errors of the platform's services, returned as ``result.Err`` values."""

from dataclasses import dataclass

__all__ = [
    "PlatformOutcomeUnknown",
    "PlatformUnavailable",
    "PlatformError",
    "PlatformHistoryCompacted",
]


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not accept the call; nothing was written."""

    detail: str

    def __str__(self) -> str:
        return f"platform unreachable ({self.detail}); nothing was written, try later"


@dataclass(frozen=True, slots=True)
class PlatformOutcomeUnknown:
    """A write was sent but its response did not arrive; it may have taken effect."""

    detail: str

    def __str__(self) -> str:
        return f"platform's answer lost ({self.detail}); read the key before writing"


@dataclass(frozen=True, slots=True)
class PlatformHistoryCompacted:
    """The platform no longer stores the changes from which a watch was to start."""

    def __str__(self) -> str:
        return "platform's history is gone; read the keys anew and watch from there"


PlatformError = PlatformUnavailable | PlatformOutcomeUnknown | PlatformHistoryCompacted
