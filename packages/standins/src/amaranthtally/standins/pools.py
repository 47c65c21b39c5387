"""Fake encoders, retrievers and rerankers."""

from hashlib import sha256
from typing import Any

import msgspec
from aiohttp import web

from amaranthtally.standins.registry import StandIn, json_response, standin

__all__ = ["EncoderStandIn", "RerankerStandIn", "RetrieverStandIn"]

DIMENSIONS = 16
FOUND_DOCUMENTS = 8
KEPT_DOCUMENTS = 3


class _PoolStandIn(StandIn):
    path = ""

    def add_routes(self, app: web.Application) -> None:
        app.router.add_post(self.path, self._handle)

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        fault = await self.before_effect()
        if fault is not None:
            return fault
        answer = self.answer(msgspec.json.decode(body))
        await self.after_effect()
        return json_response(answer)

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        raise NotImplementedError


@standin
class EncoderStandIn(_PoolStandIn):
    """Serves ``POST /v1/embeddings``."""

    kind = "encoder"
    path = "/v1/embeddings"

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return a vector that is computed from the input's digest."""
        digest = sha256(msgspec.json.encode(body["input"])).digest()
        vector = [byte / 255 for byte in digest[:DIMENSIONS]]
        return {"data": [{"index": 0, "embedding": vector}]}


@standin
class RetrieverStandIn(_PoolStandIn):
    """Serves ``POST /v1/search``."""

    kind = "retriever"
    path = "/v1/search"

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return documents named after the query's digest."""
        name = sha256(msgspec.json.encode(body["query"])).hexdigest()[:8]
        return {"documents": [f"manual {name}-{i}" for i in range(FOUND_DOCUMENTS)]}


@standin
class RerankerStandIn(_PoolStandIn):
    """Serves ``POST /v1/rerank``."""

    kind = "reranker"
    path = "/v1/rerank"

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the best ``KEPT_DOCUMENTS`` documents, ranked by their digests."""
        ranked = sorted(body["documents"], key=lambda d: sha256(d.encode()).digest())
        return {"documents": ranked[:KEPT_DOCUMENTS]}
