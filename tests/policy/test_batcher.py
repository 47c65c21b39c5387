"""Tests of how pieces are batched into calls, and when their inputs are freed."""

from dataclasses import replace

import pytest

from amaranthtally.policy import PieceFault, PieceOutcome, PiecesEnded, StoredResult
from amaranthtally.policy.batcher import LINGER_S, Batcher
from amaranthtally.policy.piece_servers import PieceServer
from tests.policy.pieces import (
    CATALOGUE,
    CLUJ,
    IASI,
    POOLS,
    calls_in,
    completed,
    endpoint,
    endpoints,
    job,
)

NOW = 1.0
LATER = NOW + LINGER_S


@pytest.fixture
def batcher():
    batcher = Batcher()
    batcher.configure(endpoints(CLUJ), POOLS)
    return batcher


def requests_of(call):
    return {piece.request_id for piece in call.pieces}


def reports_by_request(effects, submitter=""):
    return {
        report.piece.request_id: report for report in effects.reports.get(submitter, ())
    }


def send(batcher, now, *jobs):
    """Submit jobs and let the linger time pass; return the calls that are sent."""
    actions = batcher.queue_jobs(now, jobs).actions
    return calls_in(actions + batcher.tick(now + LINGER_S).actions)


def test_pieces_due_within_milliseconds_share_a_call(batcher):
    """
    When a call ends, pieces of three requests become due at the next pool within
    milliseconds. The first was sent alone, and every second request waited for a call.
    """
    assert batcher.queue_jobs(NOW, [job("a")]).actions == []
    assert batcher.queue_jobs(NOW + LINGER_S / 2, [job("b"), job("c")]).actions == []
    (call,) = calls_in(batcher.tick(LATER).actions)
    assert requests_of(call) == {"a", "b", "c"}


def test_a_full_call_does_not_wait(batcher):
    small = [job(f"r{n}", result_bytes=8e3) for n in range(CATALOGUE.batch)]
    (call,) = calls_in(batcher.queue_jobs(NOW, small).actions)
    assert len(call.pieces) == CATALOGUE.batch


def test_an_endpoint_has_one_call_at_a_time(batcher):
    """
    An endpoint runs one call at a time. A second call would only fill its queue, so
    that other calls are refused, and could not be extended by later pieces.
    """
    (first,) = send(batcher, NOW, job("a"))
    assert send(batcher, NOW + 0.1, job("b"), job("c")) == []
    effects = batcher.call_ended(NOW + 0.3, first.call, completed(first))
    (second,) = calls_in(effects.actions)
    assert requests_of(second) == {"b", "c"}


def test_a_request_is_not_split_between_calls(batcher):
    """
    A request that is split waits for a second call though most of its pieces were in
    the first. Two requests of five pieces do not fit into a call of eight: the second
    goes into the next call, and a third one that fits fills up the first call.
    """
    small = {"result_bytes": 8e3}
    jobs = [job("a", n, siblings=5, **small) for n in range(5)]
    jobs += [job("b", n, siblings=5, start_by=11.0, **small) for n in range(5)]
    jobs += [job("c", n, siblings=3, start_by=12.0, **small) for n in range(3)]
    (call,) = send(batcher, NOW, *jobs)
    assert requests_of(call) == {"a", "c"}


def test_a_request_larger_than_a_call_is_split(batcher):
    jobs = [job("a", n, result_bytes=8e3) for n in range(10)]
    (call,) = send(batcher, NOW, *jobs)
    assert len(call.pieces) == CATALOGUE.batch


def test_a_request_larger_than_a_call_is_split_into_even_parts(batcher):
    """Requests of nine pieces and more never found a call with enough room left."""
    small = {"result_bytes": 8e3}
    jobs = [job("small", n, siblings=3, start_by=9.0, **small) for n in range(3)]
    jobs += [job("large", n, siblings=10, **small) for n in range(10)]
    (first,) = send(batcher, NOW, *jobs)
    assert [p.request_id for p in first.pieces] == ["small"] * 3 + ["large"] * 5
    (second,) = calls_in(
        batcher.call_ended(NOW + 0.4, first.call, completed(first)).actions
    )
    assert [p.number for p in second.pieces] == [5, 6, 7, 8, 9]


