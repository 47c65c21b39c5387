"""Reserved ports, on which a process can listen again after a restart."""

import socket
from contextlib import ExitStack

import pytest

from amaranthtally.standins.deployment import open_deployment
from amaranthtally.standins.ports import LOOPBACK, reserve_port
from tests.support import plan, run_async

LISTENERS = 200


def listen(port):
    """Return a socket that listens as asyncio's servers do."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen()
    return listener


def is_free(port):
    """Return whether another process could bind a port."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


def test_stopped_process_keeps_its_ports():
    """Guards against failed restarts because another process was assigned the port."""

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


def test_reserved_port_accepts_successive_listeners():
    with reserve_port() as port:
        for _ in range(2):
            with listen(port) as first:
                assert first.getsockname()[1] == port
                with pytest.raises(OSError, match="in use"):
                    listen(port)


def test_kernel_does_not_assign_a_reserved_port():
    with ExitStack() as stack:
        port = stack.enter_context(reserve_port())
        sockets = [stack.enter_context(listen(0)) for _ in range(LISTENERS)]
        for listener in sockets[: LISTENERS // 2]:
            caller = socket.create_connection(listener.getsockname())
            sockets.append(stack.enter_context(caller))
        assert port not in {listener.getsockname()[1] for listener in sockets}


def test_port_is_free_after_its_reservation():
    with reserve_port() as port:
        assert not is_free(port)
    assert is_free(port)
