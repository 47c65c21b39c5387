"""Conversion of usage reports to and from Cap'n Proto structs."""

from typing import Any

from amaranthtally.policy import AccountUsage, UsageReport, Work

__all__ = ["read_usage", "write_usage"]

MICROSECONDS = 1_000_000


def write_usage(target: Any, report: UsageReport) -> None:
    """Fill a ``Usage`` builder."""
    target.incarnation = report.incarnation
    target.serial = report.serial
    target.remainingMicros = int(report.remaining_s * MICROSECONDS)
    target.isOverloaded = report.is_overloaded
    target.engineLimitS, target.stageLimitS = report.wait_limits_s
    target.restAccounts = report.rest_accounts
    _write_works(target.rest, 0, report.rest)
    items = target.init("accounts", len(report.accounts))
    for item, usage in zip(items, report.accounts, strict=True):
        _write_works(item, usage.account, usage.work)


def read_usage(source: Any) -> UsageReport:
    """Decode a ``Usage`` reader; figures may be any numbers."""
    return UsageReport(
        incarnation=source.incarnation,
        serial=source.serial,
        remaining_s=source.remainingMicros / MICROSECONDS,
        is_overloaded=source.isOverloaded,
        wait_limits_s=(source.engineLimitS, source.stageLimitS),
        accounts=tuple(
            AccountUsage(item.account, _read_works(item)) for item in source.accounts
        ),
        rest=_read_works(source.rest),
        rest_accounts=source.restAccounts,
    )


def _write_works(target: Any, account: int, works: tuple[Work, Work]) -> None:
    engines, stages = works
    target.account = account
    target.engineOfferedS, target.engineAdmittedS = engines
    target.stageOfferedS, target.stageAdmittedS = stages


def _read_works(source: Any) -> tuple[Work, Work]:
    return (
        Work(source.engineOfferedS, source.engineAdmittedS),
        Work(source.stageOfferedS, source.stageAdmittedS),
    )