def test_of_equally_urgent_requests_the_small_go_first(batcher):
    """A large request, which had to begin earlier, made four small ones late."""
    full = [job("r", n, siblings=8, result_bytes=8e3) for n in range(8)]
    (first,) = send(batcher, NOW, *full)
    large = [job("large", n, siblings=8, start_by=9.8) for n in range(8)]
    small = [job(f"s{n}", start_by=10.0) for n in range(4)]
    send(batcher, NOW + 0.1, *large, *small)
    (second,) = calls_in(
        batcher.call_ended(NOW + 0.4, first.call, completed(first)).actions
    )
    assert requests_of(second) == {"s0", "s1", "s2", "s3"}


def test_a_call_reports_why_it_is_not_full(batcher):
    (first,) = send(batcher, NOW, *[job("a", n, siblings=8) for n in range(8)])
    assert first.details.shortage == "full"
    (second,) = batcher.call_ended(NOW + 0.4, first.call, completed(first)).actions or (
        None,
    )
    assert second is None
    (second,) = send(batcher, NOW + 0.4, *[job(f"r{n}") for n in range(6)])
    assert second.details.shortage == "memory"
    assert second.details.waiting == 6
    assert second.details.batch_limit == CATALOGUE.batch


def test_the_predicted_wait_counts_only_pieces_that_go_before(batcher):
    """Urgent requests avoided a site whose queued pieces were all less urgent."""
    send(batcher, NOW, job("running"))
    for n in range(40):
        batcher.queue_jobs(NOW, [job(f"r{n}", priority=2)])
    urgent_s = batcher.wait_s(NOW + LINGER_S, "catalogue", CLUJ, 1)
    assert urgent_s <= CATALOGUE.full_call_time_s()
    waiting_s = batcher.wait_s(NOW + LINGER_S, "catalogue", CLUJ, 2)
    assert waiting_s >= 5 * CATALOGUE.full_call_time_s()


def test_a_call_holds_no_more_results_than_fit_into_memory(batcher):
    """
    Calls returned half of their pieces without a result. The endpoint has 17.6 MB for
    results of 1.5 MB each: eight stored ones leave room for three more.
    """
    (first,) = send(batcher, NOW, *[job("a", n) for n in range(8)])
    batcher.call_ended(NOW + 0.4, first.call, completed(first))
    (second,) = send(batcher, NOW + 0.4, *[job(f"r{n}") for n in range(6)])
    assert len(second.pieces) == 3


def test_a_freed_result_makes_room_for_another(batcher):
    (first,) = send(batcher, NOW, *[job("a", n) for n in range(8)])
    reports = batcher.call_ended(NOW + 0.4, first.call, completed(first)).reports[""]
    results = [StoredResult(r.handle, r.endpoint, CLUJ, 1.5e6) for r in reports]
    batcher.free(NOW + 0.4, results[:4])
    (second,) = send(batcher, NOW + 0.4, *[job(f"r{n}") for n in range(7)])
    assert len(second.pieces) == 7


def test_requests_on_time_go_before_late_ones_and_urgent_ones_before_others(batcher):
    (_,) = send(batcher, NOW, job("running"))
    batcher.queue_jobs(
        NOW,
        [
            job("late", start_by=NOW - 1.0),
            job("slow", priority=2, start_by=5.0),
            *[job("urgent", n, start_by=9.0) for n in range(6)],
        ],
    )
    (call,) = calls_in(
        batcher.call_ended(NOW + 0.3, 1, completed(call_with_number(1))).actions
    )
    assert [p.request_id for p in call.pieces][:7] == ["urgent"] * 6 + ["slow"]


