"""What logs and metrics say of engines that were chosen by a shared view."""

from collections import Counter as Tally
from typing import NamedTuple

from aioprometheus import Counter, Gauge

from amaranthtally.policy import Send

__all__ = ["EngineChoiceMetrics", "prediction_fields"]

HOLDER, DRAWN = "holder", "drawn"


class _ChoiceLabels(NamedTuple):
    pool: str
    level: str
    engine: str


def prediction_fields(send: Send) -> dict[str, str | int | float | bool]:
    """Return the fields of a log line on an attempt; none without a shared view."""
    prediction = send.prediction
    fields: dict[str, str | int | float | bool] = {}
    if send.stalled:
        fields["stalled"] = True
    if prediction is not None:
        rank = prediction.holder_rank
        fields |= {
            "predicted_ms": round(prediction.first_event_s * 1000),
            "predicted_gap_ms": round(prediction.event_gap_s * 1000),
            "predicted_late": round(prediction.late_streams, 2),
            "holder_rank": rank if rank >= 0 else "",
            "level": prediction.level,
            "view_weight": round(prediction.weight, 2),
            "tokens_per_ms": round(prediction.tokens_per_s / 1000, 1),
        }
    return fields


class EngineChoiceMetrics:
    """Counts choices by a shared view, and hedges of stalled attempts, by pool."""

    def __init__(self) -> None:
        self._choice_tally: Tally[_ChoiceLabels] = Tally()
        self._stall_tally: Tally[str] = Tally()
        self._choices = Counter(
            "amaranthtally_engine_choices_total",
            "Prompts sent by a shared view, by pool, level and kind of engine.",
        )
        self._stalls = Counter(
            "amaranthtally_stalled_attempts_total",
            "First attempts that had stalled and were hedged, by pool.",
        )
        self._speeds = Gauge(
            "amaranthtally_prompt_tokens_per_ms",
            "Learned speed at which the engines of a pool process prompts.",
        )

    def attempt_sent(self, pool: str, send: Send) -> None:
        """Count an attempt, if a shared view had a part in it."""
        if send.stalled:
            self._stall_tally[pool] += 1
        prediction = send.prediction
        if prediction is not None:
            engine = HOLDER if prediction.holder_rank >= 0 else DRAWN
            self._choice_tally[_ChoiceLabels(pool, prediction.level, engine)] += 1
            self._speeds.set({"pool": pool}, prediction.tokens_per_s / 1000)

    def refresh(self) -> None:
        """Set the collectors to the tallies."""
        for choice, count in self._choice_tally.items():
            self._choices.set(choice._asdict(), count)
        for pool, count in self._stall_tally.items():
            self._stalls.set({"pool": pool}, count)
