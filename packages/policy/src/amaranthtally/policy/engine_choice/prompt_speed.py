"""Learns how fast the engines of a pool process prompts."""

from amaranthtally.policy.affinity import PREFILL_S_PER_TOKEN

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


class PromptSpeed:
    """
    The time per prompt token and the fixed time to a first event, in seconds.

    Both follow the median of observed times. A sample changes each by its part in the
    predicted time: long prompts tell the time per token, short ones the fixed time.
    """

    __slots__ = ("fixed_s", "s_per_token")

    def __init__(self) -> None:
        self.s_per_token = PREFILL_S_PER_TOKEN
        self.fixed_s = DEFAULT_FIXED_S

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine of usual speed processes in a second."""
        return 1.0 / self.s_per_token

    def add(self, work: float, took_s: float) -> None:
        """
        Add the time to a first event, without network and queue.

        ``work`` is the number of tokens processed meanwhile, each times the slowness of
        the engine.
        """
        if work <= 0:
            return
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
