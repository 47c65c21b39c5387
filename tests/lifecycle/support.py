"""Fake sidecars, most of them faulty, and deployments of an entry with them."""

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
from amaranthtally.wire.peer_listener import PeerLimits, listen_for_peers
from amaranthtally.wire.server import _SidecarServer
from amaranthtally.wire.stream_codec import write_parts
from tests.support import TEST_TIMEOUT_S, plan

CHUNKS = 12


def run_with_capnp(work):
    """Run a scenario on the event loop of the daemons with a time limit."""
    run(asyncio.wait_for(_run_in_kj_loop(work), TEST_TIMEOUT_S))


async def _run_in_kj_loop(work):
    async with capnp.kj_loop():
        await work


class FakeSidecar:
    """Replies correctly: the output echoes the input; a stream has numbered chunks."""

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
    """Swaps the replies of every two calls."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self._waiting_call = None

    async def run(self, call, on_chunk):
        self.calls.append(call)
        if self._waiting_call is None:
            self._waiting_call = (call, asyncio.get_running_loop().create_future())
            return await self._wait_for_swap(call, self._waiting_call[1])
        (earlier_call, reply_future), self._waiting_call = self._waiting_call, None
        reply_future.set_result(self.reply(call))
        return self.reply(earlier_call)

    async def _wait_for_swap(self, call, reply_future):
        # A call without a partner gets a reply with an unknown id after 0.5 s, so that
        # it doesn't wait forever.
        try:
            return await asyncio.wait_for(asyncio.shield(reply_future), 0.5)
        except TimeoutError:
            self._waiting_call = None
            return replace(self.reply(call), id=CallId("nobody", 0, 1))


class RepeatingSidecar(FakeSidecar):
    """Replies to every call with the first call's reply."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self._first_reply = None

    async def run(self, call, on_chunk):
        correct_reply = await super().run(call, on_chunk)
        self._first_reply = self._first_reply or correct_reply
        return self._first_reply


class LateSidecar(FakeSidecar):
    """
    Replies to calls whose input starts with "first" only after their time limit.

    It does so even if the call is cancelled. All other calls wait until every "first"
    call has got its reply.
    """

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self.first_inputs = set()
        self.late_replies = 0
        self._late_replies_sent = asyncio.Event()

    async def run(self, call, on_chunk):
        text = json.loads(call.input)["input"]
        if not text.startswith("first"):
            await self._late_replies_sent.wait()
            return await super().run(call, on_chunk)
        self.first_inputs.add(text)
        await _sleep_uncancelled(call.remaining_s + 0.5 / len(self.first_inputs))
        self.late_replies += 1
        if self.late_replies == len(self.first_inputs):
            self._late_replies_sent.set()
        return await super().run(call, on_chunk)


async def _sleep_uncancelled(seconds):
    """Sleep the full time, even if the task is cancelled."""
    sleep = asyncio.ensure_future(asyncio.sleep(seconds))
    while not sleep.done():
        with suppress(asyncio.CancelledError):
            await asyncio.shield(sleep)


class MixingSidecar(FakeSidecar):
    """Sends chunks of each stream to another one, repeated and out of order."""

    def __init__(self, endpoint):
        super().__init__(endpoint)
        self.streams = []

    async def send_misdirected_chunks(self, call, stream, entry):
        """Send chunks of this call to the stream of another call."""
        index = len(self.streams)
        self.streams.append(stream)
        await asyncio.sleep(0.05)
        wrong_stream = self.streams[(index + 1) % len(self.streams)]
        for offset in (1, 0, 0, 2, 1):
            request = entry.chunks_request()
            part = StreamPart(wrong_stream, call.id, offset, [chunk_text(call, offset)])
            write_parts(request, [part])
            with suppress(capnp.KjException):
                await request.send()


class _MixingServer(_SidecarServer):
    async def hello(self, entry, revision, settings, _context, **_):
        self.entry = settings
        await super().hello(entry, revision, settings, _context)

    async def run(self, call, stream, _context, **_):
        await self._handler.send_misdirected_chunks(read_call(call), stream, self.entry)
        await super().run(call, stream, _context)


@asynccontextmanager
async def serve_fake(handler):
    """Serve a fake sidecar and yield its port."""
    if not isinstance(handler, MixingSidecar):
        async with serve_sidecar(handler, "127.0.0.1", 0) as port:
            yield port
        return

    async def serve(stream, connection):
        server = capnp.TwoPartyServer(
            stream, bootstrap=_MixingServer(handler, EntryConnections(), connection)
        )
        await server.on_disconnect()

    async with listen_for_peers(serve, "127.0.0.1", 0, PeerLimits()) as port:
        yield port


def chunk_text(call, offset):
    """Return the text of a chunk, which is different for each call."""
    return f"{json.loads(call.input)['input']}:{offset} "


def complete_text(text):
    """Return the complete text of a stream whose input is ``text``."""
    return "".join(f"{text}:{offset} " for offset in range(CHUNKS))


@asynccontextmanager
async def fake_deployment(*handlers, streams=False, deadline_ms=4000, **options):
    """Open a deployment of an entry with fake sidecars, all in one pool."""
    base_plan = msgspec.structs.replace(plan(), pools=[], settings={})
    pipeline = {
        "stages": ["echo"],
        "deadline_ms": deadline_ms,
        "stage.echo.pool": "fake",
        "stage.echo.streams": streams,
    }
    async with open_deployment(base_plan, **options) as deployment:
        await serve_and_register(deployment, *handlers, pipeline=pipeline)
        yield deployment


async def serve_and_register(deployment, *handlers, pipeline):
    """Serve fake sidecars until the deployment ends, and register their endpoints."""
    firm_settings = {}
    for handler in handlers:
        port = await deployment._stack.enter_async_context(serve_fake(handler))
        firm_settings[f"endpoint.{handler.endpoint}"] = {
            "pool": "fake",
            "host": f"host-{handler.endpoint}",
            "region": deployment.plan.regions[0].name,
            "data_centre": deployment.plan.regions[0].data_centres[0],
            "address": f"127.0.0.1:{port}",
        }
    change = await deployment.apply({"firm": firm_settings, "pipeline:echo": pipeline})
    for number in range(len(deployment.entries)):
        await deployment.wait_revision(change["number"], number)


def log_lines(process, event):
    """Return a process's log lines of an event."""
    return [line for line in process.lines if f"event={event} " in line]
