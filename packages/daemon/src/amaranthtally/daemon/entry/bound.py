"""Requests whose at-most-once stages are bound to sidecar incarnations."""

from dataclasses import dataclass, field
from hashlib import sha256

import msgspec
from result import Err

from amaranthtally.decoding import decode_json
from amaranthtally.policy import Pipeline, Stage
from amaranthtally.policy.at_most_once import Binding
from amaranthtally.wire import AtMostOnceTerms

__all__ = ["BoundRequest", "effect_stages", "fingerprint_of", "stage_label"]


@dataclass(slots=True)
class BoundRequest:
    """The key of a request, and its bindings and permits by stage label."""

    key: str
    fingerprint: str
    bindings: dict[str, Binding]
    permits: dict[str, int] = field(default_factory=dict)

    def binding(self, index: int, stage: Stage) -> Binding:
        """Return the binding of a stage: the one incarnation that may run it."""
        return self.bindings[stage_label(index, stage)]

    def endpoints(self, pipeline: Pipeline) -> dict[int, str]:
        """Return the bound endpoint of each at-most-once stage by its index."""
        return {
            index: self.binding(index, stage).endpoint
            for index, stage in enumerate(pipeline.stages)
            if not stage.repeatable
        }

    def call_key(self, binding: Binding) -> str:
        """Return the key under which a sidecar records the call of a stage."""
        return f"{self.key}#{binding.stage}"

    def terms(self, binding: Binding, expires_s: float = 0.0) -> AtMostOnceTerms:
        """Return the conditions for a call; times are on the bound sidecar's clock."""
        return AtMostOnceTerms(
            incarnation=binding.incarnation,
            issued_s=binding.issued_s,
            permit=self.permits.get(binding.stage, 0),
            fingerprint=self.fingerprint,
            expires_s=expires_s,
        )


def stage_label(index: int, stage: Stage) -> str:
    """Return a unique name of a stage, which may occur twice in its pipeline."""
    return f"{index}.{stage.name}"


def effect_stages(pipeline: Pipeline) -> dict[str, Stage]:
    """Return the at-most-once stages by label."""
    return {
        stage_label(index, stage): stage
        for index, stage in enumerate(pipeline.stages)
        if not stage.repeatable
    }


def fingerprint_of(body: bytes) -> str:
    """Return a digest of a JSON value, independent of spacing and order of keys."""
    value = decode_json(bytes(body), object)
    if isinstance(value, Err):
        return sha256(bytes(body)).hexdigest()
    return sha256(msgspec.json.encode(value.ok_value, order="sorted")).hexdigest()
