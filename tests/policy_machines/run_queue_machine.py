"""Random operations on a run queue: offer, start, finish, abort, withdraw."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from amaranthtally.policy import QueuedCall, RunQueue

indexes = st.integers(0, 2**16)


class RunQueueMachine(RuleBasedStateMachine):
    """Checks that each call is refused, dropped, withdrawn or started, exactly once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.serial = 0
        self.waiting: dict[int, QueuedCall] = {}
        self.running: set[int] = set()

    @initialize(limit=st.integers(1, 4), capacity=st.integers(0, 6))
    def open_queue(self, limit, capacity):
        self.queue = RunQueue(limit, capacity)
        self.capacity = capacity

    @rule(
        priority=st.integers(0, 2),
        left_s=st.sampled_from((0.01, 0.5, 4.0)),
        count=st.sampled_from((1, 5)),
    )
    def calls_arrive(self, priority, left_s, count):
        for _ in range(count):
            self.serial += 1
            call = QueuedCall(priority, self.now + left_s, self.serial)
            if self.queue.offer(self.now, call):
                self.waiting[call.serial] = call
            self.take_dropped()
        assert len(self.waiting) <= self.capacity

    @rule()
    def calls_start(self):
        self.take_dropped()
        while (call := self.queue.next_call(self.now)) is not None:
            assert self.waiting.pop(call.serial) == call, "a call starts once"
            assert all(
                call.priority <= other.priority for other in self.waiting.values()
            )
            self.running.add(call.serial)

    @precondition(lambda self: self.waiting)
    @rule(index=indexes)
    def call_is_withdrawn(self, index):
        serials = list(self.waiting)
        self.queue.withdraw(self.waiting.pop(serials[index % len(serials)]))

    @precondition(lambda self: self.running)
    @rule()
    def call_is_aborted(self):
        self.running.pop()
        self.queue.aborted()

    @precondition(lambda self: self.running)
    @rule(run_s=st.sampled_from((0.0, 0.01, 1.0)), failed=st.booleans())
    def call_finishes(self, run_s, failed):
        self.running.pop()
        self.queue.finished(self.now, run_s, failed)

    @rule(passed_s=st.sampled_from((0.01, 0.4, 5.0)))
    def time_passes(self, passed_s):
        self.now += passed_s

    def take_dropped(self):
        """Take the dropped calls; each must have been waiting."""
        for call in self.queue.dropped(self.now):
            assert self.waiting.pop(call.serial) == call, "a call is dropped once"

    @invariant()
    def counts_agree(self):
        if self.serial:
            assert self.queue.running == len(self.running)
            assert self.queue.queued == len(self.waiting)
            assert self.queue.backlog_s >= 0
            assert self.queue.limit >= 1
