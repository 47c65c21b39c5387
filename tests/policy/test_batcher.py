"""Which pieces share a call at an endpoint that takes one call at a time."""

from dataclasses import replace

import pytest

from amaranthtally.policy import PieceFault, PieceOutcome, PiecesEnded, StoredResult
from amaranthtally.policy.batcher import LINGER_S, Batcher
from tests.policy.pieces import (
    CATALOGUE,
    CLUJ,
    IASI,
    POOLS,
    ask,
    calls,
    endpoint,
    endpoints,
    made,
)

NOW = 1.0
LATER = NOW + LINGER_S


@pytest.fixture
def batcher():
    found = Batcher()
    found.configure(endpoints(CLUJ), POOLS)
    return found


def requests_of(call):
    return {piece.request_id for piece in call.pieces}


def told_of(effects, submitter=""):
    return {one.piece.request_id: one for one in effects.reports.get(submitter, ())}


def send(batcher, now, *asks):
    """Ask and let the linger pass; return the calls."""
    actions = batcher.take(now, asks).actions
    return calls(actions + batcher.tick(now + LINGER_S).actions)


def test_what_becomes_due_within_milliseconds_shares_a_call(batcher):
    """
    Every second request waits for a whole call. The end of one call makes pieces of
    three requests due at the next pool; the first to arrive was sent alone.
    """
    assert batcher.take(NOW, [ask("a")]).actions == []
    assert batcher.take(NOW + LINGER_S / 2, [ask("b"), ask("c")]).actions == []
    (call,) = calls(batcher.tick(LATER).actions)
    assert requests_of(call) == {"a", "b", "c"}


def test_a_full_call_does_not_wait(batcher):
    small = [ask(f"r{n}", result_bytes=8e3) for n in range(CATALOGUE.batch)]
    (call,) = calls(batcher.take(NOW, small).actions)
    assert len(call.pieces) == CATALOGUE.batch


def test_an_endpoint_has_one_call_at_a_time(batcher):
    """
    An endpoint's queue is full and its callers are refused. It works on one call at a
    time, so that a second one would only wait there, with nothing added to it.
    """
    (first,) = send(batcher, NOW, ask("a"))
    assert send(batcher, NOW + 0.1, ask("b"), ask("c")) == []
    effects = batcher.call_ended(NOW + 0.3, first.call, made(first))
    (second,) = calls(effects.actions)
    assert requests_of(second) == {"b", "c"}


def test_a_request_is_not_cut_by_the_end_of_a_call(batcher):
    """
    A request waits for a second call though most of it was in the first. Five pieces
    and five do not fit in eight: the second request goes whole in the next call, and
    a third that fits takes the places.
    """
    small = {"result_bytes": 8e3}
    asks = [ask("a", n, siblings=5, **small) for n in range(5)]
    asks += [ask("b", n, siblings=5, start_by=11.0, **small) for n in range(5)]
    asks += [ask("c", n, siblings=3, start_by=12.0, **small) for n in range(3)]
    (call,) = send(batcher, NOW, *asks)
    assert requests_of(call) == {"a", "c"}


def test_a_request_larger_than_a_call_is_cut(batcher):
    asks = [ask("a", n, result_bytes=8e3) for n in range(10)]
    (call,) = send(batcher, NOW, *asks)
    assert len(call.pieces) == CATALOGUE.batch


def test_a_request_larger_than_a_call_goes_in_even_parts(batcher):
    """Requests of nine pieces and more found no call with so many free places."""
    small = {"result_bytes": 8e3}
    asks = [ask("small", n, siblings=3, start_by=9.0, **small) for n in range(3)]
    asks += [ask("large", n, siblings=10, **small) for n in range(10)]
    (first,) = send(batcher, NOW, *asks)
    assert [p.request_id for p in first.pieces] == ["small"] * 3 + ["large"] * 5
    (second,) = calls(batcher.call_ended(NOW + 0.4, first.call, made(first)).actions)
    assert [p.number for p in second.pieces] == [5, 6, 7, 8, 9]


