"""A stand-in of the platform's store: items, watches, transactions and leases."""

import asyncio
import base64
import json
from urllib.parse import parse_qsl, urlsplit

from web import Connection, Request, listen

__all__ = ["Store"]

# A page holds at most so many items, and begins no further one beyond so many bytes.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MS = 1000.0


class Store:
    """
    Holds everything that was written; the operator and servers use ``put``.

    Answers come ``delay_s`` after the state that they show. While it ``is_deaf``, its
    watches hear of no change.
    """

    def __init__(self) -> None:
        self.port = 0
        self.revision = 1
        self.delay_s = 0.0
        self.is_deaf = False
        self._kept_from = 0
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, float] = {}
        self.terms: dict[int, float] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server, self.port = await listen(self._handle)
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item; what is not bytes is written as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("createdAt", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "createdAt": created,
            "leaseId": lease,
        }
        self._note(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Drop the history, and cut the watches that wait."""
        self.history.clear()
        self._kept_from = self.revision
        self._wake()

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease in [k for k, end in self.leases.items() if end < now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)

    async def _handle(self, request: Request, connection: Connection) -> None:
        query = dict(parse_qsl(urlsplit(request.target).query, keep_blank_values=True))
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._answer(request, query, body)
        encoded = json.dumps(answer).encode()
        await asyncio.sleep(self.delay_s)
        await connection.answer(status, {"Content-Type": "application/json"}, encoded)

    async def _answer(
        self, request: Request, query: dict, body: dict
    ) -> tuple[int, object]:
        path = request.path
        now = asyncio.get_running_loop().time()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "at": self.revision})
        if path == "/v1/kv-range":
            names = sorted(k for k in self.items if k.startswith(query["prefix"]))
            names = [name for name in names if name > query.get("after", "")]
            rows = self._page(names)
            more = len(names) > len(rows)
            return 200, {"entries": rows, "hasMore": more, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            lease = len(self.terms) + 1
            self.terms[lease] = body["ttlMs"] / MS
            self.leases[lease] = now + self.terms[lease]
            return 200, {"leaseId": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = now + self.terms[lease]
            return 200, {"ttlMs": int(self.terms[lease] * MS)}
        self._end(lease)
        return 200, {}

    def _page(self, names: list[str]) -> list[dict]:
        rows: list[dict] = []
        size = 0
        for name in names[:PAGE_ITEMS]:
            if size >= PAGE_BYTES:
                break
            rows.append(self.items[name])
            size += len(rows[-1]["value"])
        return rows

    async def _watch(self, query: dict) -> tuple[int, object]:
        prefix, after = query["prefix"], int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["waitMs"]) / MS
        while True:
            if after < self._kept_from:
                return 410, {}
            heard = [] if self.is_deaf else self.history
            events = [
                event
                for event in heard
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                at = after if self.is_deaf else self.revision
                return 200, {"events": events, "at": at}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, object]:
        for row in body["expectedRevision"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"entries": []}
        for row in body["write"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("leaseId", 0) and row["leaseId"] not in self.leases:
                return 404, {}
        for row in body["write"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("leaseId", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}
