"""Which calls a sidecar takes, by the model that its engine has loaded."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from amaranthtally.policy import DesiredModels, EngineModels, ModelPlan, ModelUsage
from amaranthtally.wire import ModelState, StageCall

__all__ = ["ServedModels"]


class ServedModels:
    """
    Refuses calls that the engine could not answer, and counts those it takes.

    Every call is taken where no models are registered and the engine names none.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._wanted = DesiredModels()
        self._held: EngineModels | None = None
        self._retired: frozenset[str] = frozenset()
        self._paused = False
        self._running: Counter[str] = Counter()
        # When a model was last wanted or called.
        self._busy_at: dict[str, float] = {}
        self.last_order = ""
        self.news = asyncio.Event()

    @property
    def answered(self) -> frozenset[str] | None:
        """The models that are answered now; ``None`` stands for any."""
        held = self._held.models if self._held is not None else frozenset()
        if not held and not self._wanted.models:
            return None
        return frozenset() if self._paused else held - self._retired

    @property
    def state(self) -> ModelState | None:
        """What entries are told; ``None`` where any model is answered."""
        answered = self.answered
        if answered is None:
            return None
        role = self._held.role if self._held is not None else ""
        return ModelState(answered, role, self.last_order)

    # Calls

    def named(self, call: StageCall) -> StageCall:
        """Return the call with a model: the most wanted one where it names none."""
        answered = self.answered
        if call.model or answered is None:
            return call
        first = next((m for m in self._wanted.models if m in answered), "")
        return replace(call, model=first)

    def refusal(self, model: str) -> str:
        """Return why a call of a model is not taken now; empty where it is."""
        answered = self.answered
        if answered is None or model in answered:
            return ""
        if self._paused:
            return "the engine takes no calls in its role, or changes it"
        if not model:
            return "" if not self._wanted.models else "no model is loaded here"
        return f"model {model} is not loaded here"

    @contextmanager
    def use(self, model: str) -> Iterator[None]:
        """Count a call from when it is taken to its end."""
        self._running[model] += 1
        try:
            yield
        finally:
            self._running[model] -= 1
            self._busy_at[model] = self._clock()
            if model in self._retired or self._paused:
                self.news.set()

    def missed(self, model: str) -> None:
        """Note that the engine does not have a model that it was said to have."""
        if self._held is not None:
            rest = self._held.models - {model}
            self._held = EngineModels(rest, self._held.role)
        self.news.set()

    # Orders

    def want(self, wanted: DesiredModels) -> None:
        """Take what the operators want."""
        if wanted == self._wanted:
            return
        now = self._clock()
        for model in self._wanted.models:
            self._busy_at[model] = now
        self._wanted = wanted
        self.news.set()

    def heard(self, held: EngineModels) -> None:
        """Take the engine's own word of what it holds."""
        now = self._clock()
        for model in held.models:
            self._busy_at.setdefault(model, now)
        self._held = held

    def use_of_models(self, needed: frozenset[str]) -> ModelUsage:
        """Return what the plan of orders has to know of the calls."""
        now = self._clock()
        idle_s = {
            model: 0.0 if self._running[model] else now - at
            for model, at in self._busy_at.items()
        }
        return ModelUsage(
            dict(self._running), idle_s, needed, self._retired, self._paused
        )

    def follow(self, plan: ModelPlan) -> None:
        """Refuse what a plan wants refused from now on."""
        self._retired = plan.retired
        self._paused = plan.paused
