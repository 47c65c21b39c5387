"""Which waiting call a sidecar runs next, and which never will."""

from amaranthtally.policy import QueuedCall, RunQueue


def busy_queue(limit=1, capacity=4, run_s=1.0):
    """Return a queue that knows its run time and has every slot taken."""
    queue = RunQueue(limit, capacity)
    for serial in range(1000, 1030):
        queue.offer(0.0, QueuedCall(0, 1e9, serial))
        queue.next_call(0.0)
        queue.finished(0.0, run_s)
    for serial in range(limit):
        queue.offer(0.0, QueuedCall(0, 1e9, serial))
        queue.next_call(0.0)
    return queue


def test_hopeless_work_is_dropped_and_not_started():
    """
    A dispatcher gets an answer late, and everyone behind him does too. Each call
    waits until its deadline is nearly over, then takes a slot and runs for nobody.
    The queue ran whatever was first, however little time it had left.
    """
    queue = busy_queue(run_s=1.0)
    late, fine = QueuedCall(0, 2.0, 1), QueuedCall(0, 9.0, 2)
    assert queue.offer(0.0, late)
    assert queue.offer(0.0, fine)
    queue.finished(1.5, 1.5)
    assert queue.dropped(1.5) == [late]
    assert queue.dropped(1.5) == []
    assert queue.next_call(1.5) == fine


def test_hopeless_work_is_dropped_behind_a_higher_priority_too():
    """
    A call of low priority is answered only when its caller has long gone. It
    waited behind others in the order of the queue, where nobody looked at it.
    """
    queue = busy_queue()
    urgent, late = QueuedCall(0, 9.0, 1), QueuedCall(5, 2.0, 2)
    assert queue.offer(0.0, urgent)
    assert queue.offer(0.0, late)
    assert queue.dropped(1.9) == [late]


def test_it_says_when_its_next_call_can_not_end_in_time():
    """Behind stuck calls one waits to its deadline, with no time to run elsewhere."""
    queue = busy_queue(run_s=1.0)
    first, later = QueuedCall(5, 4.0, 1), QueuedCall(0, 9.0, 2)
    assert queue.drops_at() is None
    assert queue.offer(0.0, later)
    assert queue.offer(0.0, first)
    at = queue.drops_at()
    assert 2.9 < at < 3.1
    assert queue.dropped(at - 0.1) == []
    assert queue.dropped(at) == [first]
    assert 7.9 < queue.drops_at() < 8.1
    queue.withdraw(later)
    assert queue.drops_at() is None


def test_a_call_without_time_left_is_not_queued():
    """
    A retry comes with a tenth of a second left for a call of one second. Queued,
    it would have its entry wait for a refusal that could be given at once.
    """
    assert not busy_queue(run_s=1.0).offer(0.0, QueuedCall(0, 0.1, 1))


def test_low_priority_makes_room_when_the_queue_is_full():
    """
    A farmer's breakdown is refused while nightly summaries wait. The summaries
    came first and filled the queue; a full queue refused whatever came next.
    """
    queue = busy_queue(capacity=2)
    summaries = [QueuedCall(5, 60.0, 1), QueuedCall(5, 50.0, 2)]
    assert all(queue.offer(0.0, call) for call in summaries)
    assert not queue.offer(0.0, QueuedCall(5, 40.0, 3))
    breakdown = QueuedCall(0, 9.0, 4)
    assert queue.offer(0.0, breakdown)
    assert queue.dropped(0.0) == [summaries[0]]
    queue.finished(0.5, 0.5)
    assert queue.next_call(0.5) == breakdown


def test_fewer_calls_run_at_an_endpoint_that_fails_and_more_again_later():
    """
    An engine out of memory fails every batch, and is given the next full batch
    at once. The limit was constant. Failures of one batch count as one sign.
    """
    queue = RunQueue(8, 100)
    for serial in range(8):
        queue.offer(0.0, QueuedCall(0, 100.0, serial))
        queue.next_call(0.0)
    for _ in range(8):
        queue.finished(1.0, 1.0, failed=True)
    assert queue.limit == 5
    for serial in range(8, 30):
        queue.offer(2.0, QueuedCall(0, 100.0, serial))
        assert queue.next_call(2.0) is not None
        queue.finished(3.0, 1.0)
    assert queue.limit == 8


def test_a_run_that_was_cut_off_teaches_nothing():
    """
    After a burst of cancels an endpoint seems fast, and hopeless work is kept.
    A cancelled run was counted as a finished one, with the time until its cancel.
    """
    queue = busy_queue(run_s=1.0)
    queue.released()
    assert queue.service_s == 1.0
    assert queue.running == 0