def call_with_number(number):
    """Return a call of one piece with this call number."""
    (call,) = send(configured_batcher(), NOW, job("running"))
    return replace(call, call=number)


def configured_batcher():
    batcher = Batcher()
    batcher.configure(endpoints(CLUJ), POOLS)
    return batcher


def test_late_requests_are_refused_at_once_if_those_on_time_fill_the_next_call(batcher):
    """
    In a burst, requests on time take all capacity, and late ones would wait until
    their deadline. Their callers got the refusal for overload after seven seconds.
    """
    batcher.queue_jobs(NOW, [job("late", start_by=NOW - 0.1)])
    crowd = [job(f"r{n}", result_bytes=8e3) for n in range(2 * CATALOGUE.batch)]
    effects = batcher.queue_jobs(NOW, crowd)
    assert reports_by_request(effects)["late"].fault is PieceFault.LATE


def test_a_started_request_is_not_crowded_out(batcher):
    """Requests were refused as late at the last of four stages, wasting three."""
    late = {"start_by": NOW - 0.1}
    send(batcher, NOW, *[job("a", n, siblings=8) for n in range(8)])
    started = job("started", is_started=True, **late)
    on_time = [job(f"r{n}") for n in range(9)]
    reports = batcher.queue_jobs(
        NOW + 0.1, [started, job("new", **late), *on_time]
    ).reports
    assert {report.piece.request_id for report in reports[""]} == {"new"}


def test_late_requests_run_if_there_is_capacity(batcher):
    (call,) = send(batcher, NOW, job("late", start_by=NOW - 0.1), job("on_time"))
    assert requests_of(call) == {"late", "on_time"}


def test_a_refused_call_is_sent_again_without_a_report(batcher):
    (first,) = send(batcher, NOW, job("a"))
    effects = batcher.call_ended(NOW + 0.1, first.call, PiecesEnded(refused=True))
    assert effects.reports == {}
    (second,) = calls_in(batcher.tick(NOW + 0.5).actions)
    assert requests_of(second) == {"a"}


def test_a_lost_call_is_reported_so_that_its_pieces_run_elsewhere(batcher):
    (first,) = send(batcher, NOW, job("a", submitter="peer"))
    effects = batcher.call_ended(NOW + 0.1, first.call, PiecesEnded())
    assert reports_by_request(effects, "peer")["a"].fault is PieceFault.FAILED


def test_pieces_at_a_site_without_endpoints_are_reported_as_failed(batcher):
    effects = batcher.queue_jobs(NOW, [job("a", data_centre=IASI)])
    assert reports_by_request(effects)["a"].fault is PieceFault.FAILED


def test_a_piece_that_is_submitted_twice_is_computed_once(batcher):
    """
    A submitter that gets no report in time submits the job again, as the report may be
    lost or the endpoint slow. The endpoint computed the same piece twice.
    """
    (first,) = send(batcher, NOW, job("a"))
    batcher.queue_jobs(NOW + 0.1, [job("a"), job("b"), job("b")])
    (second,) = calls_in(
        batcher.call_ended(NOW + 0.3, first.call, completed(first)).actions
    )
    assert [p.request_id for p in second.pieces] == ["b"]


def test_pieces_of_a_request_that_has_ended_are_not_computed(batcher):
    batcher.queue_jobs(NOW, [job("ended"), job("a")])
    batcher.withdraw("ended")
    (call,) = calls_in(batcher.tick(LATER).actions)
    assert requests_of(call) == {"a"}


def test_a_leaving_entry_returns_its_queued_jobs(batcher):
    batcher.queue_jobs(NOW, [job("a", submitter="peer")])
    assert (
        reports_by_request(batcher.hand_back(), "peer")["a"].fault
        is PieceFault.HANDED_BACK
    )
    assert not batcher.is_busy