def test_of_equally_urgent_requests_the_small_go_first(batcher):
    """One large request, which must begin earlier to be on time, made four late."""
    full = [ask("r", n, siblings=8, result_bytes=8e3) for n in range(8)]
    (first,) = send(batcher, NOW, *full)
    large = [ask("large", n, siblings=8, start_by=9.8) for n in range(8)]
    small = [ask(f"s{n}", start_by=10.0) for n in range(4)]
    send(batcher, NOW + 0.1, *large, *small)
    (second,) = calls(batcher.call_ended(NOW + 0.4, first.call, made(first)).actions)
    assert requests_of(second) == {"s0", "s1", "s2", "s3"}


def test_a_call_tells_what_kept_it_from_being_full(batcher):
    (first,) = send(batcher, NOW, *[ask("a", n, siblings=8) for n in range(8)])
    assert first.details.shortage == "full"
    (second,) = batcher.call_ended(NOW + 0.4, first.call, made(first)).actions or (
        None,
    )
    assert second is None
    (second,) = send(batcher, NOW + 0.4, *[ask(f"r{n}") for n in range(6)])
    assert second.details.shortage == "memory"
    assert second.details.waiting == 6
    assert second.details.places == CATALOGUE.batch


def test_a_wait_counts_only_those_that_go_before(batcher):
    """Urgent requests left a place to less urgent ones that would let them pass."""
    send(batcher, NOW, ask("running"))
    for n in range(40):
        batcher.take(NOW, [ask(f"r{n}", priority=2)])
    urgent_s = batcher.wait_s(NOW + LINGER_S, "catalogue", CLUJ, 1)
    assert urgent_s <= CATALOGUE.full_call_time_s()
    waiting_s = batcher.wait_s(NOW + LINGER_S, "catalogue", CLUJ, 2)
    assert waiting_s >= 5 * CATALOGUE.full_call_time_s()


def test_no_more_is_made_than_the_maker_can_keep(batcher):
    """
    Half of a call's pieces come back without a result. Results of 1.5 MB fill the
    17.6 MB of their maker: what is kept and what runs leaves room for three.
    """
    (first,) = send(batcher, NOW, *[ask("a", n) for n in range(8)])
    batcher.call_ended(NOW + 0.4, first.call, made(first))
    (second,) = send(batcher, NOW + 0.4, *[ask(f"r{n}") for n in range(6)])
    assert len(second.pieces) == 3


def test_a_result_that_was_read_makes_room(batcher):
    (first,) = send(batcher, NOW, *[ask("a", n) for n in range(8)])
    told = batcher.call_ended(NOW + 0.4, first.call, made(first)).reports[""]
    results = [StoredResult(t.handle, t.endpoint, CLUJ, 1.5e6) for t in told]
    batcher.free(NOW + 0.4, results[:4])
    (second,) = send(batcher, NOW + 0.4, *[ask(f"r{n}") for n in range(7)])
    assert len(second.pieces) == 7


def test_those_on_time_go_before_the_late_and_the_urgent_before_others(batcher):
    (_,) = send(batcher, NOW, ask("running"))
    batcher.take(
        NOW,
        [
            ask("late", start_by=NOW - 1.0),
            ask("slow", priority=2, start_by=5.0),
            *[ask("urgent", n, start_by=9.0) for n in range(6)],
        ],
    )
    (call,) = calls(batcher.call_ended(NOW + 0.3, 1, made(batcher_call(1))).actions)
    assert [p.request_id for p in call.pieces][:7] == ["urgent"] * 6 + ["slow"]


def batcher_call(number):
    """Return a call of one piece."""
    (call,) = send(configured(), NOW, ask("running"))
    return replace(call, call=number)


def configured():
    found = Batcher()
    found.configure(endpoints(CLUJ), POOLS)
    return found


def test_the_late_are_refused_at_once_where_those_on_time_need_every_place(batcher):
    """
    A caller is told "overloaded" after seven seconds of waiting. In a burst those on
    time take every place, and what is late already would wait to the end of its time.
    """
    batcher.take(NOW, [ask("late", start_by=NOW - 0.1)])
    crowd = [ask(f"r{n}", result_bytes=8e3) for n in range(2 * CATALOGUE.batch)]
    effects = batcher.take(NOW, crowd)
    assert told_of(effects)["late"].fault is PieceFault.LATE


