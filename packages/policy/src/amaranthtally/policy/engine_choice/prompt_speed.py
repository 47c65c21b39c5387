"""Learns how fast the engines of a pool process prompts."""

from amaranthtally.policy.affinity import PREFILL_S_PER_TOKEN
from amaranthtally.policy.regression import DecayingRegression

__all__ = ["PromptSpeed", "PromptSpeeds"]

# The learned time per token stays within this factor of the constant: an engine that
# hangs, or one that sends an event before it has processed the prompt, says nothing.
MAX_FACTOR = 4.0
# Relative change of the time per token by one sample, and change of the time that does
# not depend on the prompt, in seconds. Each sample moves them by the same step,
# whatever its error, so that they follow the median: 35 samples halve the speed.
TOKEN_STEP = 0.02
FIXED_STEP_S = 0.0005
# Bounds of the time to the first event that does not depend on the prompt, in seconds:
# from a part of one engine step to the steps of a first event of a slow engine.
MIN_FIXED_S = 0.002
MAX_FIXED_S = 0.1
DEFAULT_FIXED_S = 0.01
MAX_POOLS = 1_024
# A time that differs by more from the predicted one counts as different by this much,
# in seconds: how long an engine hangs says nothing about the prompts before.
MAX_EXCESS_S = 0.5
# Prior for the share of others' tokens that still delay a prompt, its weight in seconds
# squared (that of prompts that differ by 50 ms), and samples before it is learned. A
# prompt of 0.2 s is counted in full until its first event: half of it is left on
# average, and an eighth of the whole if the view needs 0.1 s to tell of it.
REMAINING_PRIOR = 0.2
REMAINING_PRIOR_VARIANCE_S2 = 2.5e-3
MIN_REMAINING_SAMPLES = 50


class PromptSpeed:
    """
    The time per prompt token and the fixed time to a first event, in seconds.

    ``remaining_share`` is the share of other entries' prompt tokens, as shown by the
    view, by which a first event is delayed. An engine processes prompts in less time
    than some views need to tell of them: entries that relied on these would all choose
    the engine that had no prompts a while ago.

    Both times follow the median of observed times. A sample changes each by its part in
    the predicted time: long prompts tell the time per token, short ones the fixed time.
    """

    __slots__ = ("_remaining", "_samples", "fixed_s", "remaining_share", "s_per_token")

    def __init__(self) -> None:
        self._remaining = DecayingRegression(REMAINING_PRIOR_VARIANCE_S2)
        self._samples = 0
        self.remaining_share = REMAINING_PRIOR
        self.s_per_token = PREFILL_S_PER_TOKEN
        self.fixed_s = DEFAULT_FIXED_S

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine of usual speed processes in a second."""
        return 1.0 / self.s_per_token

    def add(self, own_work: float, others_work: float, took_s: float) -> None:
        """
        Add the time to a first event, without network and queue.

        The arguments are those of ``EnginePrediction``.
        """
        if own_work <= 0:
            return
        others_s = others_work * self.s_per_token
        excess_s = took_s - self.fixed_s - own_work * self.s_per_token
        self._remaining.add(others_s, min(MAX_EXCESS_S, max(-MAX_EXCESS_S, excess_s)))
        self._samples += 1
        if self._samples >= MIN_REMAINING_SAMPLES:
            slope = self._remaining.slope(REMAINING_PRIOR)
            self.remaining_share = min(1.0, slope)
        work = own_work + self.remaining_share * others_work
        predicted_s = self.fixed_s + work * self.s_per_token
        sign = 1.0 if took_s > predicted_s else -1.0
        token_share = work * self.s_per_token / predicted_s
        self.s_per_token = min(
            PREFILL_S_PER_TOKEN * MAX_FACTOR,
            max(
                PREFILL_S_PER_TOKEN / MAX_FACTOR,
                self.s_per_token * (1.0 + sign * TOKEN_STEP * token_share),
            ),
        )
        self.fixed_s = min(
            MAX_FIXED_S,
            max(MIN_FIXED_S, self.fixed_s + sign * FIXED_STEP_S * (1.0 - token_share)),
        )


class PromptSpeeds:
    """The prompt speeds of pools, created at first use."""

    def __init__(self) -> None:
        self._speeds: dict[str, PromptSpeed] = {}

    def of(self, pool: str) -> PromptSpeed:
        """Return the prompt speed of a pool."""
        speed = self._speeds.get(pool)
        if speed is None:
            if len(self._speeds) >= MAX_POOLS:
                del self._speeds[next(iter(self._speeds))]
            speed = self._speeds[pool] = PromptSpeed()
        return speed
