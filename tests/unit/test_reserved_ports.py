"""Ports that a process comes back to."""

import socket
from contextlib import ExitStack

import pytest

from amaranthtally.standins.deployment import open_deployment
from amaranthtally.standins.ports import LOOPBACK, reserve_port
from tests.support import plan, run_async

TAKERS = 200


def listen(port):
    """Return a socket that listens as asyncio's servers do."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind((LOOPBACK, port))
    found.listen()
    return found


def is_free(port):
    """Tell whether a stranger can take a port."""
    with socket.socket() as stranger:
        try:
            stranger.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


def test_a_process_that_is_down_keeps_its_port():
    """A restarted process cannot listen: another one was given its port."""

    async def scenario():
        async with open_deployment(plan(), servers=1) as deployment:
            pair = next(iter(deployment.endpoints.values()))
            entry = deployment.entries[0]
            ports = [*pair.sidecar.ports.values(), *entry.ports.values()]
            ports.append(pair.service.ports["port"])
            for process in (pair.sidecar, pair.service, entry):
                await process.kill()
            assert [port for port in ports if is_free(port)] == []

    run_async(scenario())


def test_a_reserved_port_takes_one_process_after_another():
    with reserve_port() as port:
        for _ in range(2):
            with listen(port) as first:
                assert first.getsockname()[1] == port
                with pytest.raises(OSError, match="in use"):
                    listen(port)


def test_a_reserved_port_is_given_to_nobody_who_asks_for_any():
    with ExitStack() as stack:
        port = stack.enter_context(reserve_port())
        takers = [stack.enter_context(listen(0)) for _ in range(TAKERS)]
        for taker in takers[: TAKERS // 2]:
            caller = socket.create_connection(taker.getsockname())
            takers.append(stack.enter_context(caller))
        assert port not in {taker.getsockname()[1] for taker in takers}


def test_a_port_is_free_again_after_its_reservation():
    with reserve_port() as port:
        assert not is_free(port)
    assert is_free(port)
