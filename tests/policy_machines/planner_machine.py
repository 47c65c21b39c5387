"""Random events for a planner: arrivals, replies, failures, drains, settings."""

from dataclasses import replace
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from amaranthtally.policy import (
    AccountLimits,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    Endpoint,
    LoadReport,
    Pipeline,
    Planner,
    PolicySettings,
    Stage,
)
from tests.policy_machines.oracle import Oracle

ACCOUNTS = ("large", "small")
REGIONS = ("here", "there")
ENDPOINTS = {
    f"{pool}-{i}": Endpoint(
        f"{pool}-{i}", pool, f"host-{pool}-{i}", REGIONS[i % 2], REGIONS[i % 2], ""
    )
    for pool in ("encoder", "engine", "orders")
    for i in range(3)
}
ENCODE = Stage("encode", "encoder")
GENERATE = Stage("generate", "engine", streams=True)
ORDER = Stage("order", "orders", repeatable=False)
PIPELINES = (
    Pipeline("assess", (ENCODE, GENERATE), 4.0),
    Pipeline("order", (ENCODE, ORDER), 4.0),
    Pipeline("order-then-tell", (ORDER, GENERATE), 4.0, 0.2),
)
START = PolicySettings(
    1, "here", "here", ENDPOINTS, {name: AccountLimits() for name in ACCOUNTS}
)
LONGEST_DEADLINE_S = 4.0

seconds = st.integers(0, 3000).map(lambda ms: ms / 1000)
indexes = st.integers(0, 2**16)
names = st.sampled_from(sorted(ENDPOINTS))


