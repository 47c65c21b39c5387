"""The queue of a pool in a data centre, against one that counts anew."""

from hypothesis import given, strategies as st

from amaranthtally.policy.piece_queue import QueuedPiece
from amaranthtally.policy.site_queue import SiteQueue
from tests.policy.pieces import ask

TIMES = st.integers(0, 8).map(float)


class Watched:
    """A waiting piece that counts how often it is looked at."""

    def __init__(self, waiting):
        self._waiting = waiting
        self.looks = 0

    @property
    def job(self):
        self.looks += 1
        return self._waiting.job

    @property
    def queued_at(self):
        return self._waiting.queued_at


@st.composite
def waitings(draw):
    number = draw(st.integers(0, 6))
    start_by = draw(TIMES)
    one = ask(
        f"r-{number}",
        priority=draw(st.integers(0, 2)),
        start_by=start_by,
        deadline=start_by + draw(TIMES),
        is_started=draw(st.booleans()),
    )
    return QueuedPiece(one, 0.0)


def left_of(pieces, gone):
    return [one for one in pieces if all(one is not other for other in gone)]


@given(
    st.lists(waitings(), max_size=20), st.lists(TIMES, max_size=6), st.integers(0, 6)
)
def test_it_counts_and_takes_as_one_that_looks_at_each_piece(pieces, times, number):
    queue = SiteQueue()
    for one in pieces:
        queue.add(one)
    left = list(pieces)
    for now in sorted(times):
        for rank in (None, 0, 1, 2):
            on_time = [
                one
                for one in left
                if now <= one.job.start_by
                and (rank is None or one.job.priority <= rank)
            ]
            assert queue.on_time(now, rank) == len(on_time)
        late = queue.take_late(now)
        assert late == [one for one in left if one.job.deadline <= now]
        left = left_of(left, late)
        crowded = queue.take_late_unstarted(now)
        assert crowded == [
            one for one in left if now > one.job.start_by and not one.job.is_started
        ]
        left = left_of(left, crowded)
    name = f"r-{number}"
    found = queue.take_request(name)
    assert found == [one for one in left if one.job.piece.request_id == name]
    assert queue.waiting == left_of(left, found)
    assert len(queue) == len(queue.waiting)


def test_a_long_queue_costs_a_decision_no_more():
    """In a burst an entry's processor went into counting its queue at each decision."""
    pieces = [
        Watched(QueuedPiece(ask(f"r-{n}", start_by=5.0), 0.0)) for n in range(500)
    ]
    queue = SiteQueue()
    for one in pieces:
        queue.add(one)
    before = sum(one.looks for one in pieces)
    for _ in range(10):
        assert queue.on_time(1.0, 1) == len(pieces)
        assert queue.take_late(1.0) == queue.take_late_unstarted(1.0) == []
        assert queue.take_request("another") == []
    assert sum(one.looks for one in pieces) == before
