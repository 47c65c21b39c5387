"""The timeline of one request, collected from the logs of several processes."""

from amaranthtally.operator.explain import read_timeline, render


def log_line(at, event, **fields):
    """Return a line as the daemons write it; ``at`` is its second."""
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    stamp = f"2026-01-01T00:00:0{at:.6f}Z"
    return f"timestamp={stamp} level=info event={event} {pairs}"


ENTRY = [
    log_line(0.0, "request_received", request_id="r1", route="a"),
    log_line(0.1, "request_received", request_id="r2", route="a"),
    "not a line of r1 at all",
    log_line(2.0, "request_ended", request_id="r1", status=503, reason='"too late"'),
]
OWNER = [
    log_line(0.5, "pieces_ended", call=1, requests="r2,r1", fate="lost", ms=400),
    "timestamp=yesterday event=pieces_ended requests=r1",
]


def write_logs(folder, **logs):
    """Write a log file for each process; return the paths."""
    paths = []
    for name, lines in logs.items():
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines), encoding="utf-8")
        paths.append(path)
    return paths


def timeline_of(tmp_path, request_id):
    return read_timeline(request_id, write_logs(tmp_path, entry=ENTRY, owner=OWNER))


def test_lines_of_all_processes_are_in_time_order(tmp_path):
    timeline = timeline_of(tmp_path, "r1")
    assert [(line.process, line.event) for line in timeline.lines] == [
        ("entry", "request_received"),
        ("owner", "pieces_ended"),
        ("entry", "request_ended"),
    ]


def test_unusable_lines_are_counted_and_not_fatal(tmp_path):
    assert timeline_of(tmp_path, "r1").unused_lines == 2


def test_rendered_lines_show_times_and_fields(tmp_path):
    first, second, third = render(timeline_of(tmp_path, "r1"))
    assert first.split()[0] == "0"
    assert "+500" in second
    assert "fate=lost" in second
    assert "+1500" in third
    assert 'reason="too late"' in third


def test_an_unknown_request_has_no_lines(tmp_path):
    assert timeline_of(tmp_path, "r3").lines == ()
