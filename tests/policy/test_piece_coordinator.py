"""Pieces of whole requests over several entries, and what follows a failure."""

import pytest

from amaranthtally.policy import (
    FreeAtPeer,
    FreeResults,
    Peer,
    PieceCoordinator,
    PieceFault,
    PieceReport,
    PiecesEnded,
    ReportToPeer,
    SubmitToPeer,
)
from tests.policy.pieces import (
    CLAIM,
    CLUJ,
    IASI,
    LOOKUP,
    POOLS,
    REPLY,
    calls,
    endpoints,
    freed,
    made,
)

NOW = 1.0
OBJECTIVE, DEADLINE = 20.0, 40.0
OTHERS = tuple(Peer(f"other-{n}", IASI) for n in range(2))


def coordinator(peers=(), place=CLUJ, name="own", at=(CLUJ, IASI)):
    found = PieceCoordinator()
    found.configure(name, place, place, endpoints(*at), POOLS)
    found.replace_peers(peers)
    return found


def begin(found, request_id="r", stages=CLAIM, counts=(2,), now=NOW, **options):
    options = {"objective": OBJECTIVE, "deadline": DEADLINE, "priority": 0} | options
    return found.begin(now, request_id, stages, counts, "key", **options)


def sent(found, news, now):
    """Return the calls that follow, once the linger has passed."""
    return calls(news.actions + found.tick(now + 0.02).actions)


def asked(news):
    return [action for action in news.actions if isinstance(action, SubmitToPeer)]


def told(ask, handle="h", fault=None):
    return PieceReport(ask.piece, ask.pool, ask.data_centre, "e", handle, fault, 0.0)


def test_a_request_goes_through_its_stages_and_its_results_are_freed():
    found = coordinator()
    now = NOW
    news = begin(found, stages=LOOKUP, counts=(1, 6, 10))
    seen = []
    while not news.ready:
        (call,) = sent(found, news, now)
        seen.append((call.endpoint, len(call.pieces)))
        now += 0.4
        news = found.call_ended(now, call.call, made(call))
    assert seen == [
        ("catalogue-cluj-a", 1),
        ("roster-cluj-a", 6),
        ("ledger-cluj-a", 10),
    ]
    results = found.inputs_of("r")
    assert len(results) == 10
    assert freed(found.close(now, "r")) == {result.handle for result in results}


def test_what_requests_of_one_call_have_read_is_freed_in_one_message():
    """
    An endpoint gets eight connections where one would do, each of which takes it a
    millisecond. Eight requests of one call were done with their inputs at once, and
    each freed its own.
    """
    found = coordinator(at=(CLUJ,))
    for number in range(4):
        begin(found, f"r{number}", stages=LOOKUP, counts=(1, 1, 1))
    (first,) = sent(found, found.tick(NOW), NOW)
    news = found.call_ended(NOW + 0.3, first.call, made(first))
    (second,) = sent(found, news, NOW + 0.3)
    assert len(second.pieces) == 4
    news = found.call_ended(NOW + 0.6, second.call, made(second))
    frees = [action for action in news.actions if isinstance(action, FreeResults)]
    assert [len(free.handles) for free in frees] == [4]


def test_a_request_without_pieces_is_ready_at_once():
    assert begin(coordinator(), counts=(0,)).ready == ["r"]


def test_pieces_are_made_where_their_reader_stands_unless_one_waits_long_there():
    found = coordinator()
    (call,) = sent(found, begin(found, reader=IASI), NOW)
    assert call.endpoint == "catalogue-iasi-a"


def test_a_piece_whose_call_was_lost_is_made_elsewhere():
    found = coordinator()
    (first,) = sent(found, begin(found), NOW)
    news = found.call_ended(NOW + 1.0, first.call, PiecesEnded())
    (second,) = sent(found, news, NOW + 1.0)
    assert (first.endpoint, second.endpoint) == (
        "catalogue-cluj-a",
        "catalogue-iasi-a",
    )


