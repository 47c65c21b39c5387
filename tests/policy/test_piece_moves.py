"""Tests that waiting pieces move where it is worth it, and that none is lost."""

import pytest
from hypothesis import given, settings as run_settings, strategies as st

from amaranthtally.policy import (
    FreeAtPeer,
    Peer,
    PieceCoordinator,
    ReportToPeer,
    RunPieces,
    SubmitToPeer,
    WithdrawAtPeer,
)
from amaranthtally.policy.piece_moves import Moves, SiteWait, is_move_worth_it
from tests.policy.pieces import CLAIM, CLUJ, IASI, POOLS, completed, endpoints

NOW = 1.0
NAMES = {"cluj": CLUJ, "iasi": IASI}
CALL_S = 0.37


@pytest.mark.parametrize(
    ("waited_s", "here", "there", "is_worth_it"),
    [
        (0.0, SiteWait(IASI, 1.0), SiteWait(CLUJ, 0.0), True),
        (0.9, SiteWait(IASI, 1.0), SiteWait(CLUJ, 0.0), False),
        (0.0, SiteWait(IASI, 1.0), SiteWait(CLUJ, 0.0, 1.0), False),
        (0.0, SiteWait(IASI, 1.0, 1.0), SiteWait(CLUJ, 0.0, 1.0), True),
        (0.0, SiteWait(IASI, 3.0), SiteWait(CLUJ, 1.0), False),
    ],
)
def test_a_move_must_gain_more_than_it_costs(waited_s, here, there, is_worth_it):
    """Guards against moves that only add traffic, and to sites with a queue."""
    assert is_move_worth_it(waited_s, here, there, CALL_S) is is_worth_it


def test_a_job_has_one_move_at_a_time_and_none_from_a_silent_owner():
    """Guards against a job that is submitted to two targets of two moves."""
    moves, piece = Moves(), job_name("r")
    serial = moves.begin(NOW, [piece], "peer", CLUJ)
    assert not moves.may_begin(NOW + 0.5, piece, "peer")
    assert moves.fail(NOW + 0.8, serial, "peer") == [piece]
    assert not moves.may_begin(NOW + 1.0, piece, "peer")
    assert moves.may_begin(NOW + 5.0, piece, "peer")
    assert moves.end(serial, [piece]) == ({}, [])


def test_pieces_move_from_an_overloaded_site_to_an_idle_one():
    """One site had three times its load while another of the pool was idle."""
    fleet = Fleet()
    fleet.overload(IASI)
    fleet.advance(0.3)
    fleet.deliver_all()
    fleet.advance(0.02)
    assert fleet.moved
    assert {p.endpoint for p in fleet.run} == {"catalogue-iasi-a", "catalogue-cluj-a"}


def test_without_reports_of_speed_no_piece_moves():
    """Guards against a change for pools that the component is off for."""
    fleet = Fleet(active=False)
    fleet.overload(IASI)
    fleet.advance(0.3)
    fleet.deliver_all()
    assert not fleet.moved


def test_pieces_move_to_the_new_owner_of_their_site():
    """Two entries called one endpoint after its site had got another owner."""
    fleet = Fleet()
    fleet.begin("r", reader=IASI)
    fleet.deliver_all()
    coordinator = fleet.entries["cluj"]
    coordinator.replace_peers([Peer("iasi", IASI), Peer("new", IASI)])
    fleet.live = {"iasi", "new"}
    owner = coordinator.owner(NOW, "catalogue", IASI)
    actions = coordinator.tick(NOW + 0.01).actions
    withdrawals = [a for a in actions if isinstance(a, WithdrawAtPeer)]
    assert [w.peer for w in withdrawals] == (["iasi"] if owner == "new" else [])


def test_pieces_leave_a_region_that_their_request_may_not_use_any_more():
    """Pieces of an account stayed queued outside of its new home regions."""
    fleet = Fleet()
    fleet.begin("r", reader=IASI)
    coordinator = fleet.entries["cluj"]
    coordinator.confine("r", frozenset({CLUJ}))
    actions = coordinator.tick(NOW + 0.01).actions
    (withdrawal,) = [a for a in actions if isinstance(a, WithdrawAtPeer)]
    effects = coordinator.withdrawal_answered(
        NOW + 0.02, withdrawal.peer, withdrawal.serial, withdrawal.pieces
    )
    assert [a for a in effects.actions if isinstance(a, SubmitToPeer)] == []
    assert coordinator.batcher.queued_count == len(withdrawal.pieces)


def test_a_job_whose_withdrawal_is_not_answered_is_submitted_again_at_once():
    """The owner had withdrawn it, and it waited for seconds until it was overdue."""
    fleet = Fleet()
    fleet.overload(IASI)
    fleet.advance(0.02)
    sender = fleet.entries["cluj"]
    move = next(a for _, a, _ in fleet.messages if isinstance(a, WithdrawAtPeer))
    failed = sender.withdrawal_failed(fleet.now, move.peer, move.serial, move.pieces)
    assert jobs_in(failed) == set(move.pieces)
    # An answer that comes after all must not leave them with nobody either.
    late = sender.withdrawal_answered(fleet.now, move.peer, move.serial, move.pieces)
    assert jobs_in(late) == set(move.pieces)


