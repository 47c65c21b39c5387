"""Callers of a soak run, which check each response and count its status."""

import asyncio

import aiohttp

from amaranthtally.adapter import headers as header_names
from tests.gateway.fake_endpoint import SIGNATURE
from tests.soak.endpoints import PIECES, events_of
from tests.soak.soak_run import VERSIONS

KINDS = ("order", "read", "ask")
# Statuses of refusals, which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time within which a gateway without a process fault must respond, in seconds. It is
# longer than the time-out of any route.
RESPONSE_TIMEOUT_S = 9.0
HTTP_OK = 200
EVENT_END = b"\n\n"
# How often a caller takes a broken stream up, at most.
MAX_RESUMPTIONS = 2
# Counted instead of a status when the connection failed, which faults may cause.
NO_RESPONSE = 0


class _Stream:
    """A stream as its caller has received it, over all tries."""

    def __init__(self, request_id):
        self._request_id = request_id
        self.received = bytearray()
        self.possible = tuple(
            b"".join(events_of(request_id, version)) for version in set(VERSIONS)
        )

    @property
    def headers(self):
        counts = ",".join(str(count) for count in PIECES)
        headers = {
            header_names.CHUNK_COUNTS: counts,
            header_names.CHUNK_KEY: self._request_id,
        }
        if self.received:
            events = self.received.count(EVENT_END)
            headers[header_names.LAST_EVENT_ID] = str(events)
            headers[header_names.RESUMED_REQUEST] = self._request_id
        return headers

    def keep_whole_events(self):
        """Drop an event that broke off; return whether any is left."""
        whole, end, _ = bytes(self.received).rpartition(EVENT_END)
        self.received = bytearray(whole + end)
        return bool(self.received)


class Callers:
    """
    Sends random requests from several concurrent callers.

    ``orders``, ``not_run`` and ``unanswered`` hold request ids: of all orders, of all
    requests that were refused without a run, and of those whose connection failed.
    """

    def __init__(self, run, random, prefix=""):
        self._prefix = prefix
        self._soak_run = run
        self._random = random
        self._serial = 0
        self.orders = []
        self.not_run = []
        self.unanswered = []
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
        stream = _Stream(request_id) if kind == "ask" else None
        tries = 1 + MAX_RESUMPTIONS if stream else 1
        for number in range(tries):
            # Each try has an id of its own; that of the first names the stream.
            own_id = f"{request_id}-{number}" if number else request_id
            if not await self._try(kind, own_id, stream):
                return

    async def _try(self, kind, request_id, stream):
        """Send a request; return whether its stream broke off and may be taken up."""
        gateway = self._soak_run.gateways[self._random.choice(self._soak_run.names)]
        self._soak_run.sent_to[request_id] = gateway
        headers = gateway.headers(request_id, **(stream.headers if stream else {}))
        body = stream.received if stream else bytearray()
        before = len(body)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, signature = await self._send(gateway, kind, headers, body)
        except (aiohttp.ClientError, OSError):
            self._count(NO_RESPONSE)
            self.unanswered.append(request_id)
            if kind == "order":
                self.orders.append(request_id)
            return stream is not None and stream.keep_whole_events()
        except TimeoutError:
            has_ended = gateway.process.exit_code is not None
            if not has_ended and gateway.process.name not in self._soak_run.faulted:
                self._soak_run.violations.append(f"{request_id}: no response")
            return False
        if stream is not None and status != HTTP_OK:
            del body[before:]
        self._count(status)
        self._check(kind, request_id, status, signature, bytes(body), stream)
        return False

    def _count(self, status):
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def _send(self, gateway, kind, headers, body):
        url = f"{gateway.url}/{kind}/"
        async with gateway.session.post(url, headers=headers) as response:
            async for data in response.content.iter_any():
                body += data
            return response.status, response.headers.get(header_names.SIGNATURE, "")

    def _check(self, kind, request_id, status, signature, body, stream):
        if kind == "order":
            self.orders.append(request_id)
        if status in NOT_RUN_STATUSES:
            self.not_run.append(request_id)
        if status in (400, 401, 404, 413):
            self._soak_run.violations.append(f"{request_id}: rejected with {status}")
        if status != 200:
            return
        expected = stream.possible if stream else (request_id.encode(),)
        if signature != SIGNATURE or body not in expected:
            self._soak_run.violations.append(
                f"{request_id}: wrong response {body[:80]!r}"
            )