def test_a_request_is_given_up_after_a_few_lost_calls():
    """
    A request goes round for ever where a stage fails whatever is sent.
    """
    found = coordinator()
    news = begin(found)
    now = NOW
    for _ in range(10):
        for call in sent(found, news, now):
            now += 1.0
            news = found.call_ended(now, call.call, PiecesEnded())
        if news.failed:
            break
        now += 1.0
    assert news.failed == ["r"] or news.failed == ["r", "r"]


def test_a_request_of_which_nothing_can_be_made_fails_at_once():
    assert begin(coordinator(at=())).failed == ["r"]


def test_a_request_whose_pieces_can_no_longer_be_in_time_is_refused_at_once():
    news = begin(coordinator(), deadline=NOW + 0.1)
    assert news.late == ["r"]
    assert calls(news.actions) == []


def test_a_lost_result_of_the_request_is_made_again():
    found = coordinator()
    (call,) = sent(found, begin(found), NOW)
    assert found.call_ended(NOW + 0.3, call.call, made(call)).ready == ["r"]
    news = found.recompute_inputs(NOW + 0.5, "r")
    assert freed(news.actions) == {p.handle for p in ()} | {
        "catalogue-cluj-a/r.0.0",
        "catalogue-cluj-a/r.0.1",
    }
    (again,) = sent(found, news, NOW + 0.5)
    assert len(again.pieces) == 2


# Other entries


@pytest.fixture
def asking():
    """An entry whose pieces at Iasi are made by another one."""
    return coordinator(peers=OTHERS)


def ask_other(found, request_id="r"):
    (order,) = asked(begin(found, request_id, reader=IASI))
    return order


def test_pieces_are_asked_of_the_entry_that_calls_the_endpoint(asking):
    order = ask_other(asking)
    assert order.peer in {peer.name for peer in OTHERS}
    assert len(order.jobs) == 2
    news = asking.take_reports(NOW + 0.4, [told(ask) for ask in order.jobs])
    assert news.ready == ["r"]


def test_an_entry_makes_what_another_asks_for_and_tells_it():
    theirs = ask_other(coordinator(peers=OTHERS))
    found = coordinator(place=IASI, name=theirs.peer)
    (call,) = sent(found, found.accept_jobs(NOW, "own", theirs.jobs), NOW)
    news = found.call_ended(NOW + 0.3, call.call, made(call))
    (word,) = [action for action in news.actions if isinstance(action, ReportToPeer)]
    assert word.peer == "own"
    assert [one.handle for one in word.reports] == [
        "catalogue-iasi-a/r.0.0",
        "catalogue-iasi-a/r.0.1",
    ]


def test_pieces_of_a_peer_that_has_gone_are_asked_of_another(asking):
    """
    A request waits to its deadline. The entry that was to have its pieces made was
    killed, and its caller's entry went on waiting for its word.
    """
    order = ask_other(asking)
    (again,) = asked(asking.peer_failed(NOW + 0.5, order.peer))
    assert again.peer != order.peer
    assert again.jobs == order.jobs


def test_a_busy_peer_is_asked_once_more_and_no_other(asking):
    """
    An endpoint that is full gets a second and a third caller, the fuller the more.
    Pieces that were not heard of in time were asked of another entry, though the one
    that calls the endpoint was only busy.
    """
    order = ask_other(asking)
    (again,) = asked(asking.tick(NOW + 30.0))
    assert again.peer == order.peer


def test_what_a_leaving_peer_hands_back_is_no_failure(asking):
    order = ask_other(asking)
    words = [told(ask, "", PieceFault.HANDED_BACK) for ask in order.jobs]
    news = asking.take_reports(NOW + 0.1, words)
    assert {a.peer for a in asked(news)} == {p.name for p in OTHERS} - {order.peer}
    for _ in range(10):
        news = asking.take_reports(NOW + 0.1, words)
        assert news.failed == []


