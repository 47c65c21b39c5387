"""Decides which calls an engine can serve, by the models that it has loaded."""

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
    Rejects calls whose model the engine does not serve, and counts the accepted ones.

    If the settings register no models and the engine reports none, all calls are
    accepted.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._desired = DesiredModels()
        self._loaded: EngineModels | None = None
        self._retired: frozenset[str] = frozenset()
        self._paused = False
        self._running: Counter[str] = Counter()
        # The loop time at which each model was last desired or called.
        self._last_used_at: dict[str, float] = {}
        self.last_order = ""
        self.changed = asyncio.Event()

    @property
    def served(self) -> frozenset[str] | None:
        """The models that are currently served; ``None`` if any model is."""
        loaded = self._loaded.models if self._loaded is not None else frozenset()
        if not loaded and not self._desired.models:
            return None
        return frozenset() if self._paused else loaded - self._retired

    @property
    def state(self) -> ModelState | None:
        """The state that is sent to entries; ``None`` if any model is served."""
        served = self.served
        if served is None:
            return None
        role = self._loaded.role if self._loaded is not None else ""
        return ModelState(served, role, self.last_order)

    # Calls

    def with_default_model(self, call: StageCall) -> StageCall:
        """Set the model of a call without one to the first desired model served."""
        served = self.served
        if call.model or served is None:
            return call
        first = next((m for m in self._desired.models if m in served), "")
        return replace(call, model=first)

    def refusal(self, model: str) -> str:
        """Return why a call for a model is rejected, or an empty string if accepted."""
        served = self.served
        if served is None or model in served:
            return ""
        if self._paused:
            return "the engine takes no calls in its role, or changes it"
        if not model:
            return "" if not self._desired.models else "no model is loaded here"
        return f"model {model} is not loaded here"

    @contextmanager
    def use(self, model: str) -> Iterator[None]:
        """Count a call as running until the context exits."""
        self._running[model] += 1
        try:
            yield
        finally:
            self._running[model] -= 1
            self._last_used_at[model] = self._clock()
            if model in self._retired or self._paused:
                self.changed.set()

    def note_missing(self, model: str) -> None:
        """Record that a model is not loaded although the engine reported it."""
        if self._loaded is not None:
            remaining = self._loaded.models - {model}
            self._loaded = EngineModels(remaining, self._loaded.role)
        self.changed.set()

    # Model plan

    def set_desired(self, desired: DesiredModels) -> None:
        """Set the models and the role that the settings call for."""
        if desired == self._desired:
            return
        now = self._clock()
        for model in self._desired.models:
            self._last_used_at[model] = now
        self._desired = desired
        self.changed.set()

    def set_loaded(self, loaded: EngineModels) -> None:
        """Set the loaded models and the role that the engine reports."""
        now = self._clock()
        for model in loaded.models:
            self._last_used_at.setdefault(model, now)
        self._loaded = loaded

    def usage(self, required: frozenset[str]) -> ModelUsage:
        """Return the use of the models, as an input of the model plan."""
        now = self._clock()
        idle_s = {
            model: 0.0 if self._running[model] else now - last_used_at
            for model, last_used_at in self._last_used_at.items()
        }
        return ModelUsage(
            dict(self._running), idle_s, required, self._retired, self._paused
        )

    def apply(self, plan: ModelPlan) -> None:
        """Reject calls from now on as the plan demands."""
        self._retired = plan.retired
        self._paused = plan.paused
