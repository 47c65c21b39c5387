"""Draws the work of each stage of each request from the trace's seed."""

import random
from dataclasses import dataclass
from math import exp

from amaranthtally.operator.replay.trace import PoolPlan
from amaranthtally.policy import AttemptId

__all__ = ["StageWork", "WorkModel"]


@dataclass(frozen=True, slots=True)
class StageWork:
    """One stage's work: run time alone in seconds; ``tokens`` is 0 if it has none."""

    seconds: float
    tokens: int


class WorkModel:
    """
    Draws work so that all planners get the same work on the same trace.

    Work depends on the seed, the request and the stage. Whether a call is a straggler
    depends on the attempt as well.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._work_by_stage: dict[tuple[str, int], StageWork] = {}

    def stage_work(self, request_id: str, stage: int, pool: PoolPlan) -> StageWork:
        """Return the work of a stage; a straggler's factor is not included."""
        key = (request_id, stage)
        work = self._work_by_stage.get(key)
        if work is None:
            work = self._draw(request_id, stage, pool)
            self._work_by_stage[key] = work
        return work

    def is_straggler(self, attempt: AttemptId, pool: PoolPlan) -> bool:
        """Whether this attempt is one of the pool's rare slow calls."""
        if not pool.straggle_rate:
            return False
        name = f"{self._seed}/straggle/{'/'.join(map(str, attempt))}"
        return random.Random(name).random() < pool.straggle_rate

    def _draw(self, request_id: str, stage: int, pool: PoolPlan) -> StageWork:
        seed_parts = (self._seed, "work", request_id, stage)
        generator = random.Random("/".join(map(str, seed_parts)))
        spread = exp(pool.sigma * generator.gauss(0.0, 1.0))
        tokens = max(1, round(pool.tokens * spread)) if pool.tokens else 0
        if tokens:
            return StageWork(tokens * pool.token_s, tokens)
        return StageWork(pool.service_s * spread, 0)