def test_a_leaving_entry_hands_back_what_it_is_asked_for():
    """
    Pieces are asked of an entry that stops, as word of it is still on the way. They
    waited there to the end of its process, and were lost with it.
    """
    theirs = ask_other(coordinator(peers=OTHERS))
    found = coordinator(peers=OTHERS, place=IASI, name=theirs.peer)
    found.leave(NOW)
    (word,) = found.accept_jobs(NOW, "own", theirs.jobs).actions
    assert (word.peer, {one.fault for one in word.reports}) == (
        "own",
        {PieceFault.HANDED_BACK},
    )
    assert calls(found.tick(NOW + 0.1).actions) == []


def test_what_comes_for_a_request_that_has_ended_is_freed(asking):
    """
    Makers fill up with results that nobody will read, until their time is over.
    """
    order = ask_other(asking)
    (ended,) = asking.close(NOW, "r")
    assert ended == FreeAtPeer(order.peer, (), "r")
    words = [
        told(ask, "late")._replace(endpoint="catalogue-iasi-a") for ask in order.jobs
    ]
    frees = asking.take_reports(NOW + 1.0, words).actions
    assert {r.handle for f in frees for r in f.results} == {"late"}


def test_a_peer_drops_what_waits_for_a_request_that_has_ended():
    theirs = ask_other(coordinator(peers=OTHERS))
    found = coordinator(place=IASI, name=theirs.peer)
    found.accept_jobs(NOW, "own", theirs.jobs)
    found.free_for_peer(NOW, [], ended="r")
    assert calls(found.tick(NOW + 0.1).actions) == []


def test_an_entry_without_a_configuration_hands_back_what_it_is_asked_for():
    """
    Everybody leaves a data centre alone for seconds. Its owner had just been started
    anew, knew no endpoint yet, and said that the pieces had failed.
    """
    theirs = ask_other(coordinator(peers=OTHERS))
    (word,) = PieceCoordinator().accept_jobs(NOW, "own", theirs.jobs).actions
    assert {one.fault for one in word.reports} == {PieceFault.HANDED_BACK}


def calls_of_reply():
    """Make a request of two branches; return the calls that ran beside each other."""
    found = coordinator(at=(CLUJ,))
    now = NOW
    news = begin(found, stages=REPLY, counts=(2, 1, 6, 10))
    rounds = []
    while not news.ready:
        rounds.append(sent(found, news, now))
        now += 0.4
        ends = [found.call_ended(now, call.call, made(call)) for call in rounds[-1]]
        news = ends[-1]
        for end in ends[:-1]:
            news.actions += end.actions
    return rounds


def test_large_results_wait_for_the_long_branch_of_their_request():
    """
    Calls for one or two pieces take the place of full ones. Results of 1.5 MB fill
    their maker for a second while the other stages of their request still run.
    """
    calls_sent = [call for calls_now in calls_of_reply() for call in calls_now]
    seen = [sorted({p.stage for p in call.pieces}) for call in calls_sent]
    assert seen[0] == [1]
    assert [0] in seen
    assert seen.index([0]) < seen.index([3])


def test_a_stage_larger_than_a_call_is_made_in_several_places():
    """Requests of more pieces than a call has places were never served."""
    found = coordinator()
    made_at = [call.endpoint for call in sent(found, begin(found, counts=(9,)), NOW)]
    assert len(set(made_at)) == 2


def test_a_short_branch_is_made_beside_the_last_stage_of_the_long_one():
    """Its results filled their maker while two stages of their request still ran."""
    begun = [{p.stage for call in now for p in call.pieces} for now in calls_of_reply()]
    assert begun == [{1}, {2}, {0, 3}]


def test_a_branch_without_another_beside_it_is_made_at_once():
    found = coordinator(at=(CLUJ,))
    (call,) = sent(found, begin(found, stages=REPLY, counts=(2, 0, 0, 0)), NOW)
    assert {p.stage for p in call.pieces} == {0}