def test_a_request_that_was_begun_is_not_crowded_out(batcher):
    """Three stages were made for requests that the last one then refused as late."""
    late = {"start_by": NOW - 0.1}
    send(batcher, NOW, *[ask("a", n, siblings=8) for n in range(8)])
    begun = ask("begun", is_started=True, **late)
    on_time = [ask(f"r{n}") for n in range(9)]
    told = batcher.take(NOW + 0.1, [begun, ask("new", **late), *on_time]).reports
    assert {one.piece.request_id for one in told[""]} == {"new"}


def test_the_late_are_made_where_there_is_a_place(batcher):
    (call,) = send(batcher, NOW, ask("late", start_by=NOW - 0.1), ask("on_time"))
    assert requests_of(call) == {"late", "on_time"}


def test_a_refused_call_is_sent_again_and_nobody_is_told(batcher):
    (first,) = send(batcher, NOW, ask("a"))
    effects = batcher.call_ended(NOW + 0.1, first.call, PiecesEnded(refused=True))
    assert effects.reports == {}
    (second,) = calls(batcher.tick(NOW + 0.5).actions)
    assert requests_of(second) == {"a"}


def test_a_lost_call_is_told_so_that_it_is_made_elsewhere(batcher):
    (first,) = send(batcher, NOW, ask("a", submitter="peer"))
    effects = batcher.call_ended(NOW + 0.1, first.call, PiecesEnded())
    assert told_of(effects, "peer")["a"].fault is PieceFault.FAILED


def test_pieces_at_a_place_without_endpoints_are_given_back(batcher):
    effects = batcher.take(NOW, [ask("a", place=IASI)])
    assert told_of(effects)["a"].fault is PieceFault.FAILED


def test_a_piece_that_is_asked_for_twice_is_made_once(batcher):
    """
    An endpoint computes the same piece twice. Its submitter got no report for long, as
    the report was lost or the endpoint is slow, and submitted the job again.
    """
    (first,) = send(batcher, NOW, ask("a"))
    batcher.take(NOW + 0.1, [ask("a"), ask("b"), ask("b")])
    (second,) = calls(batcher.call_ended(NOW + 0.3, first.call, made(first)).actions)
    assert [p.request_id for p in second.pieces] == ["b"]


def test_a_request_that_has_ended_is_not_made(batcher):
    batcher.take(NOW, [ask("gone"), ask("a")])
    batcher.withdraw("gone")
    (call,) = calls(batcher.tick(LATER).actions)
    assert requests_of(call) == {"a"}


def test_a_leaving_entry_hands_back_what_waits(batcher):
    batcher.take(NOW, [ask("a", submitter="peer")])
    assert told_of(batcher.hand_back(), "peer")["a"].fault is PieceFault.HANDED_BACK
    assert not batcher.is_busy


def test_an_endpoint_that_leaves_gets_no_call(batcher):
    leaving = endpoint("catalogue-cluj-a", takes_calls=False)
    batcher.configure({leaving.id: leaving}, POOLS)
    effects = batcher.take(NOW, [ask("a")])
    assert effects.actions == []
    assert told_of(effects)["a"].fault is PieceFault.FAILED


# Inputs


INPUT = StoredResult("in", "maker", CLUJ, 60e3)


def reading(name, number=0, siblings=1, **options):
    return ask(
        name,
        number,
        pool="ledger",
        stage=2,
        result_bytes=6e3,
        inputs=(INPUT,),
        siblings=siblings,
        **options,
    )


def alone(batcher):
    """Let a call at the ledger show that nobody else calls it; return the time."""
    warming = ask("w", pool="ledger", result_bytes=6e3)
    (call,) = send(batcher, NOW - 0.3, warming)
    batcher.call_ended(NOW - 0.05, call.call, made(call))
    return NOW


