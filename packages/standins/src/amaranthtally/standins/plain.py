"""Fake endpoint of the kind ``plain``; records one effect for each executed call."""

import msgspec
from aiohttp import web

from amaranthtally.standins.registry import StandIn, json_response, standin

__all__ = ["PlainStandIn"]


@standin
class PlainStandIn(StandIn):
    """Serves ``POST /v1/{operation}``; each record is one effect."""

    kind = "plain"

    def add_routes(self, app: web.Application) -> None:
        """Add the service's route."""
        app.router.add_post("/v1/{operation}", self._run)

    async def _run(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        fault = await self.before_effect()
        if fault is not None:
            return fault
        number = len(self.records) + 1
        self.records.append(
            {
                "number": number,
                "operation": request.match_info["operation"],
                "key": request.headers.get("Idempotency-Key", ""),
                "input": body.get("input"),
            }
        )
        await self.after_effect()
        return json_response({"order": f"{self.name}-{number}"})
