"""What kept a gateway from a route or a record, from the logs of several gateways."""

from pathlib import Path

import pytest

from amaranthtally.operator.endpoint_explanation import (
    ENDPOINT_EVENTS,
    explain_endpoint,
)
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import parse_line
from amaranthtally.operator.main import app
from amaranthtally.operator.route_explanation import (
    REJECTION,
    RouteQuestion,
    explain_route,
)
from amaranthtally.operator.state_history import (
    StateHistory,
    read_history,
    render_explanation,
)

# Lines of two of four gateways, on which a record nested 4,000 deep ended the loops
# that follow the store; g4 followed g2. Tracebacks are cut to their ends.
RECORDED = sorted(Path(__file__).with_name("recorded").glob("*.txt"))
LOOP_ENDED = "the loop that follows the store, PrefixWatcher.run, had ended at"


def line(process, at, event, **fields):
    """Return a parsed line; ``at`` is its second, and texts with spaces are quoted."""
    values = {k: f'"{v}"' if " " in str(v) else v for k, v in fields.items()}
    pairs = " ".join(f"{key}={value}" for key, value in values.items())
    stamp = f"2026-01-01T00:00:{at:09.6f}Z"
    return parse_line(process, f"timestamp={stamp} level=info event={event} {pairs}")


def start(process, version=1):
    """Return the lines of a start at second 0."""
    return [
        line(process, 0, "listening", name=process),
        line(process, 0.1, "configuration_in_force", version=version),
        line(process, 0.2, "endpoints_read", records=2, endpoints=2),
    ]


def rejection(process, at, **fields):
    fields = {"request_id": "r1", "status": 404, "reason": "no route"} | fields
    return line(process, at, REJECTION, **fields)


def route(*lines, **question):
    question = question or {"request_id": "r1"}
    return explain_route(StateHistory(lines), RouteQuestion(**question))


def has_text(explanation, *texts):
    """Whether the explanation holds all texts, in its verdict or findings."""
    whole = "; ".join((explanation.verdict, *explanation.findings))
    return all(text in whole for text in texts)


def test_recorded_lines_of_a_rejection_name_the_loops_that_had_ended():
    history = read_history(RECORDED, frozenset({REJECTION}))
    explanation = explain_route(history, RouteQuestion("g4-8"))
    assert explanation.verdict == (
        "g4 had version 1 in force for 5.1 s; no version after 1 is in these logs; "
        f"{LOOP_ENDED} g4 4.1 s before, at 04:20:42.374 (RecursionError: maximum "
        "recursion depth exceeded while deserializing an object)"
    )
    assert has_text(explanation, f"{LOOP_ENDED} g2 4.1 s before", "g4 followed g2")
    events = {(ground.process, ground.event) for ground in explanation.grounds}
    assert ("g2", "task_failed") in events
    assert ("g4", "request_rejected") in events


def test_recorded_lines_of_an_attempt_name_the_loops_that_had_ended():
    history = read_history(RECORDED, ENDPOINT_EVENTS)
    explanation = explain_endpoint(history, "leaves", "g4-9")
    assert explanation.verdict.startswith(
        f"no change of leaves is in these logs; {LOOP_ENDED} g4 4.1 s before"
    )
    assert has_text(explanation, "rested on revision 3", "g4 followed g2")


def test_a_newer_version_elsewhere_is_named_with_its_time():
    """Guards against a rejection that looks right as its gateway knew no better."""
    explanation = route(
        *start("g1"),
        *start("g2"),
        line("g2", 3, "configuration_read", version=2, source="store"),
        line("g2", 3, "configuration_in_force", version=2),
        line("g1", 4, "configuration_heard_of", version=2, source="g2"),
        rejection("g1", 5, version=1, records=7, configuration_age_s=1.25),
        line("g1", 6.5, "configuration_in_force", version=2),
    )
    assert has_text(
        explanation,
        "g1 had version 1 in force for 4.9 s",
        "g2 had read version 2 2.0 s before",
        "g1 had heard of version 2 from g2 1.0 s before",
        "version 2 came in force at g1 1.5 s later",
        "the configuration was last confirmed 1.2 s before",
        "no failure by then is in these logs",
    )