def jobs_in(effects):
    submissions = [a for a in effects.actions if isinstance(a, SubmitToPeer)]
    return {job.piece for submission in submissions for job in submission.jobs}


steps = st.lists(
    st.one_of(
        st.tuples(st.just("begin"), st.integers(0, 40), st.sampled_from([CLUJ, IASI])),
        st.tuples(st.just("deliver"), st.integers(0, 20), st.booleans()),
        st.tuples(st.just("end_call"), st.integers(0, 3)),
        st.tuples(st.just("advance"), st.floats(0.02, 0.4)),
        st.tuples(st.just("close"), st.integers(0, 40)),
    ),
    max_size=150,
)


@run_settings(max_examples=100, deadline=None)
@given(steps)
def test_no_job_is_lost_and_none_has_two_moves(history):
    """A withdrawal or its answer that is lost left a job with nobody to run it."""
    fleet = Fleet()
    fleet.overload(IASI)
    for name, *arguments in history:
        getattr(fleet, name)(*arguments)
        fleet.check()
    for _ in range(200):
        fleet.advance(0.1)
        fleet.deliver_all()
        fleet.end_call(0)
    assert fleet.open == set()


def job_name(request_id):
    fleet = Fleet()
    fleet.begin(request_id, reader=IASI)
    ((_, action, _),) = fleet.messages
    return action.jobs[0].piece


class Fleet:
    """Two entries, each the owner of the sites in its data centre, without network."""

    def __init__(self, active=True):
        self.now = NOW
        self.live = set(NAMES)
        self.entries = {}
        self.messages = []
        self.calls = []
        self.run = []
        self.open = set()
        self.moved = 0
        for name, centre in NAMES.items():
            coordinator = self.entries[name] = PieceCoordinator()
            coordinator.configure(
                name, centre, centre, endpoints(*NAMES.values()), POOLS
            )
            coordinator.replace_peers(
                [Peer(n, c) for n, c in NAMES.items() if n != name]
            )
            if active:
                coordinator.pool_reports_speed("catalogue")

    def overload(self, data_centre):
        """Begin requests at one site, as before the other had endpoints."""
        for n in range(24):
            self.begin(f"b{n}", data_centre, frozenset({data_centre}))
            self.entries["cluj"].confine(f"b{n}", None)

    def begin(self, request_id, reader, regions=None):
        request_id = f"{request_id}"
        if request_id in self.open:
            return
        self.open.add(request_id)
        options = {"objective": 900.0, "deadline": 900.0, "priority": 0}
        self.apply(
            "cluj",
            self.entries["cluj"].begin(
                self.now,
                request_id,
                CLAIM,
                (2,),
                "key",
                reader=reader,
                regions=regions,
                **options,
            ),
        )

    def close(self, number):
        request_id = f"{number}"
        if request_id in self.open:
            self.open.discard(request_id)
            self.execute("cluj", self.entries["cluj"].close(self.now, request_id))

    def apply(self, name, effects):
        for request_id in [*effects.ready, *effects.failed, *effects.late]:
            assert request_id not in effects.failed
            self.open.discard(request_id)
            effects.actions += self.entries[name].close(self.now, request_id)
        self.execute(name, effects.actions)

    def execute(self, name, actions):
        for action in actions:
            if isinstance(action, RunPieces):
                self.calls.append((name, action))
                self.run.append(action)
            elif hasattr(action, "peer"):
                self.messages.append((name, action, None))

    def check(self):
        moving = [
            piece
            for _, action, _ in self.messages
            if isinstance(action, WithdrawAtPeer) and action.serial
            for piece in action.pieces
        ]
        assert len(moving) == len(set(moving))

    def deliver(self, index, is_lost=False):
        """Deliver a message; of a withdrawal and its answer each may be lost."""
        if not self.messages:
            return
        name, action, answer = self.messages.pop(index % len(self.messages))
        sender, peer = self.entries[name], self.entries[action.peer]
        if isinstance(action, SubmitToPeer):
            self.apply(action.peer, peer.accept_jobs(self.now, name, action.jobs))
        elif isinstance(action, ReportToPeer):
            self.apply(action.peer, peer.take_reports(self.now, action.reports))
        elif isinstance(action, FreeAtPeer):
            freed = peer.free_for_peer(self.now, action.results, action.ended)
            self.execute(action.peer, freed)
        elif is_lost:
            failed = sender.withdrawal_failed(
                self.now, action.peer, action.serial, action.pieces
            )
            self.apply(name, failed)
        elif answer is None:
            self.messages.append((name, action, peer.withdraw_jobs(action.pieces)))
        else:
            self.moved += len(answer)
            self.apply(
                name,
                sender.withdrawal_answered(
                    self.now, action.peer, action.serial, answer
                ),
            )

    def deliver_all(self):
        while self.messages:
            self.deliver(0)

    def end_call(self, index):
        if self.calls:
            name, call = self.calls.pop(index % len(self.calls))
            end = completed(call)
            effects = self.entries[name].call_ended(self.now, call.call, end)
            self.apply(name, effects)

    def advance(self, seconds):
        self.now += seconds
        for name, coordinator in self.entries.items():
            self.apply(name, coordinator.tick(self.now))
