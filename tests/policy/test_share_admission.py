"""Fair shares as admission for engines and for stages uses them."""

from random import Random

import pytest

from amaranthtally.policy import (
    PieceStage,
    PieceWork,
    Planner,
    RefusalReason,
    Refuse,
    RequestOutcome,
    RunPieces,
)
from bench.load_fleet import report
from tests.policy.pieces import (
    CATALOGUE,
    CLUJ,
    POOLS,
    completed,
    endpoint,
)
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    sends,
    settings,
)

STEP_S = 0.02
WORK = PieceWork((PieceStage("catalogue", (), 8e3),), (4,), "key")
URGENT, PATIENT = 0, 300


class StageDriver(PlannerDriver):
    """Computes pieces at one endpoint, and answers every request at once."""

    def __init__(self, **options):
        listed = endpoints("engine") | {
            "catalogue": endpoint("catalogue", data_centre=CLUJ)
        }
        built = Planner(settings(listed, pools=POOLS, **options), Random(1))
        super().__init__(built, one_stage())
        self.running = []
        self.admitted = {}
        self.refusals = []

    def send(self, now, account, priority=PATIENT):
        actions = self.arrive(now, account, piece_work=WORK, priority=priority)
        refused = [a for a in actions if isinstance(a, Refuse)]
        self.refusals += [(account, refusal) for refusal in refused]
        if not refused:
            self.admitted[account] = self.admitted.get(account, 0) + 1
        self.start(now, actions)

    def step(self, now):
        due = [call for end, call in self.running if end <= now]
        self.running = [item for item in self.running if item[0] > now]
        for call in due:
            ended = self.planner.pieces.call_ended(now, call.call, completed(call))
            self.start(now, self.apply(ended))
        self.start(now, self.tick(now))
        for send in list(self.live.values()):
            self.start(now, self.reply(now, send))

    def start(self, now, actions):
        for call in actions:
            if isinstance(call, RunPieces):
                end = now + CATALOGUE.call_time_s(len(call.pieces))
                self.running.append((end, call))

    def run(self, seconds, every, start=0.0):
        """Let accounts send every so many steps; returns the time after."""
        for step in range(round(seconds / STEP_S)):
            now = start + step * STEP_S
            self.step(now)
            for account, (steps, priority) in every.items():
                if step % steps == 0:
                    self.send(now, account, priority)
        return start + seconds


def test_a_flood_of_urgent_requests_leaves_stage_time_to_others():
    """Guards against pools where whoever asks most, or most urgently, gets all."""
    driver = StageDriver(fair_shares=True)
    every = {"flood": (2, URGENT), "quiet": (50, PATIENT)}
    now = driver.run(10.0, every)
    driver.admitted.clear()
    driver.refusals.clear()
    driver.run(10.0, every, now)
    assert driver.admitted["quiet"] >= 8
    refused = [refusal for account, refusal in driver.refusals if account == "flood"]
    assert len(refused) > 200
    assert {r.outcome for r in refused} == {RequestOutcome.NOT_RUN}
    assert RefusalReason.ACCOUNT_LIMIT in {r.reason for r in refused}
    assert len({round(r.retry_after_s, 3) for r in refused}) > len(refused) / 2


def test_a_flooded_pool_stays_busy():
    """Guards against shares that leave endpoints idle while requests are refused."""
    admitted = {}
    for is_on in (False, True):
        driver = StageDriver(fair_shares=is_on)
        every = {"flood": (2, PATIENT), "other": (10, PATIENT)}
        driver.run(20.0, every)
        admitted[is_on] = sum(driver.admitted.values())
    assert admitted[True] >= 0.9 * admitted[False], admitted


@pytest.mark.parametrize("is_on", [False, True])
def test_requests_are_treated_differently_only_with_the_setting(is_on):
    """Guards against an effect on deployments where nothing calls for the shares."""
    outcomes = []
    for options in ({}, {"fair_shares": is_on}):
        driver = StageDriver(**options)
        driver.run(6.0, {"flood": (2, URGENT), "quiet": (50, PATIENT)})
        outcomes.append((driver.admitted, driver.refusals))
    assert (outcomes[0] == outcomes[1]) is not is_on


@pytest.mark.parametrize("is_on", [False, True])
def test_reports_of_speed_do_not_turn_shares_on(is_on):
    """Guards against shares at some entries only, by what their endpoints report."""
    listed = endpoints("engine", 1)
    planner = Planner(settings(listed, fair_shares=is_on), Random(1))
    for name in listed:
        planner.load_report(0.1, name, report(slowness=2.0))
    planner.tick(0.2)
    assert planner.load_view.active_pools == {"engine"}
    assert planner.shares.is_used is is_on


def test_a_flood_at_engines_is_refused_within_its_share():
    """Guards against engine time that a flood takes from accounts with few requests."""
    driver = PlannerDriver(
        Planner(settings(endpoints("engine", 1), fair_shares=True), Random(1)),
        one_stage(),
    )
    now = driver.train(run_s=0.1)
    refused, offered = {"flood": 0, "quiet": 0}, {"flood": 0, "quiet": 0}
    for step in range(2000):
        now += 0.01
        for send in list(driver.live.values())[:4] if step % 10 == 0 else ():
            driver.reply(now, send, run_s=0.1)
        driver.tick(now)
        for account, every in (("flood", 1), ("quiet", 20)):
            if step % every == 0:
                is_refused = not sends(driver.arrive(now, account))
                offered[account] += step > 500
                refused[account] += is_refused and step > 500
    assert refused["flood"] > offered["flood"] / 2
    assert refused["quiet"] <= offered["quiet"] * 0.02