def test_a_leaving_endpoint_gets_no_call(batcher):
    leaving = endpoint("catalogue-cluj-a", takes_calls=False)
    batcher.configure({leaving.id: leaving}, POOLS)
    effects = batcher.queue_jobs(NOW, [job("a")])
    assert effects.actions == []
    assert reports_by_request(effects)["a"].fault is PieceFault.FAILED


# Freeing of inputs


INPUT = StoredResult("in", "endpoint", CLUJ, 60e3)


def job_with_input(name, number=0, siblings=1, **options):
    return job(
        name,
        number,
        pool="ledger",
        stage=2,
        result_bytes=6e3,
        inputs=(INPUT,),
        siblings=siblings,
        **options,
    )


def make_only_caller(batcher):
    """Run a call at the ledger that shows no other caller; return the time after."""
    first_job = job("w", pool="ledger", result_bytes=6e3)
    (call,) = send(batcher, NOW - 0.3, first_job)
    batcher.call_ended(NOW - 0.05, call.call, completed(call))
    return NOW


def test_inputs_are_kept_if_another_entry_may_call_the_endpoint(batcher):
    """
    While entries restart in turn, two of them call one endpoint for a while. The inputs
    of a call were freed while it waited there for the other entry's call, and requests
    were recomputed from their first stage on, again and again.
    """
    (first,) = send(batcher, NOW, job_with_input("a"))
    assert batcher.tick(LATER + 0.1).consumed == []
    # The call took as long as two: it waited for a call of another entry.
    effects = batcher.call_ended(LATER + 0.5, first.call, completed(first))
    assert not any(report.inputs_freed for report in effects.reports[""])
    send(batcher, LATER + 0.5, job_with_input("b"))
    assert batcher.tick(LATER + 0.7).consumed == []


def test_inputs_are_kept_if_the_endpoint_reports_another_call(batcher):
    now = make_only_caller(batcher)
    (first,) = send(batcher, now, job_with_input("a"))
    end = replace(completed(first), running=1, queued=0)
    batcher.call_ended(now + 0.25, first.call, end)
    send(batcher, now + 0.25, job_with_input("b"))
    assert batcher.tick(now + 0.4).consumed == []


def test_inputs_are_freed_once_the_call_has_read_them(batcher):
    """
    Results that had been read filled their endpoint's memory, since they were freed at
    the end of the call that reads them, 0.3 s later.
    """
    make_only_caller(batcher)
    (call,) = send(batcher, NOW, job_with_input("a", 0, 2), job_with_input("a", 1, 2))
    assert batcher.tick(LATER + 0.01).consumed == []
    assert batcher.tick(LATER + 0.1).consumed == [INPUT]
    reports = batcher.call_ended(LATER + 0.3, call.call, completed(call)).reports[""]
    assert all(report.inputs_freed for report in reports)


def test_inputs_are_kept_if_a_sibling_has_not_read_them(batcher):
    make_only_caller(batcher)
    (_,) = send(batcher, NOW, job_with_input("a", 0, siblings=2))
    assert batcher.tick(LATER + 0.1).consumed == []


def test_inputs_are_kept_if_the_endpoint_had_no_room(batcher):
    """
    A call ended within milliseconds, as the endpoint had no room for the result. The
    inputs were freed a moment later, and the piece was sent again without them.
    """
    make_only_caller(batcher)
    (call,) = send(batcher, NOW, job_with_input("a"))
    full = PiecesEnded((PieceOutcome(fault=PieceFault.NO_ROOM),))
    assert batcher.call_ended(LATER + 0.01, call.call, full).reports == {}
    assert batcher.tick(LATER + 0.1).consumed == []
    (again,) = calls_in(batcher.tick(LATER + 0.5).actions)
    assert again.pieces[0].inputs == ("in",)


