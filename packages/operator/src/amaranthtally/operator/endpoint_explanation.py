"""``explain-endpoint``: why an endpoint was still used, from the gateways' logs."""

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from cyclopts import App

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import LogLine
from amaranthtally.operator.state_history import (
    Explanation,
    Fact,
    StateHistory,
    confirmed_before,
    is_unconfirmed,
    read_history,
    render_explanation,
    seconds_between,
)

__all__ = ["add_explain_endpoint_command", "explain_endpoint"]

CHANGED, REMOVED, ATTEMPT = "endpoint_changed", "endpoint_removed", "attempt_sent"
UNREACHABLE_FOR = "endpoint_unreachable_for"
ENDPOINT_EVENTS = frozenset(
    {CHANGED, REMOVED, ATTEMPT, UNREACHABLE_FOR, "attempt_ended"}
)


@dataclass(frozen=True, slots=True)
class _Use:
    """An attempt, the revision that it rested on, and newer records known by then."""

    attempt: LogLine
    revision: float
    known_elsewhere: LogLine | None


def add_explain_endpoint_command(app: App) -> None:
    """Add the command to the application."""
    app.command(_explain_endpoint_command, name="explain-endpoint")


def _explain_endpoint_command(
    endpoint: str, logs: list[Path], /, *, request: str = ""
) -> ExitCode:
    """
    Show why gateways still used an endpoint that had left or did not answer.

    Prints when each revision of its record arrived at each gateway, the attempts after
    it had left, what these rested on, and what had failed by then.

    Parameters
    ----------
    endpoint
        Id of the endpoint.
    logs
        Log files of all gateways, one for each; the file's stem is the gateway's name.
    request
        Explain the attempts of this request only.
    """
    try:
        history = read_history(logs, ENDPOINT_EVENTS)
    except OSError as error:
        sys.stderr.write(f"{error}; give readable files\n")
        return ExitCode.USAGE
    if history.unused_lines:
        sys.stderr.write(f"{history.unused_lines} unusable lines were skipped\n")
    explanation = explain_endpoint(history, endpoint, request)
    if explanation is None:
        of_request = f" of request {request}" if request else ""
        sys.stderr.write(
            f"no attempt{of_request} at {endpoint} is in these logs; give the logs of "
            "all gateways\n"
        )
        return ExitCode.REFUSED
    for text in render_explanation(explanation):
        sys.stdout.write(f"{text}\n")
    return ExitCode.DONE


def explain_endpoint(
    history: StateHistory, endpoint: str, request_id: str = ""
) -> Explanation | None:
    """Explain why attempts went to an endpoint; ``None`` if the logs have none."""
    changes = _lines_of(history, endpoint, CHANGED, REMOVED)
    attempts = [
        line
        for line in _lines_of(history, endpoint, ATTEMPT)
        if request_id in ("", line.text("request_id"))
    ]
    if not attempts:
        return None
    uses = [_use(line, changes) for line in attempts]
    late = [use for use in uses if use.known_elsewhere is not None]
    failed = _lines_of(history, endpoint, "attempt_ended")
    failed = [line for line in failed if line.text("fate") == "unreachable"]
    chosen = late or _unanswered(uses, failed) or uses[-1:]
    by_process = {use.attempt.process: use for use in chosen}
    summary = list(_summary(endpoint, changes, late, failed))
    summary += _reports(history, endpoint)
    last = chosen[-1]
    causes = _causes(history, endpoint, last)
    facts = [fact for use in by_process.values() for fact in _details(history, use)]
    for use in by_process.values():
        facts += _causes(history, endpoint, use)
    return Explanation(
        last.attempt.timestamp,
        (*summary[:1], *_arrival(last, changes), causes[0]),
        (*summary, *facts),
        tuple(_arrivals(history, endpoint, changes)),
    )


def _lines_of(history: StateHistory, endpoint: str, *events: str) -> list[LogLine]:
    return [line for line in history.of(*events) if line.text("endpoint") == endpoint]


def _is_departure(line: LogLine) -> bool:
    takes_calls = line.text("takes_calls").lower()
    return line.event == REMOVED or takes_calls == "false"


def _use(attempt: LogLine, changes: Sequence[LogLine]) -> _Use:
    """Find what an attempt rested on, and whether a newer record was known by then."""
    known = [line for line in changes if line.timestamp <= attempt.timestamp]
    own = [line.number("revision") for line in known if line.process == attempt.process]
    # Logs of older versions do not name the revision: the last one that arrived there.
    revision = attempt.number("revision") or max(own, default=0.0)
    newest = max(known, key=lambda line: line.number("revision"), default=None)
    is_newer = newest is not None and newest.number("revision") > revision
    return _Use(
        attempt,
        revision,
        newest if newest and is_newer and _is_departure(newest) else None,
    )


def _unanswered(uses: Sequence[_Use], failed: Sequence[LogLine]) -> list[_Use]:
    """Return the attempts that the endpoint's port refused."""
    keys = {(line.text("request_id"), line.text("attempt")) for line in failed}
    return [
        use
        for use in uses
        if (use.attempt.text("request_id"), use.attempt.text("attempt")) in keys
    ]


