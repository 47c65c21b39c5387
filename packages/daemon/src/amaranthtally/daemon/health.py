"""``/healthz``, ``/readyz`` and ``/metrics``, the same for both roles."""

from collections.abc import Callable

from aiohttp import hdrs, web
from aioprometheus import REGISTRY
from aioprometheus.renderer import render

__all__ = ["add_health_routes", "metrics_response"]


def metrics_response(request: web.BaseRequest) -> web.Response:
    """Return all metrics of the process in the format that ``Accept`` requests."""
    accepts = request.headers.getall(hdrs.ACCEPT, [])
    content, headers = render(REGISTRY, accepts)
    return web.Response(body=content, headers=headers)


def add_health_routes(
    app: web.Application,
    is_ready: Callable[[], bool],
    update_gauges: Callable[[], None],
) -> None:
    """
    Add the routes; ``/readyz`` responds with 503 while ``is_ready()`` is false.

    ``update_gauges`` is called before each response to ``/metrics``.
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready: starting or stopping\n")

    async def metrics(request: web.Request) -> web.Response:
        update_gauges()
        return metrics_response(request)

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
