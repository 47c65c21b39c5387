"""What the logs of gateways say about the state that each of them held, and why."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from math import inf
from pathlib import Path

from amaranthtally.operator.log_lines import LogLine, read_events

__all__ = [
    "Explanation",
    "Fact",
    "StateHistory",
    "confirmed_before",
    "is_unconfirmed",
    "read_history",
    "render_explanation",
    "seconds_between",
]

# A task that starts again explains what happened within this time after its failure,
# in seconds. It is twice the longest time in which a change must take effect.
RESTARTED_TASK_S = 10.0
# Most malformed records that an explanation names.
MAX_MALFORMED = 3
# The time in which a change must take effect, in seconds: state that was confirmed
# within it may lack a change without any fault.
CONFIRMED_WITHIN_S = 2.5
# Names of tasks that bring changes of the store to a gateway contain one of these.
STORE_TASK_NAMES = ("watch", "follow", "store")
FAILURE_EVENTS = ("task_failed", "listener_failed", "policy_failed")
DUTY_EVENTS = ("store_followed", "store_watched", "store_not_watched")
STATE_EVENTS = frozenset(
    {
        *FAILURE_EVENTS,
        *DUTY_EVENTS,
        "changes_not_read",
        "changes_read",
        "changes_refused",
        "configuration_heard_of",
        "configuration_in_force",
        "configuration_malformed",
        "configuration_read",
        "endpoints_expired",
        "endpoints_read",
        "listener_recovered",
        "listening",
        "process_stood_still",
        "record_malformed",
        "records_read_anew",
        "state_behind_peers",
        "state_caught_up",
        "store_lost",
        "store_regained",
        "task_failing",
        "task_recovered",
        "watcher_lost",
    }
)
# Left out of a line's details: shown in its other columns, or too long.
OMITTED_FIELDS = frozenset({"timestamp", "level", "event", "exception"})


@dataclass(frozen=True, slots=True)
class Fact:
    """A sentence and the lines that it rests on."""

    text: str
    lines: tuple[LogLine, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Facts on what a gateway did at a time; ``decisive`` ones make up the verdict."""

    at: datetime
    decisive: tuple[Fact, ...]
    facts: tuple[Fact, ...]
    table: tuple[str, ...] = ()

    @property
    def verdict(self) -> str:
        """The decisive facts as one sentence."""
        return "; ".join(fact.text for fact in self.decisive)

    @property
    def findings(self) -> tuple[str, ...]:
        """The other facts."""
        return tuple(fact.text for fact in self.facts if fact not in self.decisive)

    @property
    def grounds(self) -> tuple[LogLine, ...]:
        """The lines of all facts in time order, each once."""
        facts = (*self.decisive, *self.facts)
        lines = {id(line): line for fact in facts for line in fact.lines}
        return tuple(sorted(lines.values(), key=lambda line: line.timestamp))


