"""Structured logs: one logfmt line (``key=value``) per event."""

import logging
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, TextIO, cast

from amaranthtally.daemon.log_writer import BoundedWriter

__all__ = ["configure_logs", "format_parts", "get_logger"]

# Most parts of a prompt in one line.
MAX_LOGGED_PARTS = 8


@contextmanager
def _import_blocked(name: str) -> Iterator[None]:
    """Make imports of a module fail within the context, unless it is loaded already."""
    modules: dict[str, Any] = sys.modules
    if name in modules:
        yield
        return
    modules[name] = None
    try:
        yield
    finally:
        del modules[name]


# structlog imports rich, if installed, to print tracebacks in colour. That takes 3 MB
# of the daemon's memory limit of 64 MB. rich is installed because the command line
# depends on it.
with _import_blocked("rich"):
    import structlog


def configure_logs(level: str, stream: TextIO | BoundedWriter = sys.stderr) -> None:
    """Configure structlog; ``level`` is a ``logging`` level name in lower case."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, stream)),
        cache_logger_on_first_use=True,
    )


def get_logger() -> structlog.typing.FilteringBoundLogger:
    """Return a logger; never log keys, tokens or request bodies with it."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return logger


def format_parts(parts: Iterable[int]) -> str:
    """Return ids of parts of a prompt for a line, as callers write them."""
    return ",".join(f"{part:x}" for part in list(parts)[:MAX_LOGGED_PARTS])
