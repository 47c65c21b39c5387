"""Callers of a soak run, which check each response and count its status."""

import asyncio

import aiohttp

from amaranthtally.adapter import headers as header_names
from tests.gateway.fake_endpoint import SIGNATURE
from tests.soak.endpoints import PIECES, events_of

KINDS = ("order", "read", "ask")
# Statuses of refusals, which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time within which a gateway without a process fault must respond, in seconds. It is
# longer than the time-out of any route.
RESPONSE_TIMEOUT_S = 9.0
# Counted instead of a status when the connection failed, which faults may cause.
NO_RESPONSE = 0


class Callers:
    """
    Sends random requests from several concurrent callers.

    ``orders`` and ``not_run`` hold request ids: of all orders, and of all requests
    that were refused without a run.
    """

    def __init__(self, run, random, prefix=""):
        self._prefix = prefix
        self._soak_run = run
        self._random = random
        self._serial = 0
        self.orders = []
        self.not_run = []
        self.statuses = {}

    async def run(self, concurrency, end_at):
        await asyncio.gather(*(self._send_requests(end_at) for _ in range(concurrency)))

    async def _send_requests(self, end_at):
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await self._request()
            await asyncio.sleep(0.02 * self._random.random())

    async def _request(self):
        self._serial += 1
        kind = self._random.choice(KINDS)
        request_id = f"{kind}-{self._prefix}{self._serial}"
        gateway = self._soak_run.gateways[self._random.choice(self._soak_run.names)]
        counts = ",".join(str(count) for count in PIECES)
        headers = {
            header_names.CHUNK_COUNTS: counts,
            header_names.CHUNK_KEY: request_id,
        }
        headers = gateway.headers(request_id, **headers if kind == "ask" else {})
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, signature, body = await self._send(gateway, kind, headers)
        except (aiohttp.ClientError, OSError):
            status, signature, body = NO_RESPONSE, "", b""
        except TimeoutError:
            has_ended = gateway.process.exit_code is not None
            if not has_ended and gateway.process.name not in self._soak_run.faulted:
                self._soak_run.violations.append(f"{request_id}: no response")
            return
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._check(kind, request_id, status, signature, body)

    async def _send(self, gateway, kind, headers):
        url = f"{gateway.url}/{kind}/"
        async with gateway.session.post(url, headers=headers) as response:
            body = await response.read()
            return (
                response.status,
                response.headers.get(header_names.SIGNATURE, ""),
                body,
            )

    def _check(self, kind, request_id, status, signature, body):
        if kind == "order":
            self.orders.append(request_id)
        if status in NOT_RUN_STATUSES:
            self.not_run.append(request_id)
        if status in (400, 401, 404, 413):
            self._soak_run.violations.append(f"{request_id}: rejected with {status}")
        if status != 200:
            return
        expected_stream = b"".join(events_of(request_id)) if kind == "ask" else None
        if signature != SIGNATURE or body != (expected_stream or request_id.encode()):
            self._soak_run.violations.append(
                f"{request_id}: wrong response {body[:80]!r}"
            )
