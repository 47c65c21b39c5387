"""Which endpoints may get work: registered, not leaving, not ejected."""

from itertools import islice

from amaranthtally.policy.actions import Action, PollLoad
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.groups import EndpointGroups, EndpointsByRegion
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.model import Endpoint, PolicySettings, Stage
from amaranthtally.policy.prefixes import PrefixIndex

__all__ = ["Membership"]

GREET_EVERY_S = 2.0
GREETS_AT_ONCE = 4
# Endpoints that are asked for their models in turn, though they may get no calls: as
# many as an entry is connected to of one pool.
MOST_UNCONFIRMED = 64


class Membership:
    """Keeps loads, ejections and the sums of the pools in step with what is heard."""

    def __init__(
        self,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        prefixes: PrefixIndex,
    ) -> None:
        self._groups = groups
        self._loads = loads
        self._ejections = ejections
        self._prefixes = prefixes
        self._prepared: set[tuple[str, str]] = set()
        self._without_work: dict[str, float] = {}
        self._unconfirmed: dict[str, float] = {}

    def replace(self, now: float, settings: PolicySettings) -> None:
        """Use other endpoints; forget those that are gone or have moved."""
        if not self._groups.replace(settings.region, settings.endpoints):
            return
        self._prepared.clear()
        for name in self._loads.ids():
            load = self._loads.find(name)
            new = settings.endpoints.get(name)
            if load is None:
                continue
            stays = new is not None and new.takes_calls
            if new is not None and stays and new.is_same_server(load.endpoint):
                # What runs there goes on, and its word of its models still holds.
                load.endpoint = new
            else:
                self._forget(now, name)
        self._note_unconfirmed(settings)

    def prepare(self, now: float, stage: Stage) -> None:
        """Count a stage's candidates in, once for each pool and model."""
        key = (stage.pool, stage.model)
        if key in self._prepared:
            return
        self._prepared.add(key)
        self._open_all(now, self._groups.candidates(stage))

    def apply_report(self, now: float, endpoint: str, report: LoadReport) -> None:
        """
        Take a sidecar's word of its load and of whether it leaves.

        Reports lag: one sent before the endpoint began to leave may come after
        the news, and must not bring it back. Only another incarnation does.
        """
        load = self._open(endpoint)
        if load is None:
            return
        restarted = bool(load.incarnation) and report.incarnation != load.incarnation
        if restarted:
            self._prefixes.invalidate(endpoint)
            self._return(now, load)
        load.incarnation = report.incarnation
        self._loads.apply_report(now, load, report)
        if not _says_otherwise(load.endpoint, report.models):
            self._unconfirmed.pop(endpoint, None)
        if report.leaving:
            self.mark_leaving(now, endpoint)

    def mark_leaving(self, now: float, endpoint: str) -> None:
        """Give an endpoint no new work."""
        load = self._open(endpoint)
        if load is None or load.leaving:
            return
        load.leaving = True
        self._without_work[endpoint] = now
        self._loads.remove_from_pool(now, load)

    def mark_staying(self, now: float, endpoint: str) -> None:
        """Give work again to an endpoint that was thought to leave."""
        load = self._loads.find(endpoint)
        if load is not None:
            self._return(now, load)

    def failed(self, now: float, load: EndpointLoad) -> bool:
        """Note a failed attempt; true when its endpoint is ejected for it."""
        load.note_outcome(now, failed=True)
        pool = load.endpoint.pool
        known = self._loads.pool(pool).size + len(self._ejections.ejected(pool))
        if not self._ejections.failed(now, load.endpoint.id, pool, known):
            return False
        self._loads.remove_from_pool(now, load)
        self._without_work[load.endpoint.id] = now
        return True

    def succeeded(self, now: float, load: EndpointLoad) -> None:
        """Note an attempt that finished; an ejected endpoint is let back."""
        load.note_outcome(now, failed=False)
        self._ejections.succeeded(load.endpoint.id)
        if not load.leaving:
            self._without_work.pop(load.endpoint.id, None)
            self._loads.add_to_pool(now, load)

    def due_load_requests(self, now: float) -> list[Action]:
        """
        Ask for word from endpoints without work, or that have other models than wanted.

        A sidecar that restarts under its old name would otherwise never be heard
        of again: its new incarnation is told in replies, and it gets no calls. Nor
        would one of a pool without requests: a pipeline could not be switched to what
        it has loaded, as the last word of it says otherwise.
        """
        left = _due(now, self._without_work)
        return [PollLoad(name) for name in left + _due(now, self._unconfirmed)]

    def _note_unconfirmed(self, settings: PolicySettings) -> None:
        asked = sorted(
            (endpoint for endpoint in settings.endpoints.values() if endpoint.models),
            key=lambda endpoint: endpoint.region != settings.region,
        )
        names = (e.id for e in asked if e.takes_calls and self._is_unconfirmed(e))
        before = self._unconfirmed
        self._unconfirmed = {
            name: before.get(name, -GREET_EVERY_S)
            for name in islice(names, MOST_UNCONFIRMED)
        }

    def _is_unconfirmed(self, endpoint: Endpoint) -> bool:
        load = self._loads.find(endpoint.id)
        if load is None or load.reported_at < 0:
            return True
        return _says_otherwise(endpoint, load.models)

    def _open_all(self, now: float, regions: EndpointsByRegion) -> None:
        for group in regions.values():
            for endpoint in group:
                self._count_in_usable(now, self._loads.get_or_create(endpoint))

    def _open(self, endpoint: str) -> EndpointLoad | None:
        load = self._loads.find(endpoint)
        if load is None:
            registered = self._groups.find(endpoint)
            if registered is None:
                return None
            load = self._loads.get_or_create(registered)
        return load

    def _return(self, now: float, load: EndpointLoad) -> None:
        load.leaving = False
        if not self._ejections.is_ejected(load.endpoint.id):
            self._without_work.pop(load.endpoint.id, None)
            self._loads.add_to_pool(now, load)

    def _count_in_usable(self, now: float, load: EndpointLoad) -> None:
        if not load.leaving and not self._ejections.is_ejected(load.endpoint.id):
            self._loads.add_to_pool(now, load)

    def _forget(self, now: float, endpoint: str) -> None:
        self._loads.remove(now, endpoint)
        self._ejections.forget(endpoint)
        self._prefixes.invalidate(endpoint)
        self._without_work.pop(endpoint, None)


def _says_otherwise(endpoint: Endpoint, models: frozenset[str] | None) -> bool:
    """Whether an endpoint answers other models than it is registered with."""
    return models is not None and models != set(endpoint.models)


def _due(now: float, asked_at: dict[str, float]) -> list[str]:
    """Return the few that were asked longest ago, and note that they are asked now."""
    waited = (name for name, at in asked_at.items() if now - at >= GREET_EVERY_S)
    due = list(islice(waited, GREETS_AT_ONCE))
    for name in due:
        # Put last, so that a few that never answer do not keep others waiting.
        del asked_at[name]
        asked_at[name] = now
    return due
