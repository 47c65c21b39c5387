"""Clients of one zone upload 2.5 times as many large bodies at a time as before."""

import asyncio
import sys
from pathlib import Path

from review.common2.http import Message, encode, read_body, read_head
from review.common2.memory import enforce_memory
from review.common2.world import BOUNDS, Gateway, Server, World, answer, route, run_case

ZONES = {"cluj-a": "transilvania", "bucuresti-a": "muntenia", "iasi-a": "moldova-reg"}
BODY_BYTES = 4_194_304
USUAL_UPLOADS = 16
# burst, x = 2.5; the site has up to 2.6.
BURST_UPLOADS = 40
WAVES = 4
BURST_WAVE = 2
WAVE_INTERVAL_S = 3.0
WORK_S = 1.0
OPEN_INTERVAL_S = 0.05
ALLOWED_LOST = 3


async def work(server: Server, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answer after a second of work."""
    await asyncio.sleep(WORK_S)
    writer.write(answer(server, request, b"done"))


class Client:
    """A client with a kept connection, which it opens anew if it was closed."""

    def __init__(self, world: World, gateway: Gateway) -> None:
        self._world, self._gateway = world, gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, body: bytes) -> tuple[str, int]:
        """Send a request; return its id and status, 0 if the connection ended."""
        headers = self._world.headers(deadline_ms=15000)
        request_id = headers["X-Amaranthtally-Request-Id"]
        status = 0
        try:
            if self._reader is None or self._writer is None:
                host, _, port = self._gateway.front.rpartition(":")
                streams = await asyncio.open_connection(host, int(port))
                self._reader, self._writer = streams
            self._writer.write(encode("POST /order/1 HTTP/1.1", headers, body))
            response = await read_head(self._reader)
            if response is not None:
                await read_body(self._reader, response)
                status = response.status if response.is_complete else 0
        except OSError:
            pass
        if not status:
            self.close()
        self._world.record.note(f"{request_id}, {len(body)} B: {status}")
        return request_id, status

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether the requests that were passed on have been answered."""
    for zone in ZONES:
        await world.add_server(f"i-{zone}", "dispatch", zone, work)
    orders = route("order", "non_idempotent", "dispatch", timeoutMs=15000)
    world.configure(1, [orders])
    await world.add_gateways(ZONES, 1)
    guards = [
        asyncio.create_task(enforce_memory(world, gateway))
        for gateway in world.gateways.values()
    ]
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 1.0)
    gateway = next(iter(world.gateways.values()))
    clients = [Client(world, gateway) for _ in range(BURST_UPLOADS)]
    opening = []
    for client in clients:
        opening.append(asyncio.create_task(client.send(b"small")))
        await asyncio.sleep(OPEN_INTERVAL_S)
    await asyncio.gather(*opening)
    ended: list[tuple[str, int]] = []
    for wave in range(WAVES):
        is_burst = has_trouble and wave == BURST_WAVE
        count = BURST_UPLOADS if is_burst else USUAL_UPLOADS
        world.record.note(f"{count} uploads at a time")
        body = bytes(BODY_BYTES)
        ended += await asyncio.gather(*(c.send(body) for c in clients[:count]))
        await asyncio.sleep(WAVE_INTERVAL_S)
    for guard in guards:
        guard.cancel()
    for client in clients:
        client.close()
    passed_on = {
        request.headers["x-amaranthtally-request-id"]
        for server in world.servers.values()
        for _, request in server.heads
    }
    lost = [i for i, status in ended if not status and i in passed_on]
    world.record.note(f"passed on and never answered: {len(lost)} {' '.join(lost)}")
    return len(lost) <= ALLOWED_LOST


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
