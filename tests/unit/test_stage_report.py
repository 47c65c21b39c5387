"""The report that ``stages`` builds from the daemons' logs."""

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import parse_line
from amaranthtally.operator.stage_report import build_report
from amaranthtally.operator.stages_command import stages
from tests.unit.test_explain import log_line, write_logs

CALL = {
    "endpoint": "i-1",
    "requests": "r1,r2",
    "pieces": 3,
    "ms": 400,
    "shortage": "memory",
    "pool": "ledger",
    "places": 8,
    "waiting": 5,
    "waited_ms": 40,
}
ENTRY = [
    log_line(0.0, "request_received", request_id="r1", route="a"),
    log_line(0.1, "request_received", request_id="r2", route="a"),
    log_line(1.0, "attempt_sent", request_id="r1"),
    log_line(2.0, "request_ended", request_id="r1", outcome="answered", reason=""),
    log_line(2.5, "request_ended", request_id="r2", outcome="not_run", reason="busy"),
]
OWNER = [
    log_line(0.6, "pieces_ended", **CALL),
    "not a line at all",
]


def report():
    lines = [parse_line("x", text) for text in (*ENTRY, *OWNER)]
    return build_report([line for line in lines if line is not None], 4.0)


def test_pool_sums_are_grouped_by_span():
    (((pool, begin), span),) = report().spans.items()
    assert (pool, begin) == ("ledger", 0.0)
    assert (span.calls, span.pieces, span.batch_limit, span.waiting) == (1, 3, 8, 5)
    assert span.shortages == {"memory": 1}
    assert round(span.busy_s, 3) == 0.4


def test_routes_show_outcomes_and_times():
    summary = report().routes["a"]
    assert summary.outcomes == {"answered": 1, "not_run busy": 1}
    assert [round(s, 3) for s in summary.staged_s] == [1.0]
    assert [round(s, 3) for s in summary.refused_s] == [2.4]
    assert [round(s, 3) for s in summary.waits_s["ledger"]] == [0.2, 0.1]


def test_endpoint_time_is_grouped_by_request_outcome():
    spent = {
        outcome: round(spent_s, 3) for outcome, spent_s in report().spent_s.items()
    }
    assert spent == {"answered": 0.2, "not_run busy": 0.2}


def test_the_command_counts_lines_that_it_can_not_parse(tmp_path, capsys):
    paths = write_logs(tmp_path, entry=ENTRY, owner=OWNER)
    assert stages(paths) is ExitCode.DONE
    printed = capsys.readouterr()
    assert "1 lines could not be parsed; skipped" in printed.err
    assert "memory 1" in printed.out


def test_a_missing_file_and_a_span_of_zero_are_refused(tmp_path, capsys):
    assert stages([tmp_path / "none.log"]) is ExitCode.USAGE
    assert stages([], span=0.0) is ExitCode.USAGE
    assert "give seconds" in capsys.readouterr().err


def test_logs_without_a_call_give_empty_tables(tmp_path):
    assert stages(write_logs(tmp_path, empty=[])) is ExitCode.DONE
