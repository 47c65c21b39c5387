"""Requests to endpoints that name a rate limit, as one entry decides on them."""

from collections import Counter

from amaranthtally.policy import AttemptOutcome, RefusalReason, Refuse
from amaranthtally.policy.batcher import Batcher
from tests.policy.pieces import (
    CLUJ,
    POOLS,
    calls_in,
    completed,
    endpoints as piece_endpoints,
    job,
)
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    sends,
)

TICK_S = 0.01
# Longest time that a request waits for a permit, in seconds.
MAX_WAIT_S = 0.5
SETTLED_S = 5.0


class LimitedDriver(PlannerDriver):
    """Runs requests at endpoints of which some name a limit in each response."""

    def __init__(self, rates, seed=1, **stage):
        listed = endpoints("engine", len(rates))
        super().__init__(planner(listed, seed, entry="e1"), one_stage(**stage))
        self.rates = dict(zip(listed, rates, strict=True))
        self.sent = Counter()
        self.sent_at = {name: [] for name in listed}
        self.arrived_at = {}
        self.waits = []
        self.refused = []
        self.answered = 0
        self.open = []

    def run(self, start, end, per_s, outcome=AttemptOutcome.FINISHED):
        now, due = start, start
        while now < end:
            while due <= now:
                self.handle(now, self.arrive(now))
                self.arrived_at[f"r{self.serial}"] = now
                due += 1.0 / per_s
            for at, send in [o for o in self.open if o[0] <= now]:
                self.open.remove((at, send))
                rate = self.rates[send.endpoint]
                limits = self.planner.limits
                limits.response_received(now, send.endpoint, rate, at - 0.1)
                self.handle(now, self.reply(now, send, outcome))
            self.handle(now, self.tick(now))
            now += TICK_S

    def handle(self, now, actions):
        for send in sends(actions):
            self.sent[send.endpoint] += 1
            self.sent_at[send.endpoint].append(now)
            self.open.append((now + 0.1, send))
            arrived = self.arrived_at.get(send.attempt.request_id, now)
            self.waits.append(now - arrived)
        self.refused += [a for a in actions if isinstance(a, Refuse)]


def most_in_4_s(times, start):
    late = [at for at in times if at >= start]
    return max((sum(a <= t < a + 4.0 for t in late) for a in late), default=0)


def test_requests_go_to_the_others_while_an_endpoint_names_a_limit():
    """Guards against requests that lose anything by the need of one endpoint."""
    driver = LimitedDriver([1.0, None, None])
    driver.run(0.0, 20.0, per_s=30.0)
    assert not driver.refused
    assert max(driver.waits) <= 2 * TICK_S
    assert most_in_4_s(driver.sent_at["engine-0"], SETTLED_S) <= 6


def test_requests_wait_for_permits_where_all_endpoints_are_limited():
    """Guards against refusals although the endpoints take all that comes."""
    driver = LimitedDriver([6.0, 6.0, 6.0])
    driver.run(0.0, SETTLED_S, per_s=8.0)
    refused_before = len(driver.refused)
    driver.run(SETTLED_S, 20.0, per_s=8.0)
    assert len(driver.refused) - refused_before <= 0.05 * 8.0 * 15.0
    assert max(driver.waits) <= MAX_WAIT_S + 2 * TICK_S
    for times in driver.sent_at.values():
        assert most_in_4_s(times, SETTLED_S) <= 1.5 * 6.0 * 4.0 + 5


def test_requests_beyond_the_limits_of_all_endpoints_are_refused_at_once():
    """Guards against callers that wait to their deadline for what cannot be served."""
    driver = LimitedDriver([1.0, 1.0])
    driver.run(0.0, 20.0, per_s=20.0)
    assert driver.refused
    assert {r.reason for r in driver.refused} == {RefusalReason.RATE_LIMIT}
    assert all(r.retry_after_s > 0.0 for r in driver.refused)
    assert max(driver.waits) <= MAX_WAIT_S + 2 * TICK_S
    for times in driver.sent_at.values():
        assert most_in_4_s(times, SETTLED_S) <= 11


def test_retries_and_probes_keep_to_a_limit():
    """Guards against a limit that holds for first attempts only."""
    driver = LimitedDriver([1.0, 1.0, None])
    driver.run(0.0, 20.0, per_s=20.0, outcome=AttemptOutcome.FAILED)
    for name in ("engine-0", "engine-1"):
        assert most_in_4_s(driver.sent_at[name], SETTLED_S) <= 11


def test_calls_with_pieces_keep_to_the_limit_of_an_endpoint():
    """Guards against an endpoint of a stage that is called as before in its need."""
    batcher = Batcher()
    batcher.configure(piece_endpoints(CLUJ, pools=("catalogue",)), POOLS)
    (name,) = {e.id for e in piece_endpoints(CLUJ, pools=("catalogue",)).values()}
    batcher.servers.note_rate_limit(name, 1.0)
    sent_at, now = [], 0.0
    while now < 12.0:
        serial = len(sent_at), round(now * 100)
        actions = batcher.queue_jobs(now, [job(f"r{serial}", deadline=99.0)]).actions
        actions += batcher.tick(now).actions
        while calls := calls_in(actions):
            sent_at += [now for _ in calls]
            ended = [completed(call) for call in calls]
            actions = [
                action
                for call, end in zip(calls, ended, strict=True)
                for action in batcher.call_ended(now, call.call, end).actions
            ]
        now += 0.05
    assert 8 <= len(sent_at) <= 13
    assert most_in_4_s(sent_at, 0.0) <= 5
