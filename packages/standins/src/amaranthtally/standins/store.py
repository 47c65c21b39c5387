"""Fake key-value store with conditional writes, watches, leases and faults."""

import asyncio
import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["FakeStore", "StoreFaults", "open_store_standin"]

MS_PER_S = 1000.0
MAX_PAGE_ENTRIES = 50
# Interval between the bytes of an endless response, in seconds.
SPACE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class _Item:
    value: bytes
    revision: int
    lease: int = 0


@dataclass(slots=True)
class StoreFaults:
    """
    The faults that the store injects.

    With ``unavailable`` every call gets status 503. With ``unanswered_watches`` a watch
    gets no response until 60 s after its time-out. With ``endless_watches`` the
    response to a watch is white space without end, with ``endless_lease_ends`` that to
    the end of a lease. With ``lost_responses`` the store applies each write and closes
    the connection without a response.
    """

    unavailable: bool = False
    unanswered_watches: bool = False
    endless_watches: bool = False
    endless_lease_ends: bool = False
    lost_responses: bool = False


@dataclass(slots=True)
class FakeStore:
    """
    The store's state, which tests read and write directly, as an operator would.

    ``calls`` lists the methods and paths of all requests. A watch from a revision
    before ``compact_revision`` gets status 410.
    """

    address: str = ""
    faults: StoreFaults = field(default_factory=StoreFaults)
    items: dict[str, _Item] = field(default_factory=dict)
    revision: int = 1
    compact_revision: int = 1
    calls: list[str] = field(default_factory=list)
    history: list[tuple[str, _Item | None, int]] = field(default_factory=list)
    leases: set[int] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key; a value that is not ``bytes`` is encoded as JSON."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.revision += 1
        self.items[key] = _Item(raw, self.revision, lease)
        self._add_change(key, self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_change(key, None)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def compact_history(self) -> None:
        """Discard past changes; watches from earlier revisions then get status 410."""
        self.history.clear()
        self.compact_revision = self.revision

    def _add_change(self, key: str, item: _Item | None) -> None:
        self.history.append((key, item, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()


@asynccontextmanager
async def open_store_standin(port: int = 0) -> AsyncIterator[FakeStore]:
    """Serve a store on loopback; with port 0 the kernel assigns the port."""
    store = FakeStore()
    runner = web.AppRunner(_app(store), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    host, bound_port = runner.addresses[0][:2]
    store.address = f"{host}:{bound_port}"
    try:
        yield store
    finally:
        await runner.cleanup()


def _app(store: FakeStore) -> web.Application:
    handlers = _StoreHandlers(store)
    app = web.Application(middlewares=[handlers.inject_faults])
    app.router.add_get("/v1/kv-key", handlers.read_key)
    app.router.add_get("/v1/kv-range", handlers.read_range)
    app.router.add_get("/v1/kv-watch", handlers.watch_prefix)
    app.router.add_post("/v1/kv-txn", handlers.transact)
    app.router.add_post("/v1/kv-lease", handlers.grant_lease)
    app.router.add_post("/v1/kv-keep/{lease}", handlers.renew_lease)
    app.router.add_delete("/v1/kv-lease-end/{lease}", handlers.end_lease)
    return app


class _StoreHandlers:
    def __init__(self, store: FakeStore) -> None:
        self._store = store

    @web.middleware
    async def inject_faults(self, request: web.Request, handler) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self._store.calls.append(f"{request.method} {request.path}")
        if self._store.faults.unavailable:
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        if self._store.faults.lost_responses and request.method != "GET":
            assert request.transport is not None
            request.transport.close()
        return response

    async def read_key(self, request: web.Request) -> web.Response:
        name = request.query["key"]
        item = self._store.items.get(name)
        if item is None:
            return web.Response(status=404)
        return web.json_response({**_row(name, item), "at": self._store.revision})

    async def read_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        names = sorted(k for k in self._store.items if k.startswith(prefix))
        names = [name for name in names if name > after]
        rows = [
            _row(name, self._store.items[name]) for name in names[:MAX_PAGE_ENTRIES]
        ]
        has_more = len(names) > MAX_PAGE_ENTRIES
        body = {"entries": rows, "hasMore": has_more, "at": self._store.revision}
        return web.json_response(body)

    async def watch_prefix(self, request: web.Request) -> web.StreamResponse:
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["waitMs"]) / MS_PER_S
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        if self._store.faults.endless_watches:
            return await self._write_endlessly(request, "endless_watches")
        while True:
            if self._store.faults.unanswered_watches:
                await asyncio.sleep(wait_s + 60.0)
            if after < self._store.compact_revision:
                return web.Response(status=410)
            events = [
                _event(key, item, revision)
                for key, item, revision in self._store.history
                if revision > after and key.startswith(prefix)
            ]
            remaining_s = end - loop.time()
            if events or remaining_s <= 0:
                body = {"events": events, "at": self._store.revision}
                return web.json_response(body)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._store.changed.wait()
            except TimeoutError:
                continue

    async def _write_endlessly(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while getattr(self._store.faults, fault):
            await response.write(b" ")
            await asyncio.sleep(SPACE_INTERVAL_S)
        return response

    async def transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        items = self._store.items
        for row in body["expectedRevision"]:
            item = items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"entries": []}, status=412)
        for row in body["write"]:
            lease = row.get("leaseId", 0)
            if lease and lease not in self._store.leases:
                return web.Response(status=404)
            self._store.put(row["key"], base64.b64decode(row["value"]), lease)
        for key in body["remove"]:
            self._store.remove(key)
        return web.json_response({"revision": self._store.revision})

    async def grant_lease(self, request: web.Request) -> web.Response:
        lease = max(self._store.leases, default=0) + 1
        self._store.leases.add(lease)
        body = await request.json()
        return web.json_response({"leaseId": lease, "ttlMs": body["ttlMs"]})

    async def renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        return web.Response(status=200 if lease in self._store.leases else 404)

    async def end_lease(self, request: web.Request) -> web.StreamResponse:
        self._store.end_lease(int(request.match_info["lease"]))
        if self._store.faults.endless_lease_ends:
            return await self._write_endlessly(request, "endless_lease_ends")
        return web.Response()


def _row(key: str, item: _Item) -> dict[str, object]:
    value = base64.b64encode(item.value).decode("ascii")
    return {
        "key": key,
        "value": value,
        "revision": item.revision,
        "createdAt": item.revision,
        "leaseId": item.lease,
    }


def _event(key: str, item: _Item | None, revision: int) -> dict[str, object]:
    if item is None:
        return {"key": key, "revision": revision, "deleted": True}
    return _row(key, item)
