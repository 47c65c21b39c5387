"""``/healthz``, ``/readyz`` and ``/metrics``, the same for both roles."""

from collections.abc import Callable

from aiohttp import hdrs, web
from aioprometheus import REGISTRY
from aioprometheus.renderer import render

from amaranthtally.daemon.supervision import Supervisor

__all__ = ["add_health_routes", "metrics_response", "readiness_response"]


def metrics_response(request: web.BaseRequest) -> web.Response:
    """Return all metrics of the process in the format that ``Accept`` requests."""
    accepts = request.headers.getall(hdrs.ACCEPT, [])
    content, headers = render(REGISTRY, accepts)
    return web.Response(body=content, headers=headers)


def readiness_response(is_serving: bool, supervisor: Supervisor) -> web.Response:
    """Return 200, or 503 with the reason why no requests are to be sent here."""
    if not is_serving:
        return web.Response(status=503, text="not ready: starting or stopping\n")
    failing = supervisor.failing_vital
    if failing:
        text = f"not ready: failing again and again: {', '.join(failing)}\n"
        return web.Response(status=503, text=text)
    return web.Response(text="ready\n")


def add_health_routes(
    app: web.Application,
    is_ready: Callable[[], bool],
    update_gauges: Callable[[], None],
    supervisor: Supervisor,
) -> None:
    """
    Add the routes; ``/readyz`` responds with 503 while ``is_ready()`` is false.

    It does so, too, while a vital task of ``supervisor`` fails again and again.

    ``update_gauges`` is called before each response to ``/metrics``.
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        return readiness_response(is_ready(), supervisor)

    async def metrics(request: web.Request) -> web.Response:
        update_gauges()
        return metrics_response(request)

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
