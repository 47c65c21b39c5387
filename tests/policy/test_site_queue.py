"""Tests of a site's queue against a model that looks at each piece."""

from hypothesis import given, strategies as st

from amaranthtally.policy.piece_queue import QueuedPiece
from amaranthtally.policy.site_queue import SiteQueue
from tests.policy.pieces import job

TIMES = st.integers(0, 8).map(float)


class CountingPiece:
    """A queued piece that counts how often its job is read."""

    def __init__(self, queued):
        self._queued = queued
        self.reads = 0

    @property
    def job(self):
        self.reads += 1
        return self._queued.job

    @property
    def queued_at(self):
        return self._queued.queued_at


@st.composite
def queued_pieces(draw):
    number = draw(st.integers(0, 6))
    start_by = draw(TIMES)
    queued_job = job(
        f"r-{number}",
        priority=draw(st.integers(0, 2)),
        start_by=start_by,
        deadline=start_by + draw(TIMES),
        is_started=draw(st.booleans()),
    )
    return QueuedPiece(queued_job, 0.0)


def without(pieces, removed):
    return [piece for piece in pieces if all(piece is not other for other in removed)]


@given(
    st.lists(queued_pieces(), max_size=20),
    st.lists(TIMES, max_size=6),
    st.integers(0, 6),
)
def test_the_queue_agrees_with_a_model_that_looks_at_each_piece(pieces, times, number):
    queue = SiteQueue()
    for piece in pieces:
        queue.add(piece)
    remaining = list(pieces)
    for now in sorted(times):
        for rank in (None, 0, 1, 2):
            on_time = [
                piece
                for piece in remaining
                if now <= piece.job.start_by
                and (rank is None or piece.job.priority <= rank)
            ]
            assert queue.on_time(now, rank) == len(on_time)
        late = queue.take_late(now)
        assert late == [piece for piece in remaining if piece.job.deadline <= now]
        remaining = without(remaining, late)
        late_unstarted = queue.take_late_unstarted(now)
        assert late_unstarted == [
            piece
            for piece in remaining
            if now > piece.job.start_by and not piece.job.is_started
        ]
        remaining = without(remaining, late_unstarted)
    request_id = f"r-{number}"
    taken = queue.take_request(request_id)
    assert taken == [
        piece for piece in remaining if piece.job.piece.request_id == request_id
    ]
    assert queue.pieces == without(remaining, taken)
    assert len(queue) == len(queue.pieces)


def test_a_decision_costs_no_more_with_a_long_queue():
    """In a burst, an entry spent its processor time on counting the queue."""
    pieces = [
        CountingPiece(QueuedPiece(job(f"r-{n}", start_by=5.0), 0.0)) for n in range(500)
    ]
    queue = SiteQueue()
    for piece in pieces:
        queue.add(piece)
    before = sum(piece.reads for piece in pieces)
    for _ in range(10):
        assert queue.on_time(1.0, 1) == len(pieces)
        assert queue.take_late(1.0) == queue.take_late_unstarted(1.0) == []
        assert queue.take_request("another") == []
    assert sum(piece.reads for piece in pieces) == before
