"""Tests of the stages of requests over several entries, and of failures."""

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
    calls_in,
    completed,
    endpoints,
    freed_handles,
)

NOW = 1.0
OBJECTIVE, DEADLINE = 20.0, 40.0
PEERS = tuple(Peer(f"other-{n}", IASI) for n in range(2))


def new_coordinator(peers=(), data_centre=CLUJ, name="own", at=(CLUJ, IASI)):
    coordinator = PieceCoordinator()
    coordinator.configure(name, data_centre, data_centre, endpoints(*at), POOLS)
    coordinator.replace_peers(peers)
    return coordinator


def begin(coordinator, request_id="r", stages=CLAIM, counts=(2,), now=NOW, **options):
    options = {"objective": OBJECTIVE, "deadline": DEADLINE, "priority": 0} | options
    return coordinator.begin(now, request_id, stages, counts, "key", **options)


def calls_sent_by(coordinator, effects, now):
    """Return the calls that follow, once the linger time has passed."""
    return calls_in(effects.actions + coordinator.tick(now + 0.02).actions)


def submissions(effects):
    return [action for action in effects.actions if isinstance(action, SubmitToPeer)]


def report_on(job, handle="h", fault=None):
    return PieceReport(job.piece, job.pool, job.data_centre, "e", handle, fault, 0.0)


def test_a_request_runs_its_stages_in_order_and_its_results_are_freed():
    coordinator = new_coordinator()
    now = NOW
    effects = begin(coordinator, stages=LOOKUP, counts=(1, 6, 10))
    observed = []
    while not effects.ready:
        (call,) = calls_sent_by(coordinator, effects, now)
        observed.append((call.endpoint, len(call.pieces)))
        now += 0.4
        effects = coordinator.call_ended(now, call.call, completed(call))
    assert observed == [
        ("catalogue-cluj-a", 1),
        ("roster-cluj-a", 6),
        ("ledger-cluj-a", 10),
    ]
    results = coordinator.inputs_of("r")
    assert len(results) == 10
    assert freed_handles(coordinator.close(now, "r")) == {
        result.handle for result in results
    }


def test_results_read_by_the_requests_of_one_call_are_freed_in_one_message():
    """
    Eight requests of one call need their inputs no longer at the same time. Each freed
    its own, and the endpoint got eight connections, each of which costs it a
    millisecond, in place of one.
    """
    coordinator = new_coordinator(at=(CLUJ,))
    for number in range(4):
        begin(coordinator, f"r{number}", stages=LOOKUP, counts=(1, 1, 1))
    (first,) = calls_sent_by(coordinator, coordinator.tick(NOW), NOW)
    effects = coordinator.call_ended(NOW + 0.3, first.call, completed(first))
    (second,) = calls_sent_by(coordinator, effects, NOW + 0.3)
    assert len(second.pieces) == 4
    effects = coordinator.call_ended(NOW + 0.6, second.call, completed(second))
    frees = [action for action in effects.actions if isinstance(action, FreeResults)]
    assert [len(free.handles) for free in frees] == [4]


def test_a_request_without_pieces_is_ready_at_once():
    assert begin(new_coordinator(), counts=(0,)).ready == ["r"]


def test_pieces_run_in_the_data_centre_of_their_reader_if_there_is_no_long_wait():
    coordinator = new_coordinator()
    (call,) = calls_sent_by(coordinator, begin(coordinator, reader=IASI), NOW)
    assert call.endpoint == "catalogue-iasi-a"


def test_a_piece_whose_call_was_lost_runs_elsewhere():
    coordinator = new_coordinator()
    (first,) = calls_sent_by(coordinator, begin(coordinator), NOW)
    effects = coordinator.call_ended(NOW + 1.0, first.call, PiecesEnded())
    (second,) = calls_sent_by(coordinator, effects, NOW + 1.0)
    assert (first.endpoint, second.endpoint) == (
        "catalogue-cluj-a",
        "catalogue-iasi-a",
    )