def test_without_a_line_no_cause_is_named():
    """Guards against a verdict that guesses."""
    explanation = route(*start("g1"), rejection("g1", 5))
    assert explanation.verdict == (
        "g1 had version 1 in force for 4.9 s; no version after 1 is in these logs; "
        "no failure by then is in these logs"
    )
    assert has_text(explanation, "when this version was last confirmed is not logged")


def test_old_state_is_a_cause_only_above_the_time_that_changes_may_take():
    lines = start("g1")
    cause = "the configuration was last confirmed 6.0 s before"
    late = route(*lines, rejection("g1", 5, configuration_age_s=6))
    assert late.verdict.endswith(cause)
    fresh = route(*lines, rejection("g1", 5, configuration_age_s=0.4))
    assert fresh.verdict.endswith("no failure by then is in these logs")


@pytest.mark.parametrize(
    ("trouble", "text"),
    [
        (
            ("store_lost", {"prefix": "", "cause": "timed out"}),
            "g1 had lost the store 2.0 s before (timed out)",
        ),
        (
            ("configuration_malformed", {"cause": "no version"}),
            "g1 had read a malformed configuration 2.0 s before (no version)",
        ),
        (
            ("changes_refused", {"peer": "g2", "cause": "not ordered"}),
            "g1 had refused changes of g2 2.0 s before (not ordered)",
        ),
        (
            ("listener_failed", {"prefix": "a/", "revision": 8, "cause": "KeyError"}),
            "what applies a/ failed at revision 8 at g1 2.0 s before",
        ),
        (
            ("task_failed", {"task": "store_watch", "failures": 3, "restarts_in_s": 1}),
            "the loop that follows the store, store_watch, had failed (failure 3, "
            "again in 1 s) at g1 2.0 s before",
        ),
        (
            ("task_failed", {"task": "Fetcher.fetch", "failures": 1}),
            "the call Fetcher.fetch failed (failure 1) at g1 2.0 s before",
        ),
        (
            ("process_stood_still", {"seconds": 4.2}),
            "g1 had stood still for 4.2 s until 2.0 s before",
        ),
        (
            ("state_behind_peers", {"kind": "records", "behind_s": 2.6}),
            "g1 was behind its peers in records for 4.6 s",
        ),
    ],
)
def test_each_trouble_is_in_the_verdict(trouble, text):
    event, fields = trouble
    explanation = route(
        *start("g1"), line("g1", 3, event, **fields), rejection("g1", 5)
    )
    assert text in explanation.verdict


@pytest.mark.parametrize(
    "healed",
    [
        [("store_lost", {"cause": "x"}), ("store_regained", {})],
        [("task_failed", {"task": "a", "restarts_in_s": 0.5})],
        [("task_failed", {"task": "a", "failures": 1})],
        [("task_failed", {"task": "a"}), ("listening", {"name": "g1"})],
        [("state_behind_peers", {"kind": "a"}), ("state_caught_up", {"kind": "a"})],
        [("listener_failed", {"prefix": "a"}), ("listener_recovered", {"prefix": "a"})],
        [
            ("task_failed", {"task": "a", "failures": 3, "restarts_in_s": 1}),
            ("task_failing", {"task": "a"}),
            ("task_recovered", {"task": "a"}),
        ],
    ],
    ids=[
        "regained",
        "restarted",
        "call",
        "new process",
        "caught up",
        "listener",
        "recovered",
    ],
)
def test_a_trouble_that_is_over_is_no_cause(healed):
    lines = [line("g1", 3 + n, event, **f) for n, (event, f) in enumerate(healed)]
    explanation = route(*start("g1"), *lines, rejection("g1", 30))
    assert explanation.verdict.endswith("no failure by then is in these logs")