class PlannerMachine(RuleBasedStateMachine):
    """Feeds events to a planner, and has the oracle check its actions."""

    start = START

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.oracle = Oracle(self.start)
        self.planner = Planner(self.start, Random(1))
        self.incarnations = dict.fromkeys(ENDPOINTS, 1)
        self.serial = 0

    # Callers

    @rule(
        pipeline=st.sampled_from(PIPELINES),
        account=st.sampled_from(ACCOUNTS),
        deadline_s=st.sampled_from((0.01, 0.5, LONGEST_DEADLINE_S)),
        count=st.sampled_from((1, 1, 3, 20)),
    )
    def requests_arrive(self, pipeline, account, deadline_s, count):
        for _ in range(count):
            self.serial += 1
            arrival = Arrival(
                f"r{self.serial}",
                account,
                pipeline,
                self.now + deadline_s,
                prefix=(self.serial % 3, 7),
            )
            self.oracle.add_request(arrival)
            self.oracle.check_actions(self.planner.request_arrived(self.now, arrival))

    @precondition(lambda self: self.oracle.live)
    @rule(index=indexes)
    def caller_disconnects(self, index):
        request_id = choose(list(self.oracle.live), index)
        self.oracle.check_actions(
            self.planner.caller_disconnected(self.now, request_id)
        )
        tracked = self.oracle.live.pop(request_id)
        assert not tracked.attempts, (
            "attempts are cancelled when the caller disconnects"
        )
        self.oracle.ended.add(request_id)

    # Endpoints

    @precondition(lambda self: self.oracle.attempts())
    @rule(index=indexes)
    def attempt_starts(self, index):
        choose(self.oracle.attempts(), index).started = True

    @precondition(lambda self: self.oracle.attempts())
    @rule(index=indexes, run_s=seconds)
    def attempt_finishes(self, index, run_s):
        self.end(
            index, AttemptResult(AttemptOutcome.FINISHED, run_s=run_s, output_bytes=100)
        )

    @precondition(lambda self: self.oracle.attempts())
    @rule(index=indexes, count=st.sampled_from((1, 10)))
    def attempts_finish(self, index, count):
        for _ in range(count):
            if self.oracle.attempts():
                self.end(index, AttemptResult(AttemptOutcome.FINISHED, run_s=0.05))

    @precondition(lambda self: self.oracle.attempts())
    @rule(
        index=indexes,
        count=st.sampled_from((1, 5, 60)),
        result=st.sampled_from(
            (
                AttemptResult(AttemptOutcome.FAILED),
                AttemptResult(AttemptOutcome.FAILED, permanent=True),
                AttemptResult(AttemptOutcome.LOST),
                AttemptResult(AttemptOutcome.UNKNOWN),
                AttemptResult(AttemptOutcome.NOT_RUN),
                AttemptResult(AttemptOutcome.NOT_RUN, retry_after_s=0.5),
                AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True),
            )
        ),
    )
    def attempts_fail(self, index, count, result):
        for _ in range(count):
            if self.oracle.attempts():
                self.end(index, result)

    @precondition(lambda self: self.oracle.cancelled)
    @rule(index=indexes)
    def cancelled_attempt_replies_late(self, index):
        sent = choose(self.oracle.cancelled, index)
        late = AttemptResult(AttemptOutcome.FINISHED, run_s=0.1)
        assert self.planner.reply(self.now, sent.attempt, late) == []

    @precondition(lambda self: self.oracle.attempts())
    @rule(index=indexes, chunks=st.integers(1, 9))
    def stream_progresses(self, index, chunks):
        sent = choose(self.oracle.attempts(), index)
        sent.started = True
        self.oracle.check_actions(self.planner.progress(self.now, sent.attempt, chunks))

    @rule(name=names, busy=st.integers(0, 20), service_s=seconds, leaving=st.booleans())
    def load_is_reported(self, name, busy, service_s, leaving):
        leaving = leaving and busy % 4 == 0
        report = LoadReport(
            incarnation=self.incarnations[name],
            running=min(4, busy),
            queued=max(0, busy - 4),
            limit=4,
            service_s=service_s,
            backlog_s=service_s * max(0, busy - 4) / 4,
            leaving=leaving,
        )
        if leaving and name in self.oracle.settings.endpoints:
            self.oracle.leaving.add(name)
        self.oracle.check_actions(self.planner.load_report(self.now, name, report))

    @rule(name=names)
    def endpoint_leaves(self, name):
        if name in self.oracle.settings.endpoints:
            self.oracle.leaving.add(name)
        self.oracle.check_actions(self.planner.endpoint_leaving(self.now, name))

    @rule(name=names)
    def endpoint_returns(self, name):
        self.oracle.leaving.discard(name)
        self.oracle.check_actions(self.planner.endpoint_restored(self.now, name))

    @rule(name=names, serial=st.integers(1, 5), blocks=st.sets(st.integers(0, 8)))
    def cache_changes(self, name, serial, blocks):
        event = CacheEvent(serial, tuple(blocks), (serial,))
        self.oracle.check_actions(self.planner.cache_event(self.now, name, event))

    # Settings and time

    @rule(
        removed=st.sets(names, max_size=4),
        budget=st.sampled_from((0.0, 0.1, 0.5)),
        rate=st.sampled_from((0.0, 2.0)),
    )
    def settings_change(self, removed, budget, rate):
        settings = replace(
            START,
            revision=self.oracle.settings.revision + 1,
            endpoints={n: e for n, e in ENDPOINTS.items() if n not in removed},
            accounts={name: AccountLimits(rate=rate) for name in ACCOUNTS},
            retry_budget=budget,
            hedge_budget=budget,
        )
        self.oracle.settings = settings
        self.oracle.leaving -= removed
        self.oracle.check_actions(self.planner.settings_changed(self.now, settings))

    @rule(passed_s=st.sampled_from((0.01, 0.1, 0.5, 2.0, 10.0)))
    def time_passes(self, passed_s):
        self.now += passed_s
        self.tick()

    @invariant()
    def settled_state_is_valid(self):
        self.oracle.check_settled(self.now, self.planner.in_flight)

    def teardown(self):
        if self.oracle.failed:
            return
        self.now += LONGEST_DEADLINE_S
        self.tick()
        assert not self.oracle.live, "every admitted request ends"

    def tick(self) -> None:
        self.oracle.check_actions(self.planner.tick(self.now))
        self.oracle.check_deadlines(self.now)

    def end(self, index: int, result: AttemptResult) -> None:
        sent = choose(self.oracle.attempts(), index)
        if result.outcome is AttemptOutcome.NOT_RUN and sent.started:
            return
        self.oracle.record_end(sent, result.outcome)
        self.oracle.check_actions(self.planner.reply(self.now, sent.attempt, result))


class SmallReservesMachine(PlannerMachine):
    """The same with small reserves, so that budgets are exhausted within a run."""

    start = replace(START, retry_reserve=4.0, hedge_reserve=2.0)


def choose(items: list, index: int):
    return items[index % len(items)]
