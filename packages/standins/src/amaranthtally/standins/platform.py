"""
Fake platform: key-value service, list of hosts, rate-limited weight store.

The key-value calls follow Consul's HTTP API: ``/v1/kv`` with the parameters ``cas``,
``recurse``, ``index`` and ``wait``; sessions with a TTL serve as leases.
"""

import asyncio
import base64
import secrets
import time
from collections import Counter
from dataclasses import dataclass
from hashlib import sha256

import msgspec
from aiohttp import hdrs, web

from amaranthtally.standins.registry import StandIn, json_response, standin

__all__ = ["PlatformStandIn"]

MAX_VALUE_BYTES = 1_048_576
INDEX_HEADER = "X-Consul-Index"
DEFAULT_WAIT_S = 30.0
WEIGHT_BYTES = 65_536
ETAG_DIGITS = 32
CALLER_HEADER = "X-Caller"


@dataclass(slots=True)
class _Item:
    value: bytes
    create_index: int
    modify_index: int
    session: str = ""


class _Session(msgspec.Struct):
    TTL: str = "15s"


@standin
class PlatformStandIn(StandIn):
    """Keeps its state in memory and counts calls by caller and kind."""

    kind = "platform"

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._items: dict[str, _Item] = {}
        self._index = 1
        self._changed = asyncio.Condition()
        self._sessions: dict[str, tuple[float, float]] = {}
        self._counts: Counter[str] = Counter()
        self._hosts: list[tuple[float, str, str]] = []
        self._weights_free_at = 0.0

    def add_routes(self, app: web.Application) -> None:
        """Add the platform's routes."""
        app.router.add_get("/v1/kv/{key:.*}", self._read)
        app.router.add_put("/v1/kv/{key:.*}", self._write)
        app.router.add_delete("/v1/kv/{key:.*}", self._delete)
        app.router.add_put("/v1/session/create", self._create_session)
        app.router.add_put("/v1/session/renew/{id}", self._renew_session)
        app.router.add_put("/v1/session/destroy/{id}", self._destroy_session)
        app.router.add_get("/v1/hosts", self._list_hosts)
        app.router.add_get("/v1/weights/{model}", self._read_weights)
        app.router.add_put("/_hosts/{host}/{state}", self._set_host)
        app.router.add_get("/_counts", self._read_counts)

    # Key-value

    async def _read(self, request: web.Request) -> web.Response:
        watch = "index" in request.query
        fault = await self._count_and_inject_fault(
            request, "watch" if watch else "read"
        )
        if fault is not None:
            return fault
        key = request.match_info["key"]
        recurse = "recurse" in request.query
        if watch:
            wait_s = float(request.query.get("wait", f"{DEFAULT_WAIT_S}s").rstrip("s"))
            await self._wait_for_change(
                key, recurse, int(request.query["index"]), wait_s
            )
            if self.knobs.outage:
                return web.Response(status=503, text="outage by a knob")
        self._expire_sessions()
        items = self._match(key, recurse)
        headers = {INDEX_HEADER: str(self._prefix_index(items))}
        if not items:
            return json_response([], 404, **headers)
        return json_response([_row(k, i) for k, i in items], 200, **headers)

    async def _write(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "write")
        if fault is not None:
            return fault
        key = request.match_info["key"]
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413, text="value over a megabyte")
        self._expire_sessions()
        is_applied = self._may_write(key, request) and self._may_acquire(key, request)
        if is_applied:
            self._store(key, value, request)
            await self._notify_watches()
        if self.knobs.lose_answers > 0:
            self.knobs.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.Response(text="true" if is_applied else "false")

    async def _delete(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "write")
        if fault is not None:
            return fault
        key = request.match_info["key"]
        if not self._may_write(key, request):
            return web.Response(text="false")
        for name, _ in self._match(key, "recurse" in request.query):
            del self._items[name]
        self._index += 1
        await self._notify_watches()
        return web.Response(text="true")

    def _may_write(self, key: str, request: web.Request) -> bool:
        if "cas" not in request.query:
            return True
        item = self._items.get(key)
        return int(request.query["cas"]) == (item.modify_index if item else 0)

    def _may_acquire(self, key: str, request: web.Request) -> bool:
        session = request.query.get("acquire", "")
        if not session:
            return True
        item = self._items.get(key)
        lock_holder = item.session if item else ""
        return session in self._sessions and lock_holder in ("", session)

    def _store(self, key: str, value: bytes, request: web.Request) -> None:
        self._index += 1
        old = self._items.get(key)
        session = request.query.get("acquire", old.session if old else "")
        if "release" in request.query:
            session = ""
        created = old.create_index if old else self._index
        self._items[key] = _Item(value, created, self._index, session)

    def _match(self, key: str, recurse: bool) -> list[tuple[str, _Item]]:
        if not recurse:
            return [(key, self._items[key])] if key in self._items else []
        return sorted((k, i) for k, i in self._items.items() if k.startswith(key))

    def _prefix_index(self, items: list[tuple[str, _Item]]) -> int:
        return max((item.modify_index for _, item in items), default=self._index)

    async def _wait_for_change(
        self, key: str, recurse: bool, index: int, wait_s: float
    ) -> None:
        def changed() -> bool:
            return (
                self.knobs.outage
                or self._prefix_index(self._match(key, recurse)) > index
            )

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(changed)
            except TimeoutError:
                return

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    # Leases

    async def _create_session(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "write")
        if fault is not None:
            return fault
        body = await request.read()
        session_request = (
            msgspec.json.decode(body, type=_Session) if body else _Session()
        )
        ttl_s = float(session_request.TTL.rstrip("s"))
        session = secrets.token_hex(8)
        self._sessions[session] = (time.monotonic() + ttl_s, ttl_s)
        return json_response({"ID": session})

    async def _renew_session(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "write")
        if fault is not None:
            return fault
        self._expire_sessions()
        session = request.match_info["id"]
        if session not in self._sessions:
            return web.Response(status=404, text="no such session")
        _, ttl_s = self._sessions[session]
        self._sessions[session] = (time.monotonic() + ttl_s, ttl_s)
        return json_response([{"ID": session}])

    async def _destroy_session(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "write")
        if fault is not None:
            return fault
        self._sessions.pop(request.match_info["id"], None)
        self._release_expired_locks()
        return web.Response(text="true")

    def _expire_sessions(self) -> None:
        now = time.monotonic()
        for session, (expires, _) in list(self._sessions.items()):
            if expires <= now:
                del self._sessions[session]
        self._release_expired_locks()

    def _release_expired_locks(self) -> None:
        for item in self._items.values():
            if item.session and item.session not in self._sessions:
                item.session = ""

    # Hosts and weights

    async def _list_hosts(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "hosts")
        if fault is not None:
            return fault
        latest_visible = time.monotonic() - self.knobs.host_lag
        states = {
            host: state for at, host, state in self._hosts if at <= latest_visible
        }
        rows = [{"host": h, "state": s} for h, s in states.items()]
        etag = f'"{sha256(msgspec.json.encode(rows)).hexdigest()[:ETAG_DIGITS]}"'
        if request.headers.get(hdrs.IF_NONE_MATCH) == etag:
            return web.Response(status=304)
        return json_response(rows, ETag=etag)

    async def _set_host(self, request: web.Request) -> web.Response:
        info = request.match_info
        self._hosts.append((time.monotonic(), info["host"], info["state"]))
        return web.Response(text="ok\n")

    async def _read_weights(self, request: web.Request) -> web.Response:
        fault = await self._count_and_inject_fault(request, "weights")
        if fault is not None:
            return fault
        now = time.monotonic()
        if self.knobs.weight_rate:
            if now < self._weights_free_at:
                wait_s = self._weights_free_at - now
                return web.Response(
                    status=429, headers={"Retry-After": f"{wait_s:.1f}"}
                )
            self._weights_free_at = now + WEIGHT_BYTES / self.knobs.weight_rate
        self.records.append({"weights": request.match_info["model"], "at": now})
        return web.Response(body=bytes(WEIGHT_BYTES))

    # Faults and counts

    async def _count_and_inject_fault(
        self, request: web.Request, kind: str
    ) -> web.Response | None:
        caller = request.headers.get(CALLER_HEADER, "unknown")
        self._counts[f"{caller} {kind}"] += 1
        if self.knobs.outage:
            return web.Response(status=503, text="outage by a knob")
        return await self.before_effect()

    async def _read_counts(self, _: web.Request) -> web.Response:
        return json_response(dict(self._counts))


def _row(key: str, item: _Item) -> dict[str, str | int]:
    return {
        "Key": key,
        "Value": base64.b64encode(item.value).decode(),
        "CreateIndex": item.create_index,
        "ModifyIndex": item.modify_index,
        "Session": item.session,
    }