def test_a_task_that_fails_again_and_again_is_a_cause_for_long():
    explanation = route(
        *start("g1"),
        line("g1", 3, "task_failed", task="watch", failures=3, restarts_in_s=5),
        line("g1", 3, "task_failing", task="watch"),
        rejection("g1", 40),
    )
    assert explanation.verdict.endswith("and failed again and again")


def test_state_without_any_confirmation_is_told_in_words():
    explanation = route(*start("g1"), rejection("g1", 5, configuration_age_s="inf"))
    assert explanation.verdict.endswith(
        "the configuration was not confirmed since the start or a standstill"
    )


def test_a_malformed_record_beside_it_is_named_but_is_no_cause():
    explanation = route(
        *start("g1"),
        line("g1", 3, "record_malformed", key="a/odd", revision=8, cause="too deep"),
        rejection("g1", 5),
    )
    assert explanation.verdict.endswith("no failure by then is in these logs")
    assert has_text(explanation, "g1 found a/odd of revision 8 malformed (too deep)")


def test_a_gateway_without_configuration_says_so():
    explanation = route(
        line("g1", 1, "listening", name="g1"), rejection("g1", 1.5, status=503)
    )
    assert explanation.verdict.startswith(
        "g1 had no configuration in force 0.5 s after its start"
    )


def test_a_rejection_is_found_by_gateway_host_and_path():
    lines = [
        *start("g1"),
        rejection("g1", 5, host="a.example", path="/x/"),
        rejection("g1", 6, request_id="r2", host="a.example", path="/y/"),
    ]
    found = route(*lines, gateway="g1", host="a.example", path="/x/")
    assert has_text(found, "g1 rejected r1 for a.example/x/ with 404 (no route)")
    other = route(*lines, gateway="g1", host="b.example", path="/x/")
    assert has_text(other, "no such rejection is in the log of g1")
    assert route(*lines, gateway="g7") is None
    assert route(*lines, request_id="r9") is None


# The endpoint e1 leaves at second 4, by revision 9.
LEAVES = {"endpoint": "e1", "takes_calls": "false", "revision": 9}


def attempt(process, at, request_id="r1", **fields):
    fields = {"request_id": request_id, "attempt": 1, "endpoint": "e1"} | fields
    return line(process, at, "attempt_sent", **fields)


def unreachable(process, at, request_id="r1"):
    fields = {"request_id": request_id, "attempt": 1, "endpoint": "e1"}
    return line(process, at, "attempt_ended", fate="unreachable", **fields)


def endpoint(*lines, request_id=""):
    return explain_endpoint(StateHistory(lines), "e1", request_id)


def test_attempts_on_an_older_record_are_counted_and_timed():
    """Guards against late attempts that look right as their gateway knew no better."""
    explanation = endpoint(
        *start("g1"),
        *start("g2"),
        attempt("g1", 3, revision=5),
        line("g2", 4, "endpoint_changed", **LEAVES),
        attempt("g1", 5, "r2", revision=5, records_age_s=3.5),
        attempt("g1", 6, "r3", revision=5, records_age_s=4.5),
        line("g1", 7.5, "endpoint_changed", **LEAVES),
    )
    assert explanation.verdict == (
        "attempts at e1 from g1 after g2 knew that it leaves (revision 9): 2, the "
        "last 2.0 s after; the change arrived at g1 1.5 s later; the records of g1 "
        "were last confirmed 4.5 s before"
    )
    assert "  revision 9 (leaves) at 00:00:04: g2 +0.0 s, g1 +3.5 s" in (
        explanation.table
    )


def test_an_attempt_without_a_revision_rests_on_the_record_that_had_arrived():
    """Guards against logs of older gateways that cannot be explained."""
    explanation = endpoint(
        *start("g1"),
        *start("g2"),
        line(
            "g1", 2, "endpoint_changed", endpoint="e1", takes_calls="true", revision=5
        ),
        line("g2", 4, "endpoint_removed", endpoint="e1", revision=9),
        line("g1", 4.5, "task_failed", task="StoreFollower.run", cause="ValueError"),
        attempt("g1", 5),
    )
    assert has_text(
        explanation,
        "attempts at e1 from g1 after g2 knew that it leaves (revision 9): 1",
        "the change is not in the log of g1",
        "the loop that follows the store, StoreFollower.run, had ended at g1 0.5 s",
        "rested on revision 5; the age of the records is not logged",
    )