def test_inputs_are_kept_where_another_entry_may_call_the_endpoint(batcher):
    """
    A request waits for seconds and is made from its first stage on again and again.
    Entries restart one after the other, two call one endpoint for a while, and what a
    call was to read was freed while it waited there for the other entry's call.
    """
    (first,) = send(batcher, NOW, reading("a"))
    assert batcher.tick(LATER + 0.1).consumed == []
    # It took as long as two calls: another entry's was before it.
    effects = batcher.call_ended(LATER + 0.5, first.call, made(first))
    assert not any(one.inputs_freed for one in effects.reports[""])
    send(batcher, LATER + 0.5, reading("b"))
    assert batcher.tick(LATER + 0.7).consumed == []


def test_inputs_are_kept_where_the_endpoint_tells_of_another_call(batcher):
    now = alone(batcher)
    (first,) = send(batcher, now, reading("a"))
    end = replace(made(first), running=1, queued=0)
    batcher.call_ended(now + 0.25, first.call, end)
    send(batcher, now + 0.25, reading("b"))
    assert batcher.tick(now + 0.4).consumed == []


def test_inputs_are_freed_once_the_call_has_read_them(batcher):
    """
    A maker has no room though its results are read. They were kept to the end of the
    call that reads them, 0.3 s after it had.
    """
    alone(batcher)
    (call,) = send(batcher, NOW, reading("a", 0, 2), reading("a", 1, 2))
    assert batcher.tick(LATER + 0.01).consumed == []
    assert batcher.tick(LATER + 0.1).consumed == [INPUT]
    told = batcher.call_ended(LATER + 0.3, call.call, made(call)).reports[""]
    assert all(one.inputs_freed for one in told)


def test_inputs_are_kept_where_a_sibling_is_still_to_read_them(batcher):
    alone(batcher)
    (_,) = send(batcher, NOW, reading("a", 0, siblings=2))
    assert batcher.tick(LATER + 0.1).consumed == []


def test_inputs_are_kept_where_the_call_had_no_room(batcher):
    """
    A piece is asked for without its inputs. Its call came back in milliseconds, as
    the endpoint had no room, and its inputs were freed a moment later all the same.
    """
    alone(batcher)
    (call,) = send(batcher, NOW, reading("a"))
    full = PiecesEnded((PieceOutcome(fault=PieceFault.NO_ROOM),))
    assert batcher.call_ended(LATER + 0.01, call.call, full).reports == {}
    assert batcher.tick(LATER + 0.1).consumed == []
    (again,) = calls(batcher.tick(LATER + 0.5).actions)
    assert again.pieces[0].inputs == ("in",)


def test_a_piece_without_room_after_its_inputs_were_freed_is_told(batcher):
    alone(batcher)
    (call,) = send(batcher, NOW, reading("a", 0, 2), reading("a", 1, 2))
    assert batcher.tick(LATER + 0.1).consumed == [INPUT]
    outcomes = (PieceOutcome("h"), PieceOutcome(fault=PieceFault.NO_ROOM))
    effects = batcher.call_ended(LATER + 0.3, call.call, PiecesEnded(outcomes))
    assert [t.fault for t in effects.reports[""]] == [None, PieceFault.INPUT_MISSING]


def test_an_endpoint_that_became_slow_is_predicted_to_stay_so(batcher):
    """
    A third of all requests are late. One endpoint of three works four times slower, and
    each call there was predicted to take as long as elsewhere.
    """
    now = NOW
    usual_s = 0.2 + 0.02125
    for name in ("a", "b", "c"):
        (call,) = send(batcher, now, ask(name))
        now += LINGER_S + 4.0 * usual_s
        batcher.call_ended(now, call.call, made(call))
        batcher.free(
            now, [StoredResult(f"{call.endpoint}/{name}.0.0", call.endpoint, CLUJ, 0)]
        )
    assert (
        batcher.slowdown_s(now, "catalogue", CLUJ) > 2.0 * CATALOGUE.full_call_time_s()
    )
    assert batcher.slowdown_s(now + 60.0, "catalogue", CLUJ) == 0.0


def test_a_slow_endpoint_is_given_the_time_that_it_takes(batcher):
    (call,) = send(batcher, NOW, ask("a"))
    assert call.timeout_s >= 5.0 * (0.2 + 0.02125)
