"""Endpoints that end, and keep their port and their record as they start again."""

from contextlib import AsyncExitStack

from tests.gateway.fatal_pool import FatalPool
from tests.gateway.support import STREAM, route, run_with_cluster
from tests.gateway.test_fatal_parts import (
    ENDPOINTS,
    GATEWAYS,
    check_kept_away,
    has_fatal_part,
    play_fatal_part,
)


def test_ends_that_close_no_port_and_remove_no_record_are_ends(tmp_path):
    """Guards against endpoints that end for ever, as a supervisor holds their port."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack, has_fatal_part, is_supervised=True)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
            check_kept_away(pool, await play_fatal_part(gateways))

    run_with_cluster(tmp_path, check)
