"""What a shared view tells of an engine, and what is predicted of an attempt there."""

from typing import NamedTuple, Protocol

__all__ = ["EngineFigures", "EnginePrediction", "EngineView"]


class EngineFigures(Protocol):
    """What other entries have at an engine, and how slow its host is."""

    @property
    def calls(self) -> float:
        """Calls of other entries in flight."""

    @property
    def prefill_tokens(self) -> float:
        """Prompt tokens of other entries that have yet to be processed."""

    @property
    def slowness(self) -> float:
        """Times now by usual times; 1 if unknown."""

    @property
    def weight(self) -> float:
        """How far calls and tokens may be relied on now, from 0 to 1."""


class EngineView(Protocol):
    """A view of endpoints that entries share."""

    def is_active(self, pool: str) -> bool:
        """Whether it covers the endpoints of a pool."""

    def find(self, now: float, endpoint: str) -> EngineFigures | None:
        """Return what it tells of an endpoint, ``None`` if nothing."""


class EnginePrediction(NamedTuple):
    """
    What was predicted of a prompt at the engine that was chosen; times in seconds.

    ``event_gap_s`` is the longest gap between events of the streams there while the
    prompt is processed. ``late_streams`` is the expected number of streams that become
    late, the new one included. ``own_work`` counts the tokens of this entry's prompts
    that are processed before the first event, each times the slowness of the engine. It
    is 0 if most of them are of earlier prompts, of which an unknown part has been
    processed by now. ``others_work`` counts those of other entries by the view.
    ``fixed_s`` is the part of ``first_event_s`` that does not depend on tokens.
    ``tokens_per_s`` is the learned prompt speed of the pool.
    ``holder_rank`` is the engine's rank for the prefix, -1 if it was drawn. ``level``
    says how far it is.
    """

    first_event_s: float
    event_gap_s: float
    late_streams: float
    own_work: float
    others_work: float
    fixed_s: float
    weight: float
    tokens_per_s: float
    holder_rank: int
    level: str
