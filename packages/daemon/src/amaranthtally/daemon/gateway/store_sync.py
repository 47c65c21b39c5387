"""Keeps a gateway's state in step with the store, and its record in the store."""

import asyncio
from math import inf

from result import Err

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.endpoint_record_tracker import EndpointRecordTracker
from amaranthtally.daemon.gateway.membership import PeerRecordTracker, Registration
from amaranthtally.daemon.gateway.prefix_watcher import PrefixWatcher
from amaranthtally.daemon.gateway.state_freshness import StateFreshness, StateKind
from amaranthtally.daemon.gateway.store_follower import MAX_AGE_S, StoreFollower
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.platform import StoreClient

__all__ = ["StoreSync"]

# Interval between removals of endpoints and peers whose records expired, in seconds.
EXPIRE_INTERVAL_S = 0.5
WATCHER_TASK = "store_watcher"
FOLLOWER_TASK = "store_follower"


class StoreSync:
    """The connection to the store, own or through a watcher, and the own record."""

    def __init__(
        self,
        client: StoreClient,
        watcher: PrefixWatcher,
        follower: StoreFollower,
        configuration: ConfigurationTracker,
        records: EndpointRecordTracker,
        peer_records: PeerRecordTracker,
        registration: Registration,
        supervisor: Supervisor,
        freshness: StateFreshness,
    ) -> None:
        self._client = client
        self._watcher = watcher
        self._follower = follower
        self._configuration = configuration
        self._records = records
        self._peer_records = peer_records
        self._registration = registration
        self._supervisor = supervisor
        self._freshness = freshness
        self._started_at = freshness.now()

    @property
    def is_connected(self) -> bool:
        """
        Whether the store, or a gateway in touch with it, confirms what is held.

        One that starts and holds nothing counts as connected until a call has failed.
        """
        task = WATCHER_TASK if self._follower.is_watching else FOLLOWER_TASK
        if task in self._supervisor.failing:
            return False
        if self._follower.is_watching and self._watcher.is_failing:
            return False
        return self._follower.is_confirmed or self._is_starting

    @property
    def is_watching(self) -> bool:
        """Whether this gateway watches the store itself."""
        return self._follower.is_watching

    @property
    def can_be_followed(self) -> bool:
        """Whether this gateway watches the store, and the store lately answered."""
        if self._supervisor.failing_vital:
            return False
        watcher = self._watcher
        return self.is_watching and watcher.is_connected and watcher.is_listed

    @property
    def is_receiving(self) -> bool:
        """Whether the body of a response from the store is being received."""
        return self._client.is_receiving

    async def read_configuration(self) -> bool:
        """Read the configuration from the store; return whether it answered."""
        response = await self._client.get(CONFIGURATION_KEY)
        if isinstance(response, Err):
            return False
        if response.ok_value is not None:
            self._configuration.apply_change(response.ok_value)
        return True

    def entries_changed(self) -> None:
        """Start or stop watching after a change of the set of live gateways."""
        self._follower.entries_changed()

    def note_settling(self, seconds: float) -> None:
        """Note how much longer records may be missing after an outage."""
        if seconds:
            self._records.settle_for(seconds)

    def start(self) -> None:
        """Start the background tasks of the connection to the store."""
        run = self._supervisor.run
        watcher, follower = self._watcher, self._follower
        # A standstill between two of its readings is noticed by the next question.
        run("state_freshness", self._freshness.run)
        run(WATCHER_TASK, watcher.run, watcher.list_anew, is_vital=True)
        run(FOLLOWER_TASK, follower.run, follower.watch_anew, is_vital=True)
        run("store_contact_clock", follower.run_clock, is_vital=True)
        # Without its record, a gateway still serves its callers.
        registration = self._registration
        run("registration", registration.run, registration.forget_lease, may_end=True)
        # Endpoints that ended would be used for ever.
        run("record_expiry", self._expire, is_vital=True)

    async def deregister(self) -> None:
        """Remove this gateway's record from the store."""
        await self._registration.deregister()

    @property
    def _is_starting(self) -> bool:
        is_held = self._freshness.age_s(StateKind.RECORDS) < inf
        return not is_held and self._freshness.is_recent(self._started_at, MAX_AGE_S)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._records.expire()
            self._peer_records.expire()