class StateHistory:
    """The lines of gateways about their state, in time order."""

    def __init__(self, lines: Iterable[LogLine], unused_lines: int = 0) -> None:
        self._lines = sorted(lines, key=lambda line: line.timestamp)
        self.unused_lines = unused_lines
        self._process_of_name = {
            line.text("name"): line.process for line in self.of("listening")
        }

    @property
    def processes(self) -> tuple[str, ...]:
        """The processes whose logs hold any of the lines."""
        return tuple(sorted({line.process for line in self._lines}))

    def of(self, *events: str) -> Iterator[LogLine]:
        """Yield the lines of some events."""
        return (line for line in self._lines if line.event in events)

    def end_of(self, process: str) -> datetime | None:
        """Return the time of the last line of a process, if it has any."""
        times = [line.timestamp for line in self._lines if line.process == process]
        return max(times, default=None)

    def held(self, process: str, at: datetime, *events: str) -> list[LogLine]:
        """Return lines of a process up to a time, since its last start before it."""
        lines = [
            line
            for line in self._lines
            if line.process == process and line.timestamp <= at
        ]
        starts = [n for n, line in enumerate(lines) if line.event == "listening"]
        since = lines[starts[-1] :] if starts else lines
        return [line for line in since if line.event in events]

    def last(self, process: str, at: datetime, *events: str) -> LogLine | None:
        """Return the last of the lines that ``held`` returns, if there is one."""
        lines = self.held(process, at, *events)
        return lines[-1] if lines else None

    def process_named(self, name: str) -> str:
        """Return the process of a gateway, by the name that its peers use."""
        return self._process_of_name.get(name, name)

    def troubles(self, process: str, at: datetime) -> list[Fact]:
        """
        Return what kept changes from a gateway by a time, the most telling first.

        Each fact rests on a line of its log, or of the gateway that it followed.
        """
        facts = [*self._failures(process, at), *self._contact(process, at)]
        followed = self._followed(process, at)
        if followed not in ("", process):
            facts += [*self._failures(followed, at), *self._contact(followed, at)]
        return [*facts, *self._refused(process, at), *self._marks(process, at)]

    def duty(self, process: str, at: datetime) -> list[Fact]:
        """Return whom a gateway followed at a time, or that it watched the store."""
        line = self.last(process, at, *DUTY_EVENTS)
        if line is None:
            return []
        if line.event == "store_watched":
            return [Fact(f"{process} watched the store itself", (line,))]
        followed = self._followed(process, at)
        text = f"{process} followed {followed}"
        if followed not in self.processes:
            text += ", whose log was not given"
        return [Fact(text, (line,))]

    def malformed(self, process: str, at: datetime, name: str = "") -> list[Fact]:
        """Return the last malformed records that a gateway met, of all names or one."""
        lines = self.held(process, at, "record_malformed")
        if name:
            lines = [line for line in lines if line.text("key").endswith(f"/{name}")]
        return [_malformed(line) for line in lines[-MAX_MALFORMED:]]

    def _followed(self, process: str, at: datetime) -> str:
        """Return the process that a gateway followed; empty if it watched the store."""
        line = self.last(process, at, *DUTY_EVENTS)
        if line is None or line.event == "store_watched":
            return ""
        return self.process_named(line.text("watcher") or line.text("followed"))

    def _failures(self, process: str, at: datetime) -> Iterator[Fact]:
        """Yield the tasks, calls and listeners that had failed and were not well."""
        failing = self._open(process, at, "task_failing", "task_recovered", "task")
        newest = self._open(
            process, at, "listener_failed", "listener_recovered", "prefix"
        )
        for line in self.held(process, at, "task_failed", "policy_failed"):
            newest[f"{line.event} {line.text('task')}"] = line
        for line in newest.values():
            before_s = seconds_between(line.timestamp, at)
            is_lasting = line.event == "listener_failed" or _has_ended_a_task(line)
            is_over = not is_lasting and before_s > RESTARTED_TASK_S
            mark = failing.pop(line.text("task"), None)
            if is_over and mark is None:
                continue
            cause = f" ({line.cause})" if line.cause else ""
            often = ", and failed again and again" if mark else ""
            yield Fact(
                f"{_failure(line)} at {process} {before_s:.1f} s before, at "
                f"{_time_of_day(line)}{cause}{often}",
                (line, mark) if mark else (line,),
            )

    def _open(
        self, process: str, at: datetime, begun: str, ended: str, name: str
    ) -> dict[str, LogLine]:
        """Return the last line of what began and had not ended, by a field."""
        lines: dict[str, LogLine] = {}
        for line in self.held(process, at, begun, ended):
            if line.event == begun:
                lines[line.text(name)] = line
            else:
                lines.pop(line.text(name), None)
        return lines

    def _contact(self, process: str, at: datetime) -> Iterator[Fact]:
        line = self.last(process, at, "store_lost", "store_regained")
        if line is not None and line.event == "store_lost":
            before_s = seconds_between(line.timestamp, at)
            text = f"{process} had lost the store {before_s:.1f} s before"
            yield Fact(f"{text} ({line.cause})", (line,))

    def _marks(self, process: str, at: datetime) -> Iterator[Fact]:
        """Yield what the gateway itself noticed of its state."""
        line = self.last(process, at, "process_stood_still")
        if line is not None:
            before_s = seconds_between(line.timestamp, at)
            if before_s <= RESTARTED_TASK_S:
                text = f"{process} had stood still for {line.text('seconds')} s"
                yield Fact(f"{text} until {before_s:.1f} s before", (line,))
        behind = self._open(
            process, at, "state_behind_peers", "state_caught_up", "kind"
        )
        for kind, line in behind.items():
            since_s = seconds_between(line.timestamp, at) + line.number("behind_s")
            text = f"{process} was behind its peers in {kind} for {since_s:.1f} s"
            yield Fact(text, (line,))

    def _refused(self, process: str, at: datetime) -> Iterator[Fact]:
        line = self.last(process, at, "configuration_malformed")
        if line is not None:
            before_s = seconds_between(line.timestamp, at)
            text = f"{process} had read a malformed configuration {before_s:.1f} s"
            yield Fact(f"{text} before ({line.cause})", (line,))
        line = self.last(process, at, "changes_refused")
        if line is not None:
            before_s = seconds_between(line.timestamp, at)
            text = f"{process} had refused changes of {line.text('peer')}"
            yield Fact(f"{text} {before_s:.1f} s before ({line.cause})", (line,))