def test_a_request_fails_after_a_few_lost_calls():
    """A request was retried for ever if one of its stages failed each time."""
    coordinator = new_coordinator()
    effects = begin(coordinator)
    now = NOW
    for _ in range(10):
        for call in calls_sent_by(coordinator, effects, now):
            now += 1.0
            effects = coordinator.call_ended(now, call.call, PiecesEnded())
        if effects.failed:
            break
        now += 1.0
    assert effects.failed == ["r"] or effects.failed == ["r", "r"]


def test_a_request_fails_at_once_without_any_endpoint():
    assert begin(new_coordinator(at=())).failed == ["r"]


def test_a_request_whose_pieces_would_miss_the_deadline_is_refused_at_once():
    effects = begin(new_coordinator(), deadline=NOW + 0.1)
    assert effects.late == ["r"]
    assert calls_in(effects.actions) == []


def test_a_lost_input_of_the_request_is_recomputed():
    coordinator = new_coordinator()
    (call,) = calls_sent_by(coordinator, begin(coordinator), NOW)
    assert coordinator.call_ended(NOW + 0.3, call.call, completed(call)).ready == ["r"]
    effects = coordinator.recompute_inputs(NOW + 0.5, "r")
    assert freed_handles(effects.actions) == {p.handle for p in ()} | {
        "catalogue-cluj-a/r.0.0",
        "catalogue-cluj-a/r.0.1",
    }
    (again,) = calls_sent_by(coordinator, effects, NOW + 0.5)
    assert len(again.pieces) == 2


# Several entries


@pytest.fixture
def submitter():
    """An entry that submits its pieces at Iasi to a peer."""
    return new_coordinator(peers=PEERS)


def submit_to_peer(coordinator, request_id="r"):
    (submission,) = submissions(begin(coordinator, request_id, reader=IASI))
    return submission


def test_jobs_are_submitted_to_the_owner_of_the_site(submitter):
    submission = submit_to_peer(submitter)
    assert submission.peer in {peer.name for peer in PEERS}
    assert len(submission.jobs) == 2
    effects = submitter.take_reports(
        NOW + 0.4, [report_on(job) for job in submission.jobs]
    )
    assert effects.ready == ["r"]


def test_an_entry_runs_the_jobs_of_a_peer_and_reports_to_it():
    submission = submit_to_peer(new_coordinator(peers=PEERS))
    coordinator = new_coordinator(data_centre=IASI, name=submission.peer)
    (call,) = calls_sent_by(
        coordinator, coordinator.accept_jobs(NOW, "own", submission.jobs), NOW
    )
    effects = coordinator.call_ended(NOW + 0.3, call.call, completed(call))
    (answer,) = [
        action for action in effects.actions if isinstance(action, ReportToPeer)
    ]
    assert answer.peer == "own"
    assert [report.handle for report in answer.reports] == [
        "catalogue-iasi-a/r.0.0",
        "catalogue-iasi-a/r.0.1",
    ]


def test_jobs_of_a_peer_that_failed_are_submitted_to_another(submitter):
    """
    The owner of the site was killed, and the submitter kept waiting for its reports, so
    that the request waited until its deadline.
    """
    submission = submit_to_peer(submitter)
    (again,) = submissions(submitter.peer_failed(NOW + 0.5, submission.peer))
    assert again.peer != submission.peer
    assert again.jobs == submission.jobs


def test_overdue_jobs_are_submitted_to_the_same_peer_again(submitter):
    """
    Jobs without a report in time were submitted to another entry, though the owner was
    only busy. So a full endpoint got a second and a third caller, and the more callers
    the fuller it was.
    """
    submission = submit_to_peer(submitter)
    (again,) = submissions(submitter.tick(NOW + 30.0))
    assert again.peer == submission.peer


def test_jobs_that_a_leaving_peer_returns_do_not_count_as_failed(submitter):
    submission = submit_to_peer(submitter)
    reports = [report_on(job, "", PieceFault.HANDED_BACK) for job in submission.jobs]
    effects = submitter.take_reports(NOW + 0.1, reports)
    assert {a.peer for a in submissions(effects)} == {p.name for p in PEERS} - {
        submission.peer
    }
    for _ in range(10):
        effects = submitter.take_reports(NOW + 0.1, reports)
        assert effects.failed == []


