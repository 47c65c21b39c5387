"""``explain-route``: why a gateway did not know a route, from the gateways' logs."""

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

__all__ = ["RouteQuestion", "add_explain_route_command", "explain_route"]

REJECTION = "request_rejected"
VERSION_EVENTS = (
    "configuration_in_force",
    "configuration_read",
    "configuration_heard_of",
)
# Whose age the fields of a rejection tell.
AGES = {
    "configuration_age_s": "the configuration was",
    "records_age_s": "the records were",
}


@dataclass(frozen=True, slots=True)
class RouteQuestion:
    """
    Which rejection is asked about; empty fields match any.

    Without a rejection that matches, the state of ``gateway`` is explained: at ``at``,
    or at the end of its log.
    """

    request_id: str = ""
    gateway: str = ""
    host: str = ""
    path: str = ""
    at: datetime | None = None


def add_explain_route_command(app: App) -> None:
    """Add the command to the application."""
    app.command(_explain_route_command, name="explain-route")


def _explain_route_command(
    logs: list[Path],
    /,
    *,
    request: str = "",
    gateway: str = "",
    host: str = "",
    path: str = "",
    at: str = "",
) -> ExitCode:
    """
    Show why a gateway refused a request as unknown (404, 401 or 503).

    Prints the version in force there, what was known of newer ones and where, and what
    had failed by then, with the log lines that say so.

    Parameters
    ----------
    logs
        Log files of all gateways, one for each; the file's stem is the gateway's name.
    request
        Id of the rejected request; or give the gateway.
    gateway
        Name of the gateway.
    host
        Host of the rejected request, with the gateway.
    path
        Path of the rejected request, without its query, with the gateway.
    at
        Time in ISO format, UTC: the last rejection before it, or else the state then.
    """
    if not request and not gateway:
        sys.stderr.write("give --request ID, or --gateway NAME\n")
        return ExitCode.USAGE
    try:
        question = RouteQuestion(request, gateway, host, path, _parse_time(at))
        history = read_history(logs, frozenset({REJECTION}))
    except (OSError, ValueError) as error:
        sys.stderr.write(f"{error}; give readable files and times in ISO format\n")
        return ExitCode.USAGE
    if history.unused_lines:
        sys.stderr.write(f"{history.unused_lines} unusable lines were skipped\n")
    explanation = explain_route(history, question)
    if explanation is None:
        wanted = f"rejection of {request}" if request else f"line of {gateway}"
        sys.stderr.write(f"no {wanted} is in these logs; give those of its gateway\n")
        return ExitCode.REFUSED
    for text in render_explanation(explanation):
        sys.stdout.write(f"{text}\n")
    return ExitCode.DONE


def explain_route(history: StateHistory, question: RouteQuestion) -> Explanation | None:
    """Explain a rejection; ``None`` if the logs have neither it nor the gateway."""
    rejection = _find_rejection(history, question)
    if rejection is not None:
        process, at = rejection.process, rejection.timestamp
        head = [_describe_rejection(rejection)]
    elif question.request_id:
        return None
    else:
        process = history.process_named(question.gateway)
        end = question.at or history.end_of(process)
        if end is None or process not in history.processes:
            return None
        at = end
        head = [Fact(f"no such rejection is in the log of {process}", ())]
    held, version = _held(history, process, at, rejection)
    versions = _newer(history, process, at, version)
    if not versions:
        versions = [Fact(f"no version after {version:.0f} is in these logs", ())]
    causes = history.troubles(process, at) or _unconfirmed(rejection)
    if not causes:
        causes = [Fact("no failure by then is in these logs", ())]
    decisive = (held, versions[0], causes[0])
    others = (*history.duty(process, at), *history.malformed(process, at))
    facts = (*head, *_confirmation(rejection), *versions, *causes, *others)
    return Explanation(at, decisive, facts)


def _find_rejection(history: StateHistory, question: RouteQuestion) -> LogLine | None:
    process = history.process_named(question.gateway)
    rejections = [
        line
        for line in history.of(REJECTION)
        if question.request_id in ("", line.text("request_id"))
        and process in ("", line.process)
        and question.host in ("", line.text("host"))
        and question.path in ("", line.text("path"))
        and (question.at is None or line.timestamp <= question.at)
    ]
    return rejections[-1] if rejections else None


def _describe_rejection(line: LogLine) -> Fact:
    place = f"{line.text('host')}{line.text('path')}"
    return Fact(
        f"{line.process} rejected {line.text('request_id')}"
        f"{f' for {place}' if place else ''} with {line.text('status')} "
        f"({line.text('reason')})",
        (line,),
    )