def read_history(
    logs: Sequence[Path], events: frozenset[str] = frozenset(), containing: str = ""
) -> StateHistory:
    """
    Read the lines about state of all gateways from their logs; raises ``OSError``.

    ``events`` are further events to read, and lines that contain a text are read too.
    """
    lines: list[LogLine] = []
    unused_lines = 0
    for path in logs:
        for line in read_events(path, STATE_EVENTS | events, containing):
            if line is None:
                unused_lines += 1
            else:
                lines.append(line)
    return StateHistory(lines, unused_lines)


def render_explanation(explanation: Explanation) -> Iterator[str]:
    """Yield verdict, findings, table, and the grounds with their offset in seconds."""
    yield f"verdict: {explanation.verdict}"
    if explanation.findings:
        yield "findings:"
    yield from (f"  {text}" for text in explanation.findings)
    yield from explanation.table
    yield "grounds:"
    for line in explanation.grounds:
        offset_s = seconds_between(explanation.at, line.timestamp)
        details = [f"{k}={v}" for k, v in line.fields.items() if v]
        details = [text for text in details if text.split("=")[0] not in OMITTED_FIELDS]
        if "exception" in line.fields:
            details.append(f"exception={line.cause!r}")
        yield f"{offset_s:+10.3f} s {line.process}: {line.event} {' '.join(details)}"


def confirmed_before(age_s: float) -> str:
    """Return the age of state as words that follow "was" or "were"."""
    if age_s == inf:
        return "not confirmed since the start or a standstill"
    return f"last confirmed {age_s:.1f} s before"


def is_unconfirmed(age_s: float) -> bool:
    """Whether an age of state is longer than changes may take."""
    return age_s > CONFIRMED_WITHIN_S


def seconds_between(first: datetime, second: datetime) -> float:
    """Return the seconds from one time to another."""
    return (second - first).total_seconds()


def _malformed(line: LogLine) -> Fact:
    revision = line.text("revision")
    at = f" of revision {revision}" if revision else ""
    text = f"{line.process} found {line.text('key')}{at} malformed ({line.cause})"
    return Fact(text, (line,))


def _has_ended_a_task(line: LogLine) -> bool:
    """
    Whether a line is of a version in which a failure ended its task for good.

    Since tasks are started again, their lines bear the number of failures. Those
    without a time of restart are single calls.
    """
    has_count = line.text("failures") or line.text("restarts_in_s")
    return line.event == "task_failed" and not has_count


def _failure(line: LogLine) -> str:
    task = line.text("task")
    if line.event == "policy_failed":
        return "a decision or a call in the background failed"
    if line.event == "listener_failed":
        revision = line.text("revision")
        return f"what applies {line.text('prefix')} failed at revision {revision}"
    is_loop = any(name in task.lower() for name in STORE_TASK_NAMES)
    role = (
        f"the loop that follows the store, {task}," if is_loop else f"the task {task}"
    )
    if _has_ended_a_task(line):
        return f"{role} had ended"
    failures = line.text("failures")
    restarts_in_s = line.optional_number("restarts_in_s")
    if restarts_in_s is None:
        return f"the call {task} failed (failure {failures})"
    return f"{role} had failed (failure {failures}, again in {restarts_in_s:g} s)"


def _time_of_day(line: LogLine) -> str:
    return f"{line.timestamp:%H:%M:%S}.{line.timestamp.microsecond // 1000:03d}"
