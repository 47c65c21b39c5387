"""Conversion of messages on endpoints' loads to and from Cap'n Proto structs."""

from typing import Any

from amaranthtally.policy import LoadFigures, LoadMessage, SharedReport

__all__ = ["read_load_message", "write_load_message"]

MILLISECONDS = 1_000
PERCENT = 100
# Prompt tokens are sent in units of this many: changes below four units are not sent.
TOKENS_PER_UNIT = 64
MAX_UINT16 = 65_535


def write_load_message(target: Any, message: LoadMessage) -> None:
    """Fill a ``LoadMessage`` builder; figures beyond the range are bounded."""
    target.incarnation = message.incarnation
    target.serial = message.serial
    target.base = message.base
    target.heard = message.heard
    target.group = message.group
    items = target.init("figures", len(message.figures))
    for item, figures in zip(items, message.figures, strict=True):
        item.key = figures.key
        item.calls = _bounded(figures.calls)
        # Rounded up, so that no pending prompt is taken for one that was processed.
        item.prefillUnits = _bounded(-(-figures.prefill_tokens // TOKENS_PER_UNIT))
        if figures.report is not None:
            report = figures.report
            item.slownessPercent = max(1, _bounded(report.slowness * PERCENT))
            item.reportAgeMillis = _bounded(report.age_s * MILLISECONDS)
            item.reportedCalls = _bounded(report.calls)


def read_load_message(source: Any) -> LoadMessage:
    """Decode a ``LoadMessage`` reader."""
    return LoadMessage(
        source.incarnation,
        source.serial,
        source.base,
        source.heard,
        source.group,
        tuple(_read_figures(item) for item in source.figures),
    )


def _read_figures(item: Any) -> LoadFigures:
    report = None
    if item.slownessPercent:
        report = SharedReport(
            item.slownessPercent / PERCENT,
            item.reportedCalls,
            item.reportAgeMillis / MILLISECONDS,
        )
    tokens = item.prefillUnits * TOKENS_PER_UNIT
    return LoadFigures(item.key, item.calls, tokens, report)


def _bounded(value: float) -> int:
    return min(MAX_UINT16, max(0, round(value)))
