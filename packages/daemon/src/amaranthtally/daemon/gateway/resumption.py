"""Finds where the streams began that callers take up."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from amaranthtally.adapter.messages import CallerRequest
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.refusals import UNAVAILABLE, Refusal
from amaranthtally.daemon.gateway.stream_origin_tracker import OriginSearch
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import CallKind, Route, StreamOrigin

__all__ = ["RESUME_WINDOW_S", "StreamResumption"]

# How long after its deadline a request's stream may still be taken up, in seconds.
RESUME_WINDOW_S = 20.0
SEARCH_RETRY_S = 0.5

# A retry cannot help: nobody knows more a moment later.
UNKNOWN_ORIGIN = Refusal(
    UNAVAILABLE,
    "it is not known where this stream began; send the request without Last-Event-Id",
)
INCOMPLETE_SEARCH = Refusal(
    UNAVAILABLE, "not all gateways could be asked about this stream", SEARCH_RETRY_S
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


class _Tracker(Protocol):
    """Knows the origins of streams."""

    def note(self, request_id: str, origin: StreamOrigin, expires_at: float) -> None:
        """Hold the origin of a stream until a time stamp."""

    async def find(self, request_id: str) -> OriginSearch:
        """Return the origin of the stream that a request began."""


class _Versions(Protocol):
    """Knows the software versions of pools."""

    def sole_version(self, pool: str, all_peers_answered: bool) -> str | None:
        """Return the only version that a pool has had lately, or else ``None``."""

    def is_served(self, pool: str, version: str) -> bool:
        """Whether an endpoint of a pool has this version and takes calls."""


class StreamResumption:
    """
    Returns the origin of the stream that a request takes up, or a refusal.

    A stream that goes on at another software version than its first part makes an
    answer whose parts do not fit together, without any sign of it to the caller. It is
    refused unless its version is known, or the pool has had one version only.
    """

    def __init__(
        self,
        tracker: _Tracker,
        versions: _Versions,
        metrics: GatewayMetrics,
        ages: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
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
        source = "known" if search.entry else "sole_version"
        origin = (
            search.entry.origin
            if search.entry
            else self._sole_origin(route, search.is_complete)
        )
        result = self._checked(origin, route, search)
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
            pool=origin.pool if origin else "",
            version=origin.version if origin else "",
            ms=round((self._time() - started) * 1000),
            **self._ages(),
        )
        return result

    async def _search(self, caller: CallerRequest) -> OriginSearch:
        if not caller.resumed_request:
            return OriginSearch()
        return await self._tracker.find(caller.resumed_request)

    def _note(self, caller: CallerRequest, route: Route, origin: StreamOrigin) -> None:
        if caller.resumed_request:
            expires_at = self._time() + route.timeout_s + RESUME_WINDOW_S
            self._tracker.note(caller.resumed_request, origin, expires_at)

    def _sole_origin(
        self, route: Route, all_peers_answered: bool
    ) -> StreamOrigin | None:
        if len(route.targets) != 1:
            return None
        pool = route.targets[0].pool
        version = self._versions.sole_version(pool, all_peers_answered)
        return None if version is None else StreamOrigin(pool, version)

    def _checked(
        self, origin: StreamOrigin | None, route: Route, search: OriginSearch
    ) -> StreamOrigin | Refusal:
        if origin is None:
            return UNKNOWN_ORIGIN if search.is_complete else INCOMPLETE_SEARCH
        if all(target.pool != origin.pool for target in route.targets):
            return MOVED_ROUTE
        return origin if self._versions.is_served(*origin) else VERSION_GONE
