"""Polling of the platform's list of hosts."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
from result import Err

from amaranthtally.platform import HostList
from amaranthtally.standins.deployment import STANDINS
from amaranthtally.standins.process import start_process
from tests.support import run_async


class PolledList:
    """A list polled from a platform stand-in, and the status of each response."""

    def __init__(self, session, url, statuses):
        self.statuses = statuses
        self.hosts = HostList(session, url)
        self._session = session
        self._url = url

    async def mark(self, host, state):
        """Set a host's state in the platform's list."""
        async with self._session.put(f"{self._url}/_hosts/{host}/{state}") as answer:
            assert answer.status == 200

    async def set_outage(self, outage):
        """Make the platform refuse all calls, or none."""
        knobs = {"outage": outage}
        async with self._session.post(f"{self._url}/_knobs", json=knobs) as answer:
            assert answer.status == 200


@asynccontextmanager
async def open_polled_list():
    """Yield an empty polled list."""
    async with AsyncExitStack() as stack:
        knobs = ("--set", "host_lag=0")
        process = await start_process("platform", STANDINS, "platform", *knobs)
        stack.push_async_callback(process.kill)
        statuses = []

        async def record_status(_session, _context, params):
            if params.url.path == "/v1/hosts":
                statuses.append(params.response.status)

        trace = aiohttp.TraceConfig()
        trace.on_request_end.append(record_status)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(trace_configs=[trace])
        )
        url = f"http://127.0.0.1:{process.ports['port']}"
        yield PolledList(session, url, statuses)


def test_an_unchanged_list_is_not_sent_again():
    """
    Guards against sending the whole list at each read. 750 entries read a list of
    11,000 hosts every five seconds, which costs the platform's links 100 KB a second
    for each entry. A leaving host must still be noticed after reads without a change.
    """

    async def scenario():
        async with open_polled_list() as polled:
            await polled.mark("host-1", "leaving")
            await polled.mark("host-2", "live")
            for _ in range(3):
                answer = await polled.hosts.read_leaving()
                assert answer.ok_value == {"host-1"}
            await polled.mark("host-2", "leaving")
            answer = await polled.hosts.read_leaving()
            assert answer.ok_value == {"host-1", "host-2"}
            assert polled.statuses == [200, 304, 304, 200]

    run_async(scenario())


def test_an_outage_is_an_error_and_not_an_empty_list():
    """
    Guards against hiding an outage of the platform. If a failed read returned an empty
    list, leaving hosts would get new work until the next read; if it returned the known
    list, the outage would go unnoticed.
    """

    async def scenario():
        async with open_polled_list() as polled:
            await polled.mark("host-1", "leaving")
            await polled.hosts.read_leaving()
            await polled.set_outage(True)
            assert isinstance(await polled.hosts.read_leaving(), Err)
            await polled.set_outage(False)
            answer = await polled.hosts.read_leaving()
            assert answer.ok_value == {"host-1"}
            assert polled.statuses == [200, 503, 304]

    run_async(scenario())
