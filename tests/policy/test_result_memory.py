"""Tests that no piece is computed in vain, where pools report their speed."""

import pytest
from hypothesis import given, settings as run_settings, strategies as st

from amaranthtally.policy import (
    Peer,
    PieceCoordinator,
    PieceFault,
    PieceOutcome,
    PiecesEnded,
    ReportToPeer,
    StoredResult,
    SubmitToPeer,
    WithdrawAtPeer,
)
from amaranthtally.policy.batcher import LINGER_S, Batcher
from amaranthtally.policy.result_memory import RoomWaits
from tests.policy.pieces import (
    CATALOGUE,
    CLAIM,
    CLUJ,
    IASI,
    LOOKUP,
    POOLS,
    calls_in,
    completed,
    endpoint,
    endpoints,
    job,
)

NOW = 1.0
PEERS = tuple(Peer(f"other-{n}", IASI) for n in range(2))
INPUT = StoredResult("in", "catalogue-cluj-a", CLUJ, 8e3)
SIZE = 1.5e6


def new_coordinator(peers=PEERS, name="own", at=(CLUJ, IASI), active=tuple(POOLS)):
    coordinator = PieceCoordinator()
    coordinator.configure(name, CLUJ, CLUJ, endpoints(*at), POOLS)
    coordinator.replace_peers(peers)
    for pool in active:
        coordinator.pool_reports_speed(pool)
    return coordinator


def new_batcher(active=("catalogue",)):
    batcher = Batcher()
    batcher.configure(endpoints(CLUJ), POOLS)
    for pool in active:
        batcher.active_pools.add(pool)
    return batcher


def send(batcher, now, *jobs):
    batcher.queue_jobs(now, jobs)
    return calls_in(batcher.tick(now + LINGER_S).actions)


def begin(coordinator, request_id="r", stages=CLAIM, counts=(2,), **options):
    options = {"objective": 20.0, "deadline": 40.0, "priority": 0} | options
    return coordinator.begin(NOW, request_id, stages, counts, "key", **options)


def submissions(effects):
    return [action for action in effects.actions if isinstance(action, SubmitToPeer)]


@pytest.mark.parametrize(
    "end",
    [
        PiecesEnded((PieceOutcome(fault=PieceFault.NO_ROOM),)),
        PiecesEnded(refused=True, running=1),
    ],
)
@pytest.mark.parametrize("active", [(), ("catalogue",)])
def test_a_piece_is_not_computed_again_if_its_request_ended_in_the_call(end, active):
    """A piece that found no room was queued again after its caller disconnected."""
    batcher = new_batcher(active)
    (call,) = send(batcher, NOW, job("a"))
    batcher.withdraw("a")
    batcher.call_ended(NOW + 0.1, call.call, end)
    assert batcher.queued_count == (0 if active else 1)


def test_a_slow_endpoint_gets_no_piece_that_it_would_end_too_late():
    """An endpoint four times slower computed pieces that were ready too late."""
    batcher = new_batcher()
    (slow,) = send(batcher, NOW, job("a"))
    took_s = 4 * CATALOGUE.call_time_s(1)
    now = NOW + LINGER_S + took_s
    batcher.call_ended(now, slow.call, completed(slow))
    effects = batcher.queue_jobs(now, [job("b", deadline=now + 0.3), job("c")])
    (report,) = effects.reports[""]
    assert (report.piece.request_id, report.fault) == ("b", PieceFault.LATE)


@pytest.mark.parametrize(
    ("options", "is_computed"),
    [({}, False), ({"is_started": True}, True), ({"has_begun": True}, True)],
)
def test_nothing_is_computed_for_a_request_that_misses_its_objective(
    options, is_computed
):
    """In a burst a fifth of the pieces were computed for requests late by then."""
    coordinator = new_coordinator(peers=())
    stages = LOOKUP if "is_started" in options else CLAIM
    effects = begin(coordinator, stages=stages, counts=(1, 1, 1), objective=3.0)
    (call,) = calls_in(effects.actions + coordinator.tick(NOW + 0.02).actions)
    effects = coordinator.call_ended(3.5, call.call, completed(call))
    if "is_started" not in options:
        effects = coordinator.recompute_inputs(3.5, "r", **options)
    assert (effects.late == []) is is_computed


def test_a_stage_does_not_start_if_a_later_one_has_no_room_in_time():
    """The first stage ran although the results of the next would find no room."""
    waiting, free = new_coordinator(peers=()), new_coordinator(peers=())
    for centre in (CLUJ, IASI):
        server = waiting.batcher.servers.find(f"roster-{centre}")
        server.note_stored(NOW - 3.0, "h", server.limits.memory_bytes)
    options = {"stages": LOOKUP, "counts": (1, 1, 1), "objective": NOW + 1.2}
    assert begin(waiting, **options).late == ["r"]
    assert begin(free, **options).late == []


def test_jobs_of_an_entry_that_is_gone_are_not_computed():
    """Pieces of a killed entry were computed, and nobody read the results."""
    submission = submissions(begin(new_coordinator(), reader=IASI))[0]
    owner = new_coordinator((Peer("own", CLUJ),), submission.peer)
    owner.accept_jobs(NOW, "own", submission.jobs)
    owner.submitter_lost("own")
    assert owner.tick(NOW + 0.1).actions == []
    assert owner.batcher.drops.gone == 2