def test_a_piece_without_room_after_its_inputs_were_freed_is_reported(batcher):
    make_only_caller(batcher)
    (call,) = send(batcher, NOW, job_with_input("a", 0, 2), job_with_input("a", 1, 2))
    assert batcher.tick(LATER + 0.1).consumed == [INPUT]
    outcomes = (PieceOutcome("h"), PieceOutcome(fault=PieceFault.NO_ROOM))
    effects = batcher.call_ended(LATER + 0.3, call.call, PiecesEnded(outcomes))
    assert [report.fault for report in effects.reports[""]] == [
        None,
        PieceFault.INPUT_MISSING,
    ]


def test_an_endpoint_that_became_slow_is_predicted_to_stay_slow(batcher):
    """
    One endpoint of three became four times slower, and calls there were predicted to
    take as long as elsewhere. A third of all requests were late.
    """
    now = NOW
    usual_s = 0.2 + 0.02125
    for name in ("a", "b", "c"):
        (call,) = send(batcher, now, job(name))
        now += LINGER_S + 4.0 * usual_s
        batcher.call_ended(now, call.call, completed(call))
        batcher.free(
            now, [StoredResult(f"{call.endpoint}/{name}.0.0", call.endpoint, CLUJ, 0)]
        )
    assert (
        batcher.slowdown_s(now, "catalogue", CLUJ) > 2.0 * CATALOGUE.full_call_time_s()
    )
    assert batcher.slowdown_s(now + 60.0, "catalogue", CLUJ) == 0.0


def test_the_time_out_of_a_call_allows_for_a_slow_endpoint(batcher):
    (call,) = send(batcher, NOW, job("a"))
    assert call.timeout_s >= 5.0 * (0.2 + 0.02125)


def test_a_reported_slowness_changes_predictions_until_it_is_old(batcher):
    """Guards against learning that a host is slow only from calls that were late."""
    usual_s = CATALOGUE.full_call_time_s()
    now = NOW
    for name in ("a", "b", "c"):
        (call,) = send(batcher, now, job(name))
        now += LINGER_S + 0.2 + 0.02125
        end = replace(completed(call), running=0, host_slowness=3.0)
        batcher.call_ended(now, call.call, end)
    assert batcher.slowdown_s(now, "catalogue", CLUJ) > 1.5 * usual_s
    assert batcher.slowdown_s(now + 10.0, "catalogue", CLUJ) < 0.01 * usual_s


def test_a_false_speed_makes_no_endpoint_twice_as_fast_as_observed():
    """Guards against an endpoint that takes most pieces by claiming to be fast."""
    server = PieceServer(endpoint("a", CLUJ), CATALOGUE)
    server.note_load(NOW, 0, 0, 0.05)
    assert server.slowness(NOW) == 0.5
    now = NOW
    for call in range(4):
        server.note_sent(now, call, 1, 0.0)
        now += 8.0 * CATALOGUE.call_time_s(1)
        server.note_ended(now, call, True)
        server.note_load(now, 0, 0, 0.05)
    assert server.slowness(now) >= 3.0


def test_a_handle_is_the_result_of_one_piece_only(batcher):
    """Guards against a request that is computed from another request's result."""
    (first,) = send(batcher, NOW, job("a"))
    outcomes = completed(first)
    batcher.call_ended(NOW + 0.3, first.call, outcomes)
    (second,) = send(batcher, NOW + 0.4, job("b"))
    effects = batcher.call_ended(NOW + 0.7, second.call, outcomes)
    report = reports_by_request(effects)["b"]
    assert (report.handle, report.fault) == ("", PieceFault.FAILED)


def test_a_piece_that_is_made_again_may_have_the_handle_that_it_had(batcher):
    """Guards against a request that fails as its piece was made twice."""
    (first,) = send(batcher, NOW, job("a"))
    outcomes = completed(first)
    batcher.call_ended(NOW + 0.3, first.call, outcomes)
    (again,) = send(batcher, NOW + 0.4, job("a"))
    effects = batcher.call_ended(NOW + 0.7, again.call, outcomes)
    assert reports_by_request(effects)["a"].handle == outcomes.outcomes[0].handle
