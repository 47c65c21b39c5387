"""The regions in which operators allow requests to be served."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["HomeRegions", "Regions"]

Regions = frozenset[str]


@dataclass(frozen=True, slots=True)
class HomeRegions:
    """
    The home regions of pipelines and of client accounts, by name.

    Those without home regions are not listed, and may be served anywhere.
    """

    by_pipeline: Mapping[str, Regions] = field(default_factory=dict)
    by_account: Mapping[str, Regions] = field(default_factory=dict)

    def allowed(self, pipeline: str, account: str) -> Regions | None:
        """
        Return the regions that may serve an account's requests to a pipeline.

        Where both have homes, both bind: the regions may be none. ``None`` stands for
        any region.
        """
        of_pipeline = self.by_pipeline.get(pipeline)
        of_account = self.by_account.get(account)
        if of_pipeline is None or of_account is None:
            return of_pipeline if of_account is None else of_account
        return of_pipeline & of_account

    def conflicts(self) -> list[tuple[str, str]]:
        """Return the pairs of a pipeline and an account that no region may serve."""
        return [
            (pipeline, account)
            for pipeline, of_pipeline in self.by_pipeline.items()
            for account, of_account in self.by_account.items()
            if not of_pipeline & of_account
        ]
