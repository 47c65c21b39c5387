"""Endpoints that end, and keep their port and their record as they start again."""

import asyncio
from contextlib import AsyncExitStack

from tests.gateway.fatal_pool import FatalPool
from tests.gateway.support import STREAM, route, run_with_cluster
from tests.gateway.test_fatal_parts import (
    ALLOWED,
    BINDING_S,
    has_fatal_part,
    send_all,
)

ENDPOINTS = 6
GATEWAYS = 3
PLAYED_S = 12.0


def test_ends_that_close_no_port_and_remove_no_record_are_ends(tmp_path):
    """Guards against endpoints that end for ever, as a supervisor holds their port."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack, has_fatal_part, is_supervised=True)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
            end = asyncio.get_running_loop().time() + PLAYED_S
            sound, fatal = [], []
            await asyncio.gather(
                *(
                    send_all(g, pause_s, end, 1000 * n, is_fatal, outcomes)
                    for n, g in enumerate(gateways)
                    for pause_s, is_fatal, outcomes in (
                        (0.1, False, sound),
                        (0.5, True, fatal),
                    )
                )
            )
            assert pool.ends
            binding = pool.ends[:5][-1] + BINDING_S
            assert len([a for a in pool.fatal_arrivals if a > binding]) <= ALLOWED
            served = [is_served for at, is_served in sound if at > binding]
            assert len(served) >= 20
            assert sum(served) >= 0.9 * len(served)

    run_with_cluster(tmp_path, check)
