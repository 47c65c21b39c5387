"""A planner with a few endpoints, and a driver that feeds it events."""

from random import Random

from amaranthtally.policy import (
    Answer,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    Endpoint,
    LoadReport,
    Pipeline,
    Planner,
    PolicySettings,
    Refuse,
    Send,
    Stage,
)

LOCAL_REGION, REMOTE_REGION = "cluj", "iasi"


def endpoints(pool, local=3, remote=0):
    """Return endpoints of a pool by id, the local ones first."""
    regions = [LOCAL_REGION] * local + [REMOTE_REGION] * remote
    names = [f"{pool}-{n}" for n in range(len(regions))]
    return {
        name: Endpoint(name, pool, name, region, region, "127.0.0.1:1")
        for name, region in zip(names, regions, strict=True)
    }


def settings(listed, **options):
    """Return settings with the given endpoints."""
    return PolicySettings(1, LOCAL_REGION, LOCAL_REGION, listed, **options)


def planner(listed, seed=1, **options):
    """Return a planner with the given endpoints."""
    return Planner(settings(listed, **options), Random(seed))


def one_stage(pool="engine", weight=0.7, **options):
    """Return a pipeline of one stage."""
    return Pipeline("one", (Stage(pool, pool, **options),), 4.0, weight)


class PlannerDriver:
    """Feeds events to one planner, and tracks the live attempts."""

    def __init__(self, driven, pipeline):
        self.planner = driven
        self.pipeline = pipeline
        self.serial = 0
        self.live = {}

    def arrive(self, now, account="a", deadline_s=4.0, **options):
        """Let a request arrive and return the actions."""
        self.serial += 1
        arrival = Arrival(
            f"r{self.serial}", account, self.pipeline, now + deadline_s, **options
        )
        return self.apply(self.planner.request_arrived(now, arrival))

    def reply(self, now, send, outcome=AttemptOutcome.FINISHED, run_s=0.1, **options):
        """End an attempt and return the actions."""
        result = AttemptResult(outcome, run_s=run_s, **options)
        self.live.pop(send.attempt, None)
        return self.apply(self.planner.reply(now, send.attempt, result))

    def tick(self, now):
        """Let the planner do what is due by time, and return the actions."""
        return self.apply(self.planner.tick(now))

    def train(self, run_s=0.1, count=40, start=0.0):
        """Run requests one after another, to be measured; returns the time after."""
        now = start
        for _ in range(count):
            (send,) = sends(self.arrive(now))
            now += run_s
            self.reply(now, send, run_s=run_s)
        return now

    def apply(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self.live[action.attempt] = action
            elif isinstance(action, Cancel):
                self.live.pop(action.attempt, None)
        return actions


def sends(actions):
    """Return the sends among actions."""
    return [action for action in actions if isinstance(action, Send)]


def refusal(actions):
    """Return the one refusal among actions."""
    (refuse,) = [action for action in actions if isinstance(action, Refuse)]
    return refuse


def answered(actions):
    """Whether a request was answered."""
    return any(isinstance(action, Answer) for action in actions)


def report(running=0, queued=0, limit=4, leaving=False, incarnation=1):
    """Return a load report."""
    return LoadReport(incarnation, running, queued, limit, 0.1, 0.0, leaving)