def _held(
    history: StateHistory, process: str, at: datetime, rejection: LogLine | None
) -> tuple[Fact, float]:
    """Return what was in force, and its version; 0 if there was none."""
    in_force = history.last(process, at, "configuration_in_force")
    version = in_force.number("version") if in_force else 0.0
    lines = (in_force,) if in_force else ()
    if rejection is not None and rejection.optional_number("version") is not None:
        version = rejection.number("version")
        lines = (*lines, rejection)
    if not version:
        start = history.last(process, at, "listening")
        text = f"no version in force at {process} is in these logs"
        if start is not None:
            text = (
                f"{process} had no configuration in force "
                f"{seconds_between(start.timestamp, at):.1f} s after its start"
            )
            lines = (start,)
        return Fact(text, lines), 0.0
    text = f"{process} had version {version:.0f} in force"
    if in_force is not None and in_force.number("version") == version:
        text += f" for {seconds_between(in_force.timestamp, at):.1f} s"
    return Fact(text, lines), version


def _confirmation(rejection: LogLine | None) -> list[Fact]:
    """Return what a rejection says about the age of the state that it rested on."""
    if rejection is None:
        return []
    texts = []
    for field, text in AGES.items():
        age_s = rejection.optional_number(field)
        if age_s is not None:
            texts.append(f"{text} {confirmed_before(age_s)}")
    answered_s = rejection.optional_number("confirmed_s")
    if answered_s is not None and not texts:
        text = "the store or the followed gateway had last answered"
        texts.append(f"{text} {answered_s:.1f} s before")
    if not texts:
        texts.append("when this version was last confirmed is not logged")
    records = rejection.text("records")
    if records:
        texts.append(f"records were known up to revision {records}")
    return [Fact(text, (rejection,)) for text in texts]


def _unconfirmed(rejection: LogLine | None) -> list[Fact]:
    """Return that the configuration was last confirmed too long before, if it was."""
    if rejection is None:
        return []
    age_s = rejection.optional_number("configuration_age_s")
    if age_s is None or not is_unconfirmed(age_s):
        return []
    return [Fact(f"the configuration was {confirmed_before(age_s)}", (rejection,))]


def _newer(
    history: StateHistory, process: str, at: datetime, version: float
) -> list[Fact]:
    """Return what the logs show of newer versions: before and after, here and there."""
    lines = [
        line for line in history.of(*VERSION_EVENTS) if line.number("version") > version
    ]
    if not lines:
        return []
    return [
        *_held_elsewhere(lines, process, at),
        *_heard_of(lines, process, at),
        _arrival(lines, process, at),
    ]


def _held_elsewhere(
    lines: Sequence[LogLine], process: str, at: datetime
) -> Iterator[Fact]:
    """Yield who else had read a newer version by a time."""
    first: dict[str, LogLine] = {}
    for line in lines:
        is_held = line.event != "configuration_heard_of"
        if is_held and line.process != process and line.timestamp <= at:
            first.setdefault(line.process, line)
    for name, line in first.items():
        before_s = seconds_between(line.timestamp, at)
        text = f"{name} had read version {line.text('version')} {before_s:.1f} s before"
        yield Fact(text, (line,))


def _heard_of(lines: Sequence[LogLine], process: str, at: datetime) -> Iterator[Fact]:
    """Yield of which newer version the gateway had heard by a time."""
    for line in lines:
        if line.process == process and line.timestamp <= at:
            source = line.text("source")
            text = f"{process} had heard of version {line.text('version')}"
            text += f" from {source}" if source else ""
            before_s = seconds_between(line.timestamp, at)
            yield Fact(f"{text} {before_s:.1f} s before", (line,))
            return


def _arrival(lines: Sequence[LogLine], process: str, at: datetime) -> Fact:
    """Return when a newer version came in force at the gateway."""
    for line in lines:
        is_own = line.process == process and line.event == "configuration_in_force"
        if is_own and line.timestamp > at:
            later_s = seconds_between(at, line.timestamp)
            text = f"version {line.text('version')} came in force at {process}"
            return Fact(f"{text} {later_s:.1f} s later", (line,))
    return Fact(f"the log of {process} has no newer version in force", ())


def _parse_time(text: str) -> datetime | None:
    """Return a time; raises ``ValueError``. Log lines have a zone, so it gets one."""
    if not text:
        return None
    parsed = datetime.fromisoformat(text)
    return parsed if parsed.tzinfo else datetime.fromisoformat(f"{text}+00:00")
