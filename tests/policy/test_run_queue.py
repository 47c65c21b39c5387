"""The order in which a sidecar starts waiting calls, and which calls it drops."""

from amaranthtally.policy import QueuedCall, RunQueue


def busy_queue(limit=1, capacity=4, run_s=1.0):
    """Return a queue with a known run time and all of its slots busy."""
    queue = RunQueue(limit, capacity)
    for serial in range(1000, 1030):
        queue.offer(0.0, QueuedCall(0, 1e9, serial))
        queue.next_call(0.0)
        queue.finished(0.0, run_s)
    for serial in range(limit):
        queue.offer(0.0, QueuedCall(0, 1e9, serial))
        queue.next_call(0.0)
    return queue


def test_call_that_cannot_finish_in_time_is_dropped():
    """
    Guards against late answers under load: the queue started calls without checking
    their remaining time. Calls that could not finish before their deadline occupied
    slots, and the calls behind them became late too.
    """
    queue = busy_queue(run_s=1.0)
    late, fine = QueuedCall(0, 2.0, 1), QueuedCall(0, 9.0, 2)
    assert queue.offer(0.0, late)
    assert queue.offer(0.0, fine)
    queue.finished(1.5, 1.5)
    assert queue.dropped(1.5) == [late]
    assert queue.dropped(1.5) == []
    assert queue.next_call(1.5) == fine


def test_late_call_is_dropped_behind_a_higher_priority():
    """
    Guards against refusals long after the deadline: the queue checked only the call at
    its head, and a call of low priority stays behind more urgent ones.
    """
    queue = busy_queue()
    urgent, late = QueuedCall(0, 9.0, 1), QueuedCall(5, 2.0, 2)
    assert queue.offer(0.0, urgent)
    assert queue.offer(0.0, late)
    assert queue.dropped(1.9) == [late]


def test_next_drop_time_is_that_of_the_earliest_deadline():
    """
    Guards against a call that waits behind hanging calls until its deadline: nothing
    checked the queue earlier, and no time was left to run the call elsewhere.
    """
    queue = busy_queue(run_s=1.0)
    first, later = QueuedCall(5, 4.0, 1), QueuedCall(0, 9.0, 2)
    assert queue.next_drop_at() is None
    assert queue.offer(0.0, later)
    assert queue.offer(0.0, first)
    at = queue.next_drop_at()
    assert 2.9 < at < 3.1
    assert queue.dropped(at - 0.1) == []
    assert queue.dropped(at) == [first]
    assert 7.9 < queue.next_drop_at() < 8.1
    queue.withdraw(later)
    assert queue.next_drop_at() is None


def test_a_call_without_time_left_is_not_queued():
    """
    Guards against a late refusal: a retry arrived with 0.1 s left for a call that runs
    for 1 s. If the sidecar queues it, the entry has to wait for a refusal that the
    sidecar could give immediately.
    """
    assert not busy_queue(run_s=1.0).offer(0.0, QueuedCall(0, 0.1, 1))


def test_full_queue_evicts_a_call_of_lower_priority():
    """
    Guards against urgent calls that are refused while batch work fills the queue: a
    full queue refused every new call.
    """
    queue = busy_queue(capacity=2)
    batch_calls = [QueuedCall(5, 60.0, 1), QueuedCall(5, 50.0, 2)]
    assert all(queue.offer(0.0, call) for call in batch_calls)
    assert not queue.offer(0.0, QueuedCall(5, 40.0, 3))
    urgent = QueuedCall(0, 9.0, 4)
    assert queue.offer(0.0, urgent)
    assert queue.dropped(0.0) == [batch_calls[0]]
    queue.finished(0.5, 0.5)
    assert queue.next_call(0.5) == urgent


def test_concurrency_limit_follows_failures():
    """
    Guards against a constant limit: an engine out of memory failed each full batch and
    immediately got the next. Failures of one batch reduce the limit only once, and
    calls that succeed raise it again.
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


def test_aborted_call_does_not_change_the_run_time():
    """
    Guards against counting cancelled calls as finished: their short run times made the
    endpoint look fast, and calls that could not finish in time stayed in the queue.
    """
    queue = busy_queue(run_s=1.0)
    queue.aborted()
    assert queue.service_s == 1.0
    assert queue.running == 0
