"""Withdrawals of jobs and waits for room, passed between gateways over loopback."""

import asyncio
from math import inf
from types import SimpleNamespace

import capnp

from amaranthtally.policy import Piece, PieceReport
from amaranthtally.wire.gateway_client import connect_gateway
from amaranthtally.wire.gateway_server import serve_gateway


def call(handler, use):
    """Return what a client's call of a gateway with this handler returns."""

    async def run():
        async with (
            capnp.kj_loop(),
            serve_gateway(handler, "127.0.0.1", 0) as port,
        ):
            client = await connect_gateway("127.0.0.1", port, 1.0, 1.0)
            try:
                return await use(client)
            finally:
                client.close()

    return asyncio.run(run())


def test_a_wait_for_room_is_told_from_none():
    """Guards against a pool that is taken to report its speed and does not."""
    sent = [None, 0.0, 1.5, inf]
    reports = [
        PieceReport(Piece("r", n, 2), "p", "c", "e", "h", room_wait_s=wait_s)
        for n, wait_s in enumerate(sent)
    ]
    received = []
    handler = SimpleNamespace(report_outcomes=received.extend)
    call(handler, lambda client: client.report_outcomes(reports))
    assert [report.room_wait_s for report in received] == [None, 0.0, 1.5, 60.0]


def test_only_the_withdrawn_jobs_are_answered():
    """Guards against a job that moves although its old owner has started it."""
    pieces = [Piece("r", 1, 2), Piece("s", 0, 65_535)]
    handler = SimpleNamespace(withdraw_jobs=lambda asked: asked[1:])
    answer = call(handler, lambda client: client.withdraw_jobs(pieces))
    assert answer == (pieces[1],)
