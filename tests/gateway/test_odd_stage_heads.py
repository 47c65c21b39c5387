"""A stage endpoint that sends one odd response head and is sound afterwards."""

import itertools

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import piece_script
from tests.gateway.support import open_staged_pool, piece_headers, run_with_cluster

# A byte that is not UTF-8, which becomes a surrogate.
ODD_ID = names.REQUEST_ID.encode() + b": \xff\r\n"
REQUESTS = 20


def test_an_endpoint_is_used_again_after_an_odd_response_head(tmp_path):
    """Guards against an endpoint whose places stay taken by calls that ended."""
    sound, serials = piece_script(), itertools.count()

    def script(request):
        steps = sound(request)
        if next(serials):
            return steps
        return [*steps[:-1], steps[-1].replace(b"\r\n", b"\r\n" + ODD_ID, 1)]

    async def check(cluster):
        await open_staged_pool(cluster, script)
        gateway = await cluster.gateway()
        statuses = [
            (await gateway.call("/ask/", **piece_headers("4")))[0]
            for _ in range(REQUESTS)
        ]
        assert statuses == [200] * REQUESTS
        assert next(serials) > REQUESTS

    run_with_cluster(tmp_path, check)
