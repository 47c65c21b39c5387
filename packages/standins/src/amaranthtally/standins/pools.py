"""Fake encoders, retrievers and rerankers, whose output depends only on the input."""

from hashlib import sha256
from typing import Any

import msgspec
from aiohttp import web

from amaranthtally.standins.registry import StandIn, json_response, standin

__all__ = ["EncoderStandIn", "RerankerStandIn", "RetrieverStandIn"]

DIMENSIONS = 16
RETRIEVED_DOCUMENTS = 8
RERANKED_DOCUMENTS = 3


class _PoolStandIn(StandIn):
    path = ""

    def add_routes(self, app: web.Application) -> None:
        app.router.add_post(self.path, self._handle)

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        fault = await self.before_effect()
        if fault is not None:
            return fault
        response = self.compute_response(msgspec.json.decode(body))
        await self.after_effect()
        return json_response(response)

    def compute_response(self, body: dict[str, Any]) -> dict[str, Any]:
        raise NotImplementedError


@standin
class EncoderStandIn(_PoolStandIn):
    """Serves ``POST /v1/embeddings``."""

    kind = "encoder"
    path = "/v1/embeddings"

    def compute_response(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return an embedding computed from the input's digest."""
        digest = sha256(msgspec.json.encode(body["input"])).digest()
        vector = [byte / 255 for byte in digest[:DIMENSIONS]]
        return {"data": [{"index": 0, "embedding": vector}]}


@standin
class RetrieverStandIn(_PoolStandIn):
    """Serves ``POST /v1/search``."""

    kind = "retriever"
    path = "/v1/search"

    def compute_response(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return document names that contain the query's digest."""
        name = sha256(msgspec.json.encode(body["query"])).hexdigest()[:8]
        return {"documents": [f"manual {name}-{i}" for i in range(RETRIEVED_DOCUMENTS)]}


@standin
class RerankerStandIn(_PoolStandIn):
    """Serves ``POST /v1/rerank``."""

    kind = "reranker"
    path = "/v1/rerank"

    def compute_response(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the ``RERANKED_DOCUMENTS`` documents with the lowest digests."""
        ranked = sorted(body["documents"], key=lambda d: sha256(d.encode()).digest())
        return {"documents": ranked[:RERANKED_DOCUMENTS]}