def test_an_endpoint_that_registered_again_is_not_taken_for_one_that_leaves():
    explanation = endpoint(
        *start("g1"),
        line("g1", 2, "endpoint_changed", **LEAVES),
        line(
            "g1", 3, "endpoint_changed", endpoint="e1", takes_calls="true", revision=12
        ),
        attempt("g1", 5, revision=12),
    )
    assert explanation.verdict.startswith("no attempt at e1 rested on a record older")


def test_refused_connections_without_any_change_are_shown():
    """Guards against the incident's case: nobody had read that the endpoint leaves."""
    explanation = endpoint(
        *start("g1"),
        *start("g2"),
        attempt("g2", 3, "r0", revision=5),
        unreachable("g2", 3.1, "r0"),
        attempt("g1", 54, "r1", revision=5),
        unreachable("g1", 54.1, "r1"),
        line(
            "g1",
            54.1,
            "endpoint_unreachable_for",
            endpoint="e1",
            seconds=51,
            attempts=9,
            revision=5,
        ),
        attempt("g1", 55, "r2", revision=5),
    )
    assert has_text(
        explanation,
        "no change of e1 is in these logs",
        "attempts that found e1 unreachable: 2 over 51.0 s, first at g2, last at g1",
        "g1 had tried it in vain for 51 s (9 attempts, record of revision 5)",
        "the attempt of r1 at g1 rested on revision 5",
    )


def test_a_malformed_record_of_the_endpoint_is_the_cause():
    explanation = endpoint(
        *start("g1"),
        line("g1", 3, "record_malformed", key="x/e1", revision=8, cause="too deep"),
        attempt("g1", 5, revision=5),
    )
    assert explanation.verdict.endswith(
        "g1 found x/e1 of revision 8 malformed (too deep)"
    )


def test_attempts_of_another_request_do_not_count():
    lines = [*start("g1"), attempt("g1", 5, revision=5)]
    assert endpoint(*lines, request_id="r7") is None
    assert endpoint(*start("g1")) is None


def test_grounds_are_shown_with_their_offset():
    explanation = route(
        *start("g1"),
        line("g1", 3, "store_lost", cause="timed out"),
        rejection("g1", 5),
    )
    texts = list(render_explanation(explanation))
    assert texts[0].startswith("verdict: g1 had version 1")
    assert any(t.startswith("    -2.000 s g1: store_lost") for t in texts)
    assert any(t.startswith("    +0.000 s g1: request_rejected") for t in texts)


LOGS = [str(path) for path in RECORDED]


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["explain-route", *LOGS, "--request", "g4-8"], ExitCode.DONE),
        (["explain-route", *LOGS, "--gateway", "g4"], ExitCode.DONE),
        (["explain-route", *LOGS, "--request", "r9"], ExitCode.REFUSED),
        (["explain-route", *LOGS], ExitCode.USAGE),
        (["explain-route", "missing.log", "--gateway", "g4"], ExitCode.USAGE),
        (["explain-route", *LOGS, "--gateway", "g4", "--at", "noon"], ExitCode.USAGE),
        (["explain-endpoint", "leaves", *LOGS], ExitCode.DONE),
        (["explain-endpoint", "unknown", *LOGS], ExitCode.REFUSED),
        (["explain-endpoint", "leaves", "missing.log"], ExitCode.USAGE),
    ],
)
def test_exit_codes_are_those_of_the_other_commands(arguments, code, capsys):
    assert app(arguments) is code
    output = capsys.readouterr()
    assert output.out.startswith("verdict: ") == (code is ExitCode.DONE)
    assert bool(output.err) == (code is not ExitCode.DONE)
