"""What a gateway believes: the routes in force and the endpoints registered."""

from collections.abc import Callable

from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    EndpointDirectory,
    PolicySettings,
    RouteTable,
    gateway_settings,
)
from amaranthtally.settings import GatewaySettings

__all__ = ["Beliefs"]

# How many entries are taken to share one budget of retries before any is known.
UNKNOWN_ENTRIES = 16
# The part of the common slack that is shared out. Entries that just came or went are
# counted a second late by some.
SLACK_USED = 0.8
# How much of the common ratio an entry uses itself. What it sees as requests for a
# pool lags by a window where traffic falls.
RATIO_USED = 0.75

log = get_logger()


class Beliefs:
    """Joins routes and endpoints into the policy's settings, whichever changes."""

    def __init__(
        self,
        settings: GatewaySettings,
        on_settings: Callable[[PolicySettings], None],
    ) -> None:
        self._settings = settings
        self._on_settings = on_settings
        self._table: RouteTable | None = None
        self._directory = EndpointDirectory()
        self._has_endpoints = False
        self._revision = 0
        self._entries = UNKNOWN_ENTRIES

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; ``None`` before the first."""
        return self._table

    @property
    def directory(self) -> EndpointDirectory:
        """The endpoints."""
        return self._directory

    @property
    def is_complete(self) -> bool:
        """Whether both routes and endpoints were read once."""
        return self._table is not None and self._has_endpoints

    def start(self) -> PolicySettings:
        """Return the policy's settings before anything is known."""
        return self._policy_settings()

    def take_table(self, table: RouteTable) -> None:
        """Put newer routes in force."""
        self._table = table
        log.info(
            "configuration_in_force",
            version=table.version,
            routes=len(table.routes),
            pools=len(table.pools),
            keys=len(table.accounts_by_key),
        )
        self._changed()

    def entries_changed(self, count: int) -> None:
        """
        Share the budget of retries with so many entries, this one included.

        Nobody adds up what all of them send again. Each keeps to its share, so that the
        sum stays within the bound whatever fails.
        """
        self._entries = max(1, count)
        self._changed()

    def endpoints_changed(self) -> None:
        """Use the endpoints that the directory has now."""
        self._has_endpoints = True
        self._changed()

    def _changed(self) -> None:
        self._revision += 1
        self._on_settings(self._policy_settings())

    def _policy_settings(self) -> PolicySettings:
        own = self._settings
        settings = PolicySettings(
            revision=self._revision,
            region=own.region,
            data_centre=own.data_centre,
            endpoints=self._directory.endpoints,
            pools=self._table.pools if self._table else {},
            retry_budget=own.retry_ratio * RATIO_USED,
            retry_reserve=max(1.0, SLACK_USED * own.retry_slack / self._entries),
            entry=own.name,
        )
        return gateway_settings(settings)