def test_a_piece_submitted_elsewhere_is_withdrawn_where_it_was():
    """The owner that was only slow computed the pieces as well as the new one."""
    submitter = new_coordinator()
    (first,) = submissions(begin(submitter, reader=IASI))
    actions = submitter.peer_failed(NOW + 0.5, first.peer).actions
    (withdrawal,) = [a for a in actions if isinstance(a, WithdrawAtPeer)]
    assert withdrawal.peer == first.peer
    assert set(withdrawal.pieces) == {j.piece for j in first.jobs}


def test_a_report_makes_a_submitter_wait_for_room():
    """A submitter that calls no endpoint of a pool never heard that it is full."""
    submitter = new_coordinator(active=())
    (first,) = submissions(begin(submitter, reader=IASI))
    owner = new_coordinator((Peer("own", CLUJ),), first.peer)
    owner.accept_jobs(NOW, "own", first.jobs)
    (call,) = calls_in(owner.tick(NOW + 0.02).actions)
    for n in range(10):
        server = owner.batcher.servers.find("catalogue-iasi-a")
        server.note_stored(NOW, f"h{n}", SIZE)
    actions = owner.call_ended(NOW + 0.3, call.call, completed(call)).actions
    (told,) = [a for a in actions if isinstance(a, ReportToPeer)]
    submitter.take_reports(NOW + 0.3, told.reports)
    assert "catalogue" in submitter.batcher.active_pools
    plans = submitter.plans
    assert plans.room_wait_s(NOW + 0.3, "catalogue", IASI, SIZE) > 0.05
    assert plans.room_wait_s(NOW + 0.3, "catalogue", IASI, 8e3) == 0.0


def test_a_wait_for_room_is_forgotten_if_its_owner_reports_no_more():
    """A wait that a killed owner had reported kept requests away for ever."""
    rooms = RoomWaits()
    rooms.update(NOW, "catalogue", CLUJ, SIZE, 2.0)
    assert rooms.wait_s(NOW + 0.5, "catalogue", CLUJ, SIZE) == 1.5
    assert rooms.wait_s(NOW + 3.0, "catalogue", CLUJ, SIZE) == 0.0


requests = st.integers(0, 5)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("queue"), requests, st.integers(1, 4), st.integers(0, 2)),
        st.tuples(st.just("end"), st.sampled_from(["done", "full", "lost", "refused"])),
        st.tuples(st.just("withdraw"), requests),
        st.tuples(st.just("move"), requests),
        st.tuples(st.just("free"), st.integers(0, 3)),
        st.tuples(st.just("replace"), st.integers(0, 3)),
        st.tuples(st.just("wait"), st.floats(0.01, 1.5)),
    ),
    max_size=60,
)


@run_settings(max_examples=150, deadline=None)
@given(steps)
def test_reservations_never_exceed_the_memory_and_always_drain(history):
    """A reservation that outlived its piece kept an endpoint's memory unused."""
    run = _ReservationRun()
    for name, *arguments in history:
        getattr(run, name)(*arguments)
        run.check()
    run.now += 30.0
    assert run.batcher.memory.reservation_count(run.now) == 0


class _ReservationRun:
    """A batcher with two endpoints, and the calls and results that it has there."""

    def __init__(self):
        self.now = NOW
        self.batcher = Batcher()
        self.batcher.active_pools.add("catalogue")
        self.calls = []
        self.stored = []
        self.replace(0)

    def check(self):
        for server in self.batcher.servers.at_site("catalogue", CLUJ):
            reserved = self.batcher.memory.reserved_bytes(self.now, server)
            assert reserved <= server.free_bytes(self.now)

    def note(self, effects):
        self.calls += calls_in(effects.actions)

    def queue(self, request, count, priority):
        jobs = [
            job(
                f"r{request}",
                number,
                result_bytes=2 * SIZE * (1 + request % 3),
                start_by=self.now + 1.0,
                deadline=self.now + 3.0,
                priority=priority,
                inputs=(INPUT,) * (request % 2),
                siblings=count,
            )
            for number in range(count)
        ]
        self.note(self.batcher.queue_jobs(self.now, jobs))

    def end(self, outcome):
        if not self.calls:
            return
        call = self.calls.pop(0)
        if outcome == "done":
            end = completed(call)
            self.stored += [
                StoredResult(o.handle, call.endpoint, CLUJ, 0.0) for o in end.outcomes
            ]
        elif outcome == "full":
            no_room = PieceOutcome(fault=PieceFault.NO_ROOM)
            end = PiecesEnded((no_room,) * len(call.pieces))
        else:
            end = PiecesEnded(refused=outcome == "refused")
        self.note(self.batcher.call_ended(self.now, call.call, end))

    def withdraw(self, request):
        self.batcher.withdraw(f"r{request}")

    def move(self, request):
        self.batcher.withdraw_pieces([job(f"r{request}", n).piece for n in range(2)])

    def free(self, count):
        self.batcher.free(self.now, self.stored[:count])
        del self.stored[:count]

    def replace(self, incarnation):
        known = [
            endpoint("one", incarnation=1),
            endpoint("two", incarnation=1 + incarnation),
        ]
        kept = known[: 1 if incarnation == 1 else 2]
        self.batcher.configure({item.id: item for item in kept}, POOLS)

    def wait(self, seconds):
        self.now += seconds
        self.note(self.batcher.tick(self.now))
