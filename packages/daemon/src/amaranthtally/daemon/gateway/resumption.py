"""Finds where the streams began that callers take up."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Protocol

from amaranthtally.adapter.messages import CallerRequest
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.refusals import UNAVAILABLE, Refusal
from amaranthtally.daemon.gateway.stream_origin_tracker import OriginSearch
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import CallKind, OriginEntry, Route, StreamOrigin

__all__ = ["RESUME_WINDOW_S", "Evidence", "StreamResumption"]

# How long after its deadline a request's stream may still be taken up, in seconds.
RESUME_WINDOW_S = 20.0
SEARCH_RETRY_S = 0.5

# A retry cannot help: nobody knows more a moment later.
UNKNOWN_ORIGIN = Refusal(
    UNAVAILABLE,
    "it is not known where this stream began; send the request without Last-Event-Id",
)
INCOMPLETE_SEARCH = Refusal(
    UNAVAILABLE,
    "neither the store nor all gateways could be asked about this stream",
    SEARCH_RETRY_S,
)
# Its last endpoint has left or failed; the software of endpoints does not go back.
VERSION_GONE = Refusal(
    UNAVAILABLE,
    "no endpoint of this stream's version is left; send it without Last-Event-Id",
)
MOVED_ROUTE = Refusal(
    UNAVAILABLE,
    "the route has left this stream's pool; send the request without Last-Event-Id",
)

log = get_logger()


class Evidence(StrEnum):
    """Who has said, since a stream was taken up, that the records held are current."""

    STORE = "store"
    PEERS = "peers"
    NONE = "none"


class _Tracker(Protocol):
    """Knows the origins of streams."""

    def note(self, request_id: str, origin: StreamOrigin, expires_at: float) -> None:
        """Hold the origin of a stream until a time stamp."""

    async def find(self, request_id: str) -> OriginSearch:
        """Return the origin of the stream that a request began."""

    def find_held(self, request_id: str) -> OriginEntry | None:
        """Return the origin of the stream that a request began, if it is held here."""


class _Versions(Protocol):
    """Knows the software versions of pools."""

    def sole_version(self, pool: str) -> str | None:
        """Return the only version that a pool has had lately, or else ``None``."""

    def has_had_several(self, pool: str) -> bool:
        """Whether a pool has had several versions lately."""

    def is_served(self, pool: str, version: str) -> bool:
        """Whether an endpoint of a pool has this version and takes calls."""


class StreamResumption:
    """
    Returns the origin of the stream that a request takes up, or a refusal.

    A stream that goes on at another software version than its first part makes an
    answer whose parts do not fit together, without any sign of it to the caller. It is
    refused unless its version is known, or the pool has had one version only. The
    latter is believed on evidence that is newer than the request: a gateway that is cut
    off hears of no release, and one that stood still has not read of it yet.
    """

    def __init__(
        self,
        tracker: _Tracker,
        versions: _Versions,
        confirm: Callable[[], Awaitable[Evidence]],
        route_of: Callable[[CallerRequest], Route | None],
        metrics: GatewayMetrics,
        ages: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        """
        Create it.

        ``confirm`` brings the records up to date and says on which evidence; it costs a
        call to the store. ``route_of`` returns the route that a request has now.
        """
        self._confirm = confirm
        self._route_of = route_of
        self._tracker = tracker
        self._versions = versions
        self._metrics = metrics
        self._ages = ages
        self._time = asyncio.get_running_loop().time

    async def origin_of(
        self, caller: CallerRequest, route: Route
    ) -> StreamOrigin | Refusal | None:
        """Return the origin of a caller's stream; ``None`` if it is a new request."""
        if route.kind is not CallKind.STREAMING or not caller.last_event:
            return None
        started = self._time()
        search = await self._search(caller)
        evidence = Evidence.NONE
        is_final = search.is_complete
        if search.entry is None and self._may_become_known(caller, route):
            evidence = await self._confirm()
            search = self._search_again(caller, search)
            is_final = search.is_complete and evidence is not Evidence.NONE
            # The stream may have begun at the pool that the route has now.
            if self._has_moved(caller, route):
                evidence, is_final = Evidence.NONE, False
        source = "known" if search.entry else "sole_version"
        origin = (
            search.entry.origin if search.entry else self._sole_origin(route, evidence)
        )
        result = self._checked(origin, route, is_final)
        if isinstance(result, Refusal):
            source = "refused"
        else:
            self._note(caller, route, result)
        self._metrics.stream_taken_up(source)
        log.info(
            "stream_taken_up",
            request_id=caller.id,
            resumes=caller.resumed_request,
            source=source,
            evidence=evidence.value,
            pool=origin.pool if origin else "",
            version=origin.version if origin else "",
            ms=round((self._time() - started) * 1000),
            **self._ages(),
        )
        return result

    async def _search(self, caller: CallerRequest) -> OriginSearch:
        # Nobody can say more of a stream without a name.
        if not caller.resumed_request:
            return OriginSearch()
        return await self._tracker.find(caller.resumed_request)

    def _may_become_known(self, caller: CallerRequest, route: Route) -> bool:
        """Whether newer records may show where a stream began."""
        if caller.resumed_request:
            return True
        return len(route.targets) == 1 and not self._versions.has_had_several(
            route.targets[0].pool
        )

    def _search_again(
        self, caller: CallerRequest, search: OriginSearch
    ) -> OriginSearch:
        """Look for an origin that the store had and this gateway had not read yet."""
        if not caller.resumed_request:
            return search
        entry = self._tracker.find_held(caller.resumed_request)
        return search if entry is None else OriginSearch(entry)

    def _note(self, caller: CallerRequest, route: Route, origin: StreamOrigin) -> None:
        if caller.resumed_request:
            expires_at = self._time() + route.timeout_s + RESUME_WINDOW_S
            self._tracker.note(caller.resumed_request, origin, expires_at)

    def _has_moved(self, caller: CallerRequest, route: Route) -> bool:
        current = self._route_of(caller)
        return current is None or current.targets != route.targets

    def _sole_origin(self, route: Route, evidence: Evidence) -> StreamOrigin | None:
        if evidence is Evidence.NONE or len(route.targets) != 1:
            return None
        pool = route.targets[0].pool
        version = self._versions.sole_version(pool)
        return None if version is None else StreamOrigin(pool, version)

    def _checked(
        self, origin: StreamOrigin | None, route: Route, is_final: bool
    ) -> StreamOrigin | Refusal:
        if origin is None:
            return UNKNOWN_ORIGIN if is_final else INCOMPLETE_SEARCH
        if all(target.pool != origin.pool for target in route.targets):
            return MOVED_ROUTE
        return origin if self._versions.is_served(*origin) else VERSION_GONE
