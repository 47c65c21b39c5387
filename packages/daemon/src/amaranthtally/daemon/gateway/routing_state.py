"""A gateway's view of the routes in force and of the registered endpoints."""

from collections.abc import Callable
from itertools import islice

from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    EndpointDirectory,
    HomeRegions,
    PolicySettings,
    RouteTable,
    gateway_settings,
)
from amaranthtally.settings import GatewaySettings

__all__ = ["RoutingState"]

# Number of entries assumed to share the retry budget until the peers are known.
DEFAULT_ENTRY_COUNT = 16
# Fraction of the shared retry slack that is divided among the entries. The rest covers
# the time, up to a second, in which some entries have not yet noticed that an entry
# started or stopped and divide by a different number.
RETRY_SLACK_FRACTION = 0.8
# Fraction of the shared retry ratio that an entry uses. When traffic falls, the request
# rate that it measures for a pool lags by one window and is too high.
RETRY_RATIO_FRACTION = 0.75
# Most pairs or regions that one log line names.
MAX_LOGGED = 8

log = get_logger()


class RoutingState:
    """Combines routes and endpoints into new policy settings when either changes."""

    def __init__(
        self,
        settings: GatewaySettings,
        on_settings: Callable[[PolicySettings], None],
    ) -> None:
        self._settings = settings
        self._on_settings = on_settings
        self._table: RouteTable | None = None
        self._directory = EndpointDirectory()
        self._homes = HomeRegions()
        self._evacuated: frozenset[str] = frozenset()
        self._has_endpoints = False
        self._revision = 0
        self._entries = DEFAULT_ENTRY_COUNT

    @property
    def table(self) -> RouteTable | None:
        """The route table in force; ``None`` until one has been read."""
        return self._table

    @property
    def directory(self) -> EndpointDirectory:
        """The directory of registered endpoints."""
        return self._directory

    @property
    def is_complete(self) -> bool:
        """Whether both the routes and the endpoints have been read at least once."""
        return self._table is not None and self._has_endpoints

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres to whose endpoints nothing is sent."""
        return self._evacuated

    def initial_settings(self) -> PolicySettings:
        """Return the policy's settings at the start, without routes and endpoints."""
        return self._policy_settings()

    def apply_table(self, table: RouteTable) -> None:
        """Put a newer route table in force."""
        self._table = table
        log.info(
            "configuration_in_force",
            version=table.version,
            routes=len(table.routes),
            pools=len(table.pools),
            keys=len(table.accounts_by_key),
        )
        self._homes = table.homes
        self._log_homes(self._homes)
        self._publish()

    def set_entry_count(self, count: int) -> None:
        """
        Divide the retry budget among ``count`` entries, this one included.

        Entries do not exchange counts of their retries. Each stays within its own
        share, so that the total stays within the budget, whichever part fails.
        """
        self._entries = max(1, count)
        self._publish()

    def endpoints_changed(self) -> None:
        """Publish policy settings with the directory's current endpoints."""
        self._has_endpoints = True
        self._publish()

    def evacuations_changed(self, data_centres: frozenset[str]) -> None:
        """Send nothing more to the endpoints in these data centres."""
        self._evacuated = data_centres
        self._publish()

    def _publish(self) -> None:
        self._revision += 1
        self._on_settings(self._policy_settings())

    def _policy_settings(self) -> PolicySettings:
        process = self._settings
        settings = PolicySettings(
            revision=self._revision,
            region=process.region,
            data_centre=process.data_centre,
            endpoints=self._directory.endpoints,
            pools=self._table.pools if self._table else {},
            homes=self._homes,
            evacuated=self._evacuated,
            retry_budget=process.retry_ratio * RETRY_RATIO_FRACTION,
            retry_reserve=max(
                1.0, RETRY_SLACK_FRACTION * process.retry_slack / self._entries
            ),
            entry=process.name,
            fair_shares=process.fair_shares,
            shared_loads=process.shared_loads,
        )
        return gateway_settings(settings)

    def _log_homes(self, homes: HomeRegions) -> None:
        """Log homes by which requests cannot be served, as operators should know."""
        conflicts = list(islice(homes.conflicts(), MAX_LOGGED))
        if conflicts:
            log.warning(
                "homes_exclude_each_other",
                pairs=",".join(f"{p}:{a}" for p, a in conflicts),
                at_least=len(conflicts),
            )
        known = set(self._settings.regions.values()) or {self._settings.region}
        named = frozenset().union(
            *homes.by_pipeline.values(), *homes.by_account.values()
        )
        unknown = sorted(named - known)
        if unknown:
            log.warning(
                "home_regions_unknown",
                regions=",".join(unknown[:MAX_LOGGED]),
                count=len(unknown),
            )