def _summary(
    endpoint: str,
    changes: Sequence[LogLine],
    late: Sequence[_Use],
    failed: Sequence[LogLine],
) -> Iterator[Fact]:
    known = late[0].known_elsewhere if late else None
    if known is not None:
        first, last = late[0].attempt, late[-1].attempt
        processes = ", ".join(sorted({use.attempt.process for use in late}))
        after_s = seconds_between(known.timestamp, last.timestamp)
        yield Fact(
            f"attempts at {endpoint} from {processes} after {known.process} knew that "
            f"it leaves (revision {known.text('revision')}): {len(late)}, the last "
            f"{after_s:.1f} s after",
            (known, first, last),
        )
    elif not changes:
        yield Fact(f"no change of {endpoint} is in these logs", ())
    elif not any(map(_is_departure, changes)):
        yield Fact(f"no change by which {endpoint} leaves is in these logs", ())
    else:
        yield Fact(
            f"no attempt at {endpoint} rested on a record older than one by which it "
            "leaves and that was known by then",
            (),
        )
    if failed:
        span_s = seconds_between(failed[0].timestamp, failed[-1].timestamp)
        yield Fact(
            f"attempts that found {endpoint} unreachable: {len(failed)} over "
            f"{span_s:.1f} s, first at {failed[0].process}, last at "
            f"{failed[-1].process}",
            (failed[0], failed[-1]),
        )


def _reports(history: StateHistory, endpoint: str) -> Iterator[Fact]:
    """Yield for how long each gateway said that the endpoint is unreachable."""
    newest = {
        line.process: line for line in _lines_of(history, endpoint, UNREACHABLE_FOR)
    }
    for name, line in newest.items():
        yield Fact(
            f"{name} had tried it in vain for {line.text('seconds')} s "
            f"({line.text('attempts')} attempts, record of revision "
            f"{line.text('revision')})",
            (line,),
        )


def _details(history: StateHistory, use: _Use) -> Iterator[Fact]:
    """Yield what the last such attempt of a gateway rested on, and whom it followed."""
    attempt = use.attempt
    request_id = attempt.text("request_id")
    text = f"the attempt of {request_id} at {attempt.process} rested on {_basis(use)}"
    yield Fact(text, (attempt,))
    yield from history.duty(attempt.process, attempt.timestamp)


def _arrival(use: _Use, changes: Sequence[LogLine]) -> Iterator[Fact]:
    """Yield when the record by which the endpoint leaves came to the gateway."""
    process, at = use.attempt.process, use.attempt.timestamp
    newer = [
        line
        for line in changes
        if line.process == process
        and _is_departure(line)
        and line.number("revision") > use.revision
    ]
    if newer:
        offset_s = seconds_between(at, newer[0].timestamp)
        when = f"{abs(offset_s):.1f} s {'later' if offset_s > 0 else 'before'}"
        yield Fact(f"the change arrived at {process} {when}", (newer[0],))
    elif use.known_elsewhere is not None:
        yield Fact(f"the change is not in the log of {process}", ())


def _causes(history: StateHistory, endpoint: str, use: _Use) -> list[Fact]:
    """Return what kept a newer record from a gateway, if the logs show it."""
    process, at = use.attempt.process, use.attempt.timestamp
    causes = history.malformed(process, at, endpoint)
    causes += history.troubles(process, at)
    age_s = use.attempt.optional_number("records_age_s")
    if not causes and age_s is not None and is_unconfirmed(age_s):
        text = f"the records of {process} were {confirmed_before(age_s)}"
        causes.append(Fact(text, (use.attempt,)))
    return causes or [Fact(f"no failure at {process} by then is in these logs", ())]


def _basis(use: _Use) -> str:
    text = (
        f"revision {use.revision:.0f}" if use.revision else "a record without revision"
    )
    age_s = use.attempt.optional_number("records_age_s")
    if age_s is None:
        return f"{text}; the age of the records is not logged"
    return f"{text}, and the records were {confirmed_before(age_s)}"


def _arrivals(
    history: StateHistory, endpoint: str, changes: Sequence[LogLine]
) -> Iterator[str]:
    """Yield when each revision of the record arrived at each gateway."""
    gateways = sorted({line.process for line in history.of("listening", ATTEMPT)})
    revisions: dict[float, dict[str, LogLine]] = {}
    for line in changes:
        by_process = revisions.setdefault(line.number("revision"), {})
        by_process.setdefault(line.process, line)
    yield f"records of {endpoint} as they arrived:"
    if not revisions:
        yield "  none"
    for revision, by_process in sorted(revisions.items()):
        first: datetime = min(line.timestamp for line in by_process.values())
        state = "leaves" if _is_departure(next(iter(by_process.values()))) else "serves"
        arrived = [
            f"{name} +{seconds_between(first, line.timestamp):.1f} s"
            for name, line in by_process.items()
        ]
        missing = [name for name in gateways if name not in by_process]
        text = f"  revision {revision:.0f} ({state}) at {first:%H:%M:%S}: "
        text += ", ".join(arrived)
        yield text + (f"; not in the logs of {', '.join(missing)}" if missing else "")
