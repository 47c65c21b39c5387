"""The endpoints that may receive work: registered, not leaving and not ejected."""

from itertools import islice

from amaranthtally.policy.actions import Action, PollLoad
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.groups import EndpointGroups, EndpointsByRegion
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.model import Endpoint, PolicySettings, Stage
from amaranthtally.policy.prefixes import PrefixIndex

__all__ = ["Membership"]

POLL_INTERVAL_S = 2.0
MAX_POLLS = 4
# Maximum number of endpoints that are polled because their models are unconfirmed, even
# if they receive no calls: as many as an entry is connected to in one pool.
MAX_UNCONFIRMED = 64


class Membership:
    """
    Tracks which endpoints are usable.

    It updates the loads, the ejections and the sums of the pools together.
    """

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
        self._excluded: dict[str, float] = {}
        self._unconfirmed: dict[str, float] = {}

    def replace(self, now: float, settings: PolicySettings) -> None:
        """Apply new settings; discard endpoints that were removed or have moved."""
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
                # Its attempts continue, and the models that it reported remain valid.
                load.endpoint = new
            else:
                self._forget(now, name)
        for pool in {endpoint.pool for endpoint in settings.endpoints.values()}:
            self._readmit_excess(now, pool)
        self._update_unconfirmed(settings)

    def prepare(self, now: float, stage: Stage) -> None:
        """Add a stage's candidates to the sums, once for each pool and model."""
        key = (stage.pool, stage.model)
        if key in self._prepared:
            return
        self._prepared.add(key)
        self._add_candidates(now, self._groups.candidates(stage))

    def apply_report(self, now: float, endpoint: str, report: LoadReport) -> None:
        """
        Apply a sidecar's report of its load and of whether it is leaving.

        Reports may be late: one that was sent before the endpoint began to leave can
        arrive after the notice that it leaves, and must not readmit it. Only a report
        of another incarnation does.
        """
        load = self._find_or_create(endpoint)
        if load is None:
            return
        restarted = bool(load.incarnation) and report.incarnation != load.incarnation
        if restarted:
            self._prefixes.invalidate(endpoint)
            self._readmit(now, load)
        load.incarnation = report.incarnation
        self._loads.apply_report(now, load, report)
        if not _models_differ(load.endpoint, report.models):
            self._unconfirmed.pop(endpoint, None)
        if report.leaving:
            self.mark_leaving(now, endpoint)

    def mark_leaving(self, now: float, endpoint: str) -> None:
        """Stop sending new work to an endpoint."""
        load = self._find_or_create(endpoint)
        if load is None or load.leaving:
            return
        load.leaving = True
        self._excluded[endpoint] = now
        self._loads.remove_from_pool(now, load)
        self._readmit_excess(now, load.endpoint.pool)

    def mark_restored(self, now: float, endpoint: str) -> None:
        """Send new work again to an endpoint that was marked as leaving."""
        load = self._loads.find(endpoint)
        if load is not None:
            self._readmit(now, load)

    def failed(self, now: float, load: EndpointLoad) -> bool:
        """Count a failed attempt; return whether its endpoint is ejected for it."""
        load.note_outcome(now, failed=True)
        pool = load.endpoint.pool
        pool_size = self._pool_size(pool)
        if not self._ejections.failed(now, load.endpoint.id, pool, pool_size):
            return False
        self._loads.remove_from_pool(now, load)
        self._excluded[load.endpoint.id] = now
        return True

    def succeeded(self, now: float, load: EndpointLoad) -> None:
        """Count an attempt that finished; an ejected endpoint is readmitted."""
        load.note_outcome(now, failed=False)
        self._ejections.succeeded(load.endpoint.id)
        if not load.leaving:
            self._excluded.pop(load.endpoint.id, None)
            self._loads.add_to_pool(now, load)

    def due_polls(self, now: float) -> list[Action]:
        """
        Return polls of excluded endpoints and of those with unconfirmed models.

        Reports are sent with replies, but excluded endpoints receive no calls. Without
        polling, a sidecar that restarts under its old name would stay excluded, since
        only its report shows the new incarnation. Nor do the endpoints of a pool
        without requests receive any: their last report would remain in use after they
        have loaded a model, and no pipeline could be switched to that model.
        """
        excluded = _due(now, self._excluded)
        return [PollLoad(name) for name in excluded + _due(now, self._unconfirmed)]

    def _update_unconfirmed(self, settings: PolicySettings) -> None:
        with_models = sorted(
            (endpoint for endpoint in settings.endpoints.values() if endpoint.models),
            key=lambda endpoint: endpoint.region != settings.region,
        )
        names = (e.id for e in with_models if e.takes_calls and self._is_unconfirmed(e))
        before = self._unconfirmed
        self._unconfirmed = {
            name: before.get(name, -POLL_INTERVAL_S)
            for name in islice(names, MAX_UNCONFIRMED)
        }

    def _is_unconfirmed(self, endpoint: Endpoint) -> bool:
        load = self._loads.find(endpoint.id)
        if load is None or load.reported_at < 0:
            return True
        return _models_differ(endpoint, load.models)

    def _add_candidates(self, now: float, regions: EndpointsByRegion) -> None:
        for group in regions.values():
            for endpoint in group:
                self._add_if_usable(now, self._loads.get_or_create(endpoint))

    def _find_or_create(self, endpoint: str) -> EndpointLoad | None:
        load = self._loads.find(endpoint)
        if load is None:
            registered = self._groups.find(endpoint)
            if registered is None:
                return None
            load = self._loads.get_or_create(registered)
        return load

    def _readmit(self, now: float, load: EndpointLoad) -> None:
        load.leaving = False
        if not self._ejections.is_ejected(load.endpoint.id):
            self._excluded.pop(load.endpoint.id, None)
            self._loads.add_to_pool(now, load)

    def _pool_size(self, pool: str) -> int:
        """Return the number of a pool's endpoints that are not leaving."""
        return self._loads.pool(pool).size + len(self._ejections.ejected(pool))

    def _readmit_excess(self, now: float, pool: str) -> None:
        for name in self._ejections.readmit_excess(pool, self._pool_size(pool)):
            load = self._loads.find(name)
            if load is not None and not load.leaving:
                self._readmit(now, load)

    def _add_if_usable(self, now: float, load: EndpointLoad) -> None:
        if not load.leaving and not self._ejections.is_ejected(load.endpoint.id):
            self._loads.add_to_pool(now, load)

    def _forget(self, now: float, endpoint: str) -> None:
        self._loads.remove(now, endpoint)
        self._ejections.forget(endpoint)
        self._prefixes.invalidate(endpoint)
        self._excluded.pop(endpoint, None)


def _models_differ(endpoint: Endpoint, models: frozenset[str] | None) -> bool:
    """Whether an endpoint reports other models than it is registered with."""
    return models is not None and models != set(endpoint.models)


def _due(now: float, polled_at: dict[str, float]) -> list[str]:
    """Return the endpoints that are due for a poll, and note that it is sent."""
    waiting = (name for name, at in polled_at.items() if now - at >= POLL_INTERVAL_S)
    due = list(islice(waiting, MAX_POLLS))
    for name in due:
        # Reinserted last, so that endpoints that never answer do not delay the others.
        del polled_at[name]
        polled_at[name] = now
    return due
