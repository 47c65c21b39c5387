"""Callers of a soak: each notes what it was told and checks what can be checked now."""

import asyncio

import aiohttp

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import SIGNATURE
from tests.soak.endpoints import PIECES, events_of

KINDS = ("order", "read", "ask")
# A refusal promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Longer than any route's time, in seconds: a caller that waits so long was forgotten.
FORGOTTEN_S = 9.0
# What a caller of a gateway that was disturbed may see.
NO_ANSWER = 0


class Callers:
    """Sends requests one after another, several at once."""

    def __init__(self, world, random, prefix=""):
        self._prefix = prefix
        self._world = world
        self._random = random
        self._serial = 0
        self.orders = []
        self.not_run = []
        self.statuses = {}

    async def run(self, at_once, until):
        await asyncio.gather(*(self._work(until) for _ in range(at_once)))

    async def _work(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._request()
            await asyncio.sleep(0.02 * self._random.random())

    async def _request(self):
        self._serial += 1
        kind = self._random.choice(KINDS)
        request_id = f"{kind}-{self._prefix}{self._serial}"
        gateway = self._world.gateways[self._random.choice(self._world.names)]
        counts = ",".join(str(count) for count in PIECES)
        headers = {names.CHUNK_COUNTS: counts, names.CHUNK_KEY: request_id}
        headers = gateway.headers(request_id, **headers if kind == "ask" else {})
        try:
            async with asyncio.timeout(FORGOTTEN_S):
                status, signature, body = await self._send(gateway, kind, headers)
        except (aiohttp.ClientError, OSError):
            status, signature, body = NO_ANSWER, "", b""
        except TimeoutError:
            has_ended = gateway.process.exit_code is not None
            if not has_ended and gateway.process.name not in self._world.disturbed:
                self._world.violations.append(f"{request_id}: forgotten")
            return
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._check(kind, request_id, status, signature, body)

    async def _send(self, gateway, kind, headers):
        url = f"{gateway.url}/{kind}/"
        async with gateway.session.post(url, headers=headers) as answer:
            body = await answer.read()
            return answer.status, answer.headers.get(names.SIGNATURE, ""), body

    def _check(self, kind, request_id, status, signature, body):
        if kind == "order":
            self.orders.append(request_id)
        if status in PROMISES:
            self.not_run.append(request_id)
        if status in (400, 401, 404, 413):
            self._world.violations.append(f"{request_id}: denied with {status}")
        if status != 200:
            return
        wanted = b"".join(events_of(request_id)) if kind == "ask" else None
        if signature != SIGNATURE or body != (wanted or request_id.encode()):
            self._world.violations.append(f"{request_id}: answered with {body[:80]!r}")
