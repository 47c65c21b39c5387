"""The platform's list of hosts, read again and again."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
from result import Err

from amaranthtally.platform import HostList
from amaranthtally.standins.deployment import STANDINS
from amaranthtally.standins.process import start_process
from tests.support import run_async


class Reading:
    """A list read from a platform stand-in, and what each read was answered."""

    def __init__(self, session, url, statuses):
        self.statuses = statuses
        self.hosts = HostList(session, url)
        self._session = session
        self._url = url

    async def mark(self, host, state):
        """Let the platform list a host."""
        async with self._session.put(f"{self._url}/_hosts/{host}/{state}") as answer:
            assert answer.status == 200

    async def set_outage(self, outage):
        """Let the platform refuse every call, or none."""
        knobs = {"outage": outage}
        async with self._session.post(f"{self._url}/_knobs", json=knobs) as answer:
            assert answer.status == 200


@asynccontextmanager
async def open_reading():
    """Yield a reading of an empty list."""
    async with AsyncExitStack() as stack:
        knobs = ("--set", "host_lag=0")
        process = await start_process("platform", STANDINS, "platform", *knobs)
        stack.push_async_callback(process.kill)
        statuses = []

        async def note(_session, _context, params):
            if params.url.path == "/v1/hosts":
                statuses.append(params.response.status)

        trace = aiohttp.TraceConfig()
        trace.on_request_end.append(note)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(trace_configs=[trace])
        )
        url = f"http://127.0.0.1:{process.ports['port']}"
        yield Reading(session, url, statuses)


def test_an_unchanged_list_is_not_sent_again():
    """
    Every five seconds 750 entries read a list of 11,000 hosts, of which nothing has
    changed: the platform's links carry 100 KB a second for each entry. Yet a host
    that leaves must be seen, also after reads that brought nothing.
    """

    async def scenario():
        async with open_reading() as reading:
            await reading.mark("host-1", "leaving")
            await reading.mark("host-2", "live")
            for _ in range(3):
                found = await reading.hosts.read_leaving()
                assert found.ok_value == {"host-1"}
            await reading.mark("host-2", "leaving")
            found = await reading.hosts.read_leaving()
            assert found.ok_value == {"host-1", "host-2"}
            assert reading.statuses == [200, 304, 304, 200]

    run_async(scenario())


def test_an_outage_is_no_empty_list():
    """
    The platform fails for a while. Taken for an empty list, a host that leaves gets
    new work until the next read; taken for the known one, nobody learns of it.
    """

    async def scenario():
        async with open_reading() as reading:
            await reading.mark("host-1", "leaving")
            await reading.hosts.read_leaving()
            await reading.set_outage(True)
            assert isinstance(await reading.hosts.read_leaving(), Err)
            await reading.set_outage(False)
            found = await reading.hosts.read_leaving()
            assert found.ok_value == {"host-1"}
            assert reading.statuses == [200, 503, 304]

    run_async(scenario())
