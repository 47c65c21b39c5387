"""Common parts of all stand-ins: fault knobs, records and the registry of kinds."""

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import msgspec
from aiohttp import web

__all__ = ["Handler", "Knobs", "StandIn", "build_standin", "standin", "standin_kinds"]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
# Exit status that a shell reports for a process ended by SIGKILL.
KILLED_STATUS = 137


class Knobs(msgspec.Struct):
    """
    Faults, delays and sizes that a test can set; times are in seconds.

    ``die_before`` and ``die_after`` end the process at the n-th call, before or after
    its effect. With ``stuck`` a call has no effect and gets no response; with
    ``stuck_after`` it has its effect but gets no response. ``fail_rate`` is the share
    of calls that get status 500; the failures are spread evenly by counting calls, not
    at random. ``lose_answers`` is the number of writes to the platform, and
    ``lose_orders`` the number of orders to an engine, that are executed but get no
    response. ``block_time`` is the time that an engine takes for each block that is not
    in its cache. The lags delay an engine's load and cache events, and the platform's
    list of hosts.
    """

    slow: float = 0.0
    stuck: bool = False
    stuck_after: bool = False
    die_before: int = 0
    die_after: int = 0
    fail_rate: float = 0.0
    outage: bool = False
    lose_answers: int = 0
    service: float = 0.0
    tokens: int = 12
    token_time: float = 0.0
    cut_after_tokens: int = 0
    load_lag: float = 1.0
    event_lag: float = 0.5
    event_gap: int = 0
    cache_blocks: int = 256
    block_time: float = 0.0
    fencing: bool = True
    lose_orders: int = 0
    weight_rate: float = 0.0
    host_lag: float = 2.0

    def set_from_text(self, pairs: list[str]) -> None:
        """Set knobs from texts of the form ``name=value``."""
        for pair in pairs:
            name, _, value = pair.partition("=")
            kind = type(getattr(self, name))
            setattr(self, name, msgspec.convert(value, kind, strict=False))


class StandIn:
    """A fake service with knobs, records and the routes that a subclass adds."""

    kind: ClassVar[str] = ""

    def __init__(self, name: str) -> None:
        self.name = name
        self.knobs = Knobs()
        self.records: list[dict[str, Any]] = []
        self._calls = 0

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of this kind."""
        raise NotImplementedError

    def application(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/_knobs", self._set_knobs)
        app.router.add_get("/_records", self._get_records)
        app.router.add_get("/_calls", self._get_calls)
        self.add_routes(app)
        return app

    async def before_effect(self) -> web.Response | None:
        """Apply the faults before a call's effect; return an error response, if any."""
        self._calls += 1
        if self._calls == self.knobs.die_before:
            self._die()
        if self.knobs.stuck:
            await asyncio.Event().wait()
        if self.knobs.slow:
            await asyncio.sleep(self.knobs.slow)
        rate = self.knobs.fail_rate
        if int(self._calls * rate) > int((self._calls - 1) * rate):
            return web.Response(status=500, text="failed by a knob")
        if self.knobs.service:
            await asyncio.sleep(self.knobs.service)
        return None

    async def after_effect(self) -> None:
        """Apply the faults between a call's effect and its response."""
        if self.knobs.die_after and self._calls >= self.knobs.die_after:
            self._die()
        if self.knobs.stuck_after:
            await asyncio.Event().wait()

    def _die(self) -> None:
        # The checks after a run need the records, which would be lost with the process.
        for record in self.records:
            sys.stderr.write(f"event=died record={json.dumps(record)}\n")
        sys.stderr.flush()
        os._exit(KILLED_STATUS)

    async def _set_knobs(self, request: web.Request) -> web.Response:
        for name, value in msgspec.json.decode(await request.read()).items():
            kind = type(getattr(self.knobs, name))
            setattr(self.knobs, name, msgspec.convert(value, kind, strict=False))
        return web.Response(text="ok\n")

    async def _get_records(self, _: web.Request) -> web.Response:
        return json_response(self.records)

    async def _get_calls(self, _: web.Request) -> web.Response:
        return json_response(self._calls)


_KINDS: dict[str, type[StandIn]] = {}


def standin(cls: type[StandIn]) -> type[StandIn]:
    """Register the class of a kind of stand-in; used as a decorator."""
    _KINDS[cls.kind] = cls
    return cls


def standin_kinds() -> list[str]:
    """Return the registered kinds, sorted."""
    return sorted(_KINDS)


def build_standin(kind: str, name: str) -> StandIn:
    """Return a new stand-in of a registered kind."""
    return _KINDS[kind](name)


def json_response(document: Any, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/json",
        headers=headers,
    )