def test_a_leaving_entry_hands_back_submitted_jobs():
    """
    A peer that does not know yet that an entry is stopping submits jobs to it. They
    stayed queued until the process ended, and were lost.
    """
    submission = submit_to_peer(new_coordinator(peers=PEERS))
    coordinator = new_coordinator(peers=PEERS, data_centre=IASI, name=submission.peer)
    coordinator.leave(NOW)
    (answer,) = coordinator.accept_jobs(NOW, "own", submission.jobs).actions
    assert (answer.peer, {report.fault for report in answer.reports}) == (
        "own",
        {PieceFault.HANDED_BACK},
    )
    assert calls_in(coordinator.tick(NOW + 0.1).actions) == []


def test_results_for_a_request_that_has_ended_are_freed(submitter):
    """Results that nobody will read filled endpoints until they expired."""
    submission = submit_to_peer(submitter)
    (ended,) = submitter.close(NOW, "r")
    assert ended == FreeAtPeer(submission.peer, (), "r")
    reports = [
        report_on(job, "late")._replace(endpoint="catalogue-iasi-a")
        for job in submission.jobs
    ]
    frees = submitter.take_reports(NOW + 1.0, reports).actions
    assert {r.handle for f in frees for r in f.results} == {"late"}


def test_a_peer_drops_queued_jobs_of_a_request_that_has_ended():
    submission = submit_to_peer(new_coordinator(peers=PEERS))
    coordinator = new_coordinator(data_centre=IASI, name=submission.peer)
    coordinator.accept_jobs(NOW, "own", submission.jobs)
    coordinator.free_for_peer(NOW, [], ended="r")
    assert calls_in(coordinator.tick(NOW + 0.1).actions) == []


def test_an_entry_without_a_configuration_hands_back_submitted_jobs():
    """
    The owner of a site had just restarted, knew no endpoints yet, and reported the jobs
    as failed. All entries then avoided that data centre for seconds.
    """
    submission = submit_to_peer(new_coordinator(peers=PEERS))
    (answer,) = PieceCoordinator().accept_jobs(NOW, "own", submission.jobs).actions
    assert {report.fault for report in answer.reports} == {PieceFault.HANDED_BACK}


def rounds_of_reply():
    """Run a request with two branches; return its calls, grouped by concurrency."""
    coordinator = new_coordinator(at=(CLUJ,))
    now = NOW
    effects = begin(coordinator, stages=REPLY, counts=(2, 1, 6, 10))
    rounds = []
    while not effects.ready:
        rounds.append(calls_sent_by(coordinator, effects, now))
        now += 0.4
        ends = [
            coordinator.call_ended(now, call.call, completed(call))
            for call in rounds[-1]
        ]
        effects = ends[-1]
        for end in ends[:-1]:
            effects.actions += end.actions
    return rounds


def test_large_results_wait_for_the_long_branch_of_their_request():
    """
    Results of 1.5 MB filled their endpoint's memory for a second while the other stages
    of their request ran, so that calls had room for only one or two pieces.
    """
    calls = [call for concurrent in rounds_of_reply() for call in concurrent]
    observed = [sorted({p.stage for p in call.pieces}) for call in calls]
    assert observed[0] == [1]
    assert [0] in observed
    assert observed.index([0]) < observed.index([3])


def test_a_stage_larger_than_a_call_runs_in_several_data_centres():
    """Requests with a stage of more pieces than a call accepts were never served."""
    coordinator = new_coordinator()
    endpoint_ids = [
        call.endpoint
        for call in calls_sent_by(coordinator, begin(coordinator, counts=(9,)), NOW)
    ]
    assert len(set(endpoint_ids)) == 2


def test_a_short_branch_runs_beside_the_last_stage_of_the_long_one():
    """Its results filled an endpoint's memory while two other stages still ran."""
    stages = [
        {p.stage for call in calls for p in call.pieces} for calls in rounds_of_reply()
    ]
    assert stages == [{1}, {2}, {0, 3}]


def test_a_branch_without_another_one_beside_it_runs_at_once():
    coordinator = new_coordinator(at=(CLUJ,))
    (call,) = calls_sent_by(
        coordinator, begin(coordinator, stages=REPLY, counts=(2, 0, 0, 0)), NOW
    )
    assert {p.stage for p in call.pieces} == {0}
