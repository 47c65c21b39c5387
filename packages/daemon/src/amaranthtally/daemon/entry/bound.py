"""A request whose effects are bound to incarnations of sidecars."""

from dataclasses import dataclass, field
from hashlib import sha256

import msgspec

from amaranthtally.policy import Pipeline, Stage
from amaranthtally.policy.at_most_once import Binding
from amaranthtally.wire import AtMostOnceTerms

__all__ = ["BoundRequest", "effect_stages", "fingerprint_of", "stage_label"]


@dataclass(slots=True)
class BoundRequest:
    """The key of a request, its bindings by stage label, and their permits."""

    key: str
    fingerprint: str
    bindings: dict[str, Binding]
    permits: dict[str, int] = field(default_factory=dict)

    def binding(self, index: int, stage: Stage) -> Binding:
        """Return where alone a stage may run."""
        return self.bindings[stage_label(index, stage)]

    def endpoints(self, pipeline: Pipeline) -> dict[int, str]:
        """Return, by stage, the endpoint that alone may run it."""
        return {
            index: self.binding(index, stage).endpoint
            for index, stage in enumerate(pipeline.stages)
            if not stage.repeatable
        }

    def call_key(self, binding: Binding) -> str:
        """Return the name of a stage's effect."""
        return f"{self.key}#{binding.stage}"

    def terms(self, binding: Binding, expires_s: float = 0.0) -> AtMostOnceTerms:
        """Return the terms under which a stage may start, by the bound clock."""
        return AtMostOnceTerms(
            incarnation=binding.incarnation,
            issued_s=binding.issued_s,
            permit=self.permits.get(binding.stage, 0),
            fingerprint=self.fingerprint,
            expires_s=expires_s,
        )


def stage_label(index: int, stage: Stage) -> str:
    """Return the name of a stage within its pipeline; a stage may come twice."""
    return f"{index}.{stage.name}"


def effect_stages(pipeline: Pipeline) -> dict[str, Stage]:
    """Return, by label, the stages that may not be repeated."""
    return {
        stage_label(index, stage): stage
        for index, stage in enumerate(pipeline.stages)
        if not stage.repeatable
    }


def fingerprint_of(body: bytes) -> str:
    """Return a digest of a JSON value, whatever its spacing and order of keys."""
    value = msgspec.json.decode(body)
    return sha256(msgspec.json.encode(value, order="sorted")).hexdigest()
