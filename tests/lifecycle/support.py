"""A fake sidecar that misbehaves, and callers that check what they receive."""

import asyncio
import json
import secrets
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

import capnp
import msgspec

from amaranthtally.standins.deployment import open_deployment
from amaranthtally.wire import (
    CallId,
    EntryConnections,
    HelloReply,
    Load,
    SettingsDelta,
    StageReply,
    Status,
    serve_sidecar,
)
from amaranthtally.wire.codec import read_call
from amaranthtally.wire.loop import run
from amaranthtally.wire.messages import StreamPart
from amaranthtally.wire.server import _SidecarServer
from amaranthtally.wire.stream_codec import write_parts
from tests.support import TEST_TIMEOUT_S, plan

CHUNKS = 12


def run_with_capnp(work):
    """Run a scenario on the loop of the system's processes, bounded in time."""
    run(asyncio.wait_for(_in_kj(work), TEST_TIMEOUT_S))


async def _in_kj(work):
    async with capnp.kj_loop():
        await work


class FakeSidecar:
    """Answers honestly: the output echoes the input, streams are numbered."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.calls = []
        self.incarnation = secrets.randbits(32) | 1

    async def hello(self, entry, revision, fetch):
        return HelloReply(self.endpoint, self.load())

    def load(self):
        return Load(incarnation=self.incarnation, limit=8)

    def changes_since(self, revision):
        return SettingsDelta(0, ())

    def announce_revision(self, revision, fetch):
        return 0

    async def run(self, call, on_chunk):
        self.calls.append(call)
        if call.streaming:
            for offset in range(call.resume_offset, CHUNKS):
                await on_chunk(offset, chunk_text(call, offset))
        return self.reply(call)

    def reply(self, call):
        output = msgspec.json.encode({"echo": json.loads(call.input)["input"]})
        if call.streaming:
            output = msgspec.json.encode({"chunks": CHUNKS})
        return StageReply(call.id, Status.FINISHED, output, load=self.load())


class SwappingSidecar(FakeSidecar):
    """Gives the answers of each two calls to the other one."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self._waiting = None

    async def run(self, call, on_chunk):
        self.calls.append(call)
        if self._waiting is None:
            self._waiting = (call, asyncio.get_running_loop().create_future())
            return await self._swapped(call, self._waiting[1])
        (other, answer), self._waiting = self._waiting, None
        answer.set_result(self.reply(call))
        return self.reply(other)

    async def _swapped(self, call, answer):
        # An odd call out gets a stranger's id, so that none waits for ever.
        try:
            return await asyncio.wait_for(asyncio.shield(answer), 0.5)
        except TimeoutError:
            self._waiting = None
            return replace(self.reply(call), id=CallId("nobody", 0, 1))


class RepeatingSidecar(FakeSidecar):
    """Answers every call with the first call's answer."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self._first = None

    async def run(self, call, on_chunk):
        honest = await super().run(call, on_chunk)
        self._first = self._first or honest
        return self._first


class LateSidecar(FakeSidecar):
    """
    Answers a first question after its time is over, whether or not it is cancelled.

    Any other question waits until all the first ones have been answered.
    """

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self.asked_first = set()
        self.answered_late = 0
        self._late = asyncio.Event()

    async def run(self, call, on_chunk):
        text = json.loads(call.input)["input"]
        if not text.startswith("first"):
            await self._late.wait()
            return await super().run(call, on_chunk)
        self.asked_first.add(text)
        await _sleep_whole(call.remaining_s + 0.5 / len(self.asked_first))
        self.answered_late += 1
        if self.answered_late == len(self.asked_first):
            self._late.set()
        return await super().run(call, on_chunk)


async def _sleep_whole(seconds):
    """Sleep to the end, also where the caller has cancelled the call."""
    sleep = asyncio.ensure_future(asyncio.sleep(seconds))
    while not sleep.done():
        with suppress(asyncio.CancelledError):
            await asyncio.shield(sleep)


class MixingSidecar(FakeSidecar):
    """Sends each stream's chunks as another call's, twice and out of order."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self.streams = []

    async def write_to_others(self, call, stream, entry):
        """Write this call's chunks where they don't belong."""
        own = len(self.streams)
        self.streams.append(stream)
        await asyncio.sleep(0.05)
        wrong = self.streams[(own + 1) % len(self.streams)]
        for offset in (1, 0, 0, 2, 1):
            request = entry.chunks_request()
            part = StreamPart(wrong, call.id, offset, [chunk_text(call, offset)])
            write_parts(request, [part])
            with suppress(capnp.KjException):
                await request.send()


class _MixingServer(_SidecarServer):
    async def hello(self, entry, revision, settings, _context, **_):
        self.entry = settings
        await super().hello(entry, revision, settings, _context)

    async def run(self, call, stream, _context, **_):
        await self._handler.write_to_others(read_call(call), stream, self.entry)
        await super().run(call, stream, _context)


@asynccontextmanager
async def serve_fake(handler):
    """Serve a fake sidecar and yield its port."""
    if not isinstance(handler, MixingSidecar):
        async with serve_sidecar(handler, "127.0.0.1", 0) as port:
            yield port
        return

    async def accept(stream):
        server = capnp.TwoPartyServer(
            stream, bootstrap=_MixingServer(handler, EntryConnections())
        )
        await server.on_disconnect()

    listener = await capnp.AsyncIoStream.create_server(accept, "127.0.0.1", 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()


def chunk_text(call, offset):
    """Return the words that belong to this call and no other."""
    return f"{json.loads(call.input)['input']}:{offset} "


def whole_text(text):
    """Return the text that a caller of ``text`` must receive."""
    return "".join(f"{text}:{offset} " for offset in range(CHUNKS))


@asynccontextmanager
async def fake_deployment(*handlers, streams=False, deadline_ms=4000, **options):
    """Open an entry before fake sidecars of one pool; yields the deployment."""
    small = msgspec.structs.replace(plan(), pools=[], settings={})
    pipeline = {
        "stages": ["echo"],
        "deadline_ms": deadline_ms,
        "stage.echo.pool": "fake",
        "stage.echo.streams": streams,
    }
    async with open_deployment(small, **options) as deployment:
        await serve_and_register(deployment, *handlers, pipeline=pipeline)
        yield deployment


async def serve_and_register(deployment, *handlers, pipeline):
    """Serve fake sidecars until the deployment ends; register them in the tree."""
    firm = {}
    for handler in handlers:
        port = await deployment._stack.enter_async_context(serve_fake(handler))
        firm[f"endpoint.{handler.endpoint}"] = {
            "pool": "fake",
            "host": f"host-{handler.endpoint}",
            "region": deployment.plan.regions[0].name,
            "data_centre": deployment.plan.regions[0].data_centres[0],
            "address": f"127.0.0.1:{port}",
        }
    change = await deployment.apply({"firm": firm, "pipeline:echo": pipeline})
    for number in range(len(deployment.entries)):
        await deployment.wait_revision(change["number"], number)


def log_lines(process, event):
    """Return the log lines of an event."""
    return [line for line in process.lines if f"event={event} " in line]
