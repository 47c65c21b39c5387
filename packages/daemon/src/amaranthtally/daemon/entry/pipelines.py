"""Pipelines, endpoints and accounts as the policy wants them, from the tree."""

from typing import Any

from amaranthtally.policy import (
    AccountLimits,
    Endpoint,
    Pipeline,
    PolicySettings,
    Stage,
)
from amaranthtally.settings import Scope, SettingsView

__all__ = ["PipelineResolver", "policy_settings"]

DEFAULT_DEADLINE_MS = 4000


class PipelineResolver:
    """Resolves pipelines at one revision, once per client account and pipeline."""

    def __init__(self, view: SettingsView, region: str) -> None:
        self._view = view
        self._region = region
        self._known: dict[tuple[str, str], Pipeline | None] = {}

    def resolve(self, account: str, pipeline: str) -> Pipeline | None:
        """Return a pipeline as it holds for an account, or ``None``."""
        key = (account, pipeline)
        if key not in self._known:
            self._known[key] = self._build(account, pipeline)
        return self._known[key]

    def _build(self, account: str, pipeline: str) -> Pipeline | None:
        scope = Scope(self._region, account, pipeline)
        names = self._value(scope, "stages", [])
        if not names:
            return None
        stages = tuple(self._stage(scope, name) for name in names)
        deadline_ms = self._value(scope, "deadline_ms", DEFAULT_DEADLINE_MS)
        return Pipeline(pipeline, stages, deadline_ms / 1000)

    def _stage(self, scope: Scope, name: str) -> Stage:
        prefix = f"stage.{name}."
        return Stage(
            name=name,
            pool=self._value(scope, prefix + "pool", name),
            model=self._value(scope, prefix + "model", ""),
            repeatable=self._value(scope, prefix + "repeatable", True),
            streams=self._value(scope, prefix + "streams", False),
        )

    def _value(self, scope: Scope, key: str, default: Any) -> Any:
        return self._view.value(scope, key, default)


def policy_settings(
    view: SettingsView, region: str, data_centre: str
) -> PolicySettings:
    """Return what the policy reads of a tree."""
    return PolicySettings(
        revision=view.revision,
        region=region,
        data_centre=data_centre,
        endpoints={
            name: _endpoint(name, table) for name, table in view.endpoints.items()
        },
        accounts={name: _limits(view, region, name) for name in view.account_names},
    )


def _endpoint(name: str, table: dict[str, Any]) -> Endpoint:
    return Endpoint(
        id=name,
        pool=table["pool"],
        host=table["host"],
        region=table["region"],
        data_centre=table["data_centre"],
        address=table["address"],
        models=tuple(table.get("models", ())),
    )


def _limits(view: SettingsView, region: str, account: str) -> AccountLimits:
    scope = Scope(region=region, account=account)
    return AccountLimits(
        rate=view.value(scope, "limit.rate", 0.0),
        burst=view.value(scope, "limit.burst", 0.0),
        share=view.value(scope, "limit.share", 1.0),
    )
