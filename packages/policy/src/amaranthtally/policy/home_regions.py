"""The regions in which operators allow requests to be served."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import product

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

    def conflicts(self) -> Iterator[tuple[str, str]]:
        """
        Yield the pairs of a pipeline and an account that no region may serve.

        There may be millions, so callers take as many as they need. Homes are compared
        once for each set of regions: few sets stand for thousands of names.
        """
        pipelines = _names_by_regions(self.by_pipeline)
        accounts = _names_by_regions(self.by_account)
        for of_pipeline, of_account in product(pipelines, accounts):
            if not of_pipeline & of_account:
                yield from product(pipelines[of_pipeline], accounts[of_account])


def _names_by_regions(homes: Mapping[str, Regions]) -> dict[Regions, list[str]]:
    names: dict[Regions, list[str]] = {}
    for name, regions in homes.items():
        names.setdefault(regions, []).append(name)
    return names
