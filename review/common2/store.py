"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

MS_PER_S = 1000.0
PAGE_ENTRIES = 500
EXPIRY_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Item:
    """A stored value and the revision of its last change."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store:
    """Keys with revisions, watches and leases; listens at one address a gateway."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[tuple[str, Item | None, int]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.watching: dict[str, int] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._waiting: dict[int, web.Request] = {}
        self._runners: list[web.AppRunner] = []
        self._expiry = asyncio.create_task(self._expire())
        self.on_call: Callable[[str, str], None] = lambda name, call: None

    async def listen(self, name: str, host: str) -> str:
        """Serve the store to the gateway of this name; return the address."""
        app = web.Application()
        app["name"] = name
        router = app.router
        router.add_get("/v1/kv-key", self._read_key)
        router.add_get("/v1/kv-range", self._read_range)
        router.add_get("/v1/kv-watch", self._watch)
        router.add_post("/v1/kv-txn", self._transact)
        router.add_post("/v1/kv-lease", self._grant)
        router.add_post("/v1/kv-keep/{lease}", self._renew)
        router.add_delete("/v1/kv-lease-end/{lease}", self._end)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, 0).start()
        self._runners.append(runner)
        address, port = runner.addresses[0][:2]
        return f"{address}:{port}"

    async def close(self) -> None:
        """Stop serving."""
        self._expiry.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key, as the operator or a server does; return the revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(raw, self.revision, created, lease)
        self.items[key] = item
        self._note(key, item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def cut_watches(self) -> int:
        """Cut the watches that wait; return their number."""
        waiting = list(self._waiting.values())
        for request in waiting:
            if request.transport is not None:
                request.transport.abort()
        return len(waiting)

    def _note(self, key: str, item: Item | None) -> None:
        self.history.append((key, item, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for lease, (until, _) in list(self.leases.items()):
                if until <= loop.time():
                    self._drop(lease)

    def _drop(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _read_key(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "get")
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**_row(key, item), "at": self.revision})

    async def _read_range(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "list")
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [_row(key, self.items[key]) for key in keys[:PAGE_ENTRIES]]
        has_more = len(keys) > PAGE_ENTRIES
        body = {"entries": rows, "hasMore": has_more, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        name = request.app["name"]
        self.on_call(name, "watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query["waitMs"]) / MS_PER_S
        self.watching[name] = self.watching.get(name, 0) + 1
        self._waiting[id(request)] = request
        try:
            while True:
                events = [
                    _event(key, item, revision)
                    for key, item, revision in self.history
                    if revision > after and key.startswith(prefix)
                ]
                left_s = end - loop.time()
                if events or left_s <= 0:
                    return web.json_response({"events": events, "at": self.revision})
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue
        finally:
            self.watching[name] -= 1
            self._waiting.pop(id(request), None)

    async def _transact(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "transact")
        body = await request.json()
        for row in body["expectedRevision"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"entries": []}, status=412)
        for row in body["write"]:
            lease = row.get("leaseId", 0)
            if lease and lease not in self.leases:
                return web.json_response({}, status=404)
        for row in body["write"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("leaseId", 0))
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "grant")
        ttl_ms = (await request.json())["ttlMs"]
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._keep(lease, ttl_ms / MS_PER_S)
        return web.json_response({"leaseId": lease, "ttlMs": ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "renew")
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        self._keep(lease, self.leases[lease][1])
        return web.json_response({})

    async def _end(self, request: web.Request) -> web.Response:
        self.on_call(request.app["name"], "end")
        self._drop(int(request.match_info["lease"]))
        return web.json_response({})

    def _keep(self, lease: int, ttl_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (now + ttl_s, ttl_s)


def _row(key: str, item: Item) -> dict[str, object]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "revision": item.revision,
        "createdAt": item.created,
        "leaseId": item.lease,
    }


def _event(key: str, item: Item | None, revision: int) -> dict[str, object]:
    if item is None:
        return {"key": key, "revision": revision, "deleted": True}
    return _row(key, item)
