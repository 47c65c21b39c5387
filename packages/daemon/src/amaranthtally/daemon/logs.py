"""Structured logs: one key=value line per event."""

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO, cast

from amaranthtally.daemon.log_writer import BoundedWriter

__all__ = ["configure_logs", "get_logger"]


@contextmanager
def _hidden(name: str) -> Iterator[None]:
    """Make imports of a module fail for a while, unless it is there already."""
    modules: dict[str, Any] = sys.modules
    if name in modules:
        yield
        return
    modules[name] = None
    try:
        yield
    finally:
        del modules[name]


# structlog imports rich, for tracebacks in colour, where it is installed: 3 MB of the
# 64 MB that a daemon has. It is the command line's library, so it is found.
with _hidden("rich"):
    import structlog


def configure_logs(level: str, stream: TextIO | BoundedWriter = sys.stderr) -> None:
    """Set up structlog for the process; ``level`` as in ``logging``, lower case."""
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
    """Return a logger; never pass it a key, a token or a body."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return logger
