"""Callers of a randomised run, which check that responses are complete and correct."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp
import msgspec

from amaranthtally.standins.chaos.chaos_run import ChaosRun
from amaranthtally.standins.engine import words_for
from amaranthtally.standins.pools import RerankerStandIn, RetrieverStandIn

__all__ = ["Callers", "KeyOutcomes", "expected_text"]

RESPONSE_TIMEOUT_S = 60.0
ASSESSMENT_PIPELINE = "assessment"
EFFECT_PIPELINE = "dispatch-order"
# Relative frequencies of the kinds of requests.
WEIGHTS = {"whole": 4, "stream": 4, "effect": 2}
EVENT_END = b"\n\n"


@dataclass(slots=True)
class KeyOutcomes:
    """
    The outcomes of the requests with one idempotency key.

    ``orders`` holds the order ids in successful responses. ``not_run`` and ``unknown``
    count the other requests by outcome.
    """

    key: str
    orders: list[str] = field(default_factory=list)
    not_run: int = 0
    unknown: int = 0


class Callers:
    """Sends requests and adds a violation for each wrong or missing response."""

    def __init__(
        self,
        run: ChaosRun,
        seed: int,
        tokens: int,
        kinds: tuple[str, ...] = tuple(WEIGHTS),
    ) -> None:
        self._run = run
        self._random = Random(seed)
        self._tokens = tokens
        self._kinds = kinds
        self._session: aiohttp.ClientSession = run.deployment.http
        self.key_outcomes: list[KeyOutcomes] = []
        self.not_run_ids: list[str] = []

    async def run(self, requests: int, concurrency: int) -> None:
        """Send ``requests`` requests, at most ``concurrency`` of them concurrently."""
        await self.run_more(0, requests, concurrency)

    async def run_more(self, first: int, requests: int, concurrency: int) -> None:
        """Send ``requests`` more requests, numbered from ``first``."""
        numbers = iter(range(first, first + requests))

        async def send_next() -> None:
            for number in numbers:
                await self._request(number)

        await asyncio.gather(*(send_next() for _ in range(concurrency)))

    async def _request(self, number: int) -> None:
        weights = [WEIGHTS[kind] for kind in self._kinds]
        kind = self._random.choices(self._kinds, weights)[0]
        if kind == "effect":
            await self._request_effect(number)
        else:
            entry = await self._run.balancer.pick(self._random)
            await self._send_repeatable(entry, f"claim {number}", kind == "stream")

    # Requests without effects

    async def _send_repeatable(self, entry: int, text: str, stream: bool) -> None:
        body = {"input": text, "stream": stream}
        status, content = await self._send(entry, ASSESSMENT_PIPELINE, body, {})
        if status == 0:
            return
        if status != 200:
            self._count_refusal(content)
        elif stream:
            self._check_stream(text, content)
        else:
            self._run.counts["answered whole"] += 1
            output = msgspec.json.decode(content)["output"]["text"]
            self._check_text(text, output)

    def _check_stream(self, text: str, content: bytes) -> None:
        events = [_event(block) for block in content.split(EVENT_END) if block]
        kind, data = events[-1] if events else ("none", {})
        if kind == "error":
            self._count_refusal_document(data)
            return
        if kind != "done":
            self._run.add_violation(f"stream of {text!r} ended with event {kind}")
            return
        self._run.counts["answered by stream"] += 1
        chunks = "".join(d["text"] for k, d in events if k == "chunk")
        self._check_text(text, chunks)
        self._check_text(text, data["output"]["text"])

    def _check_text(self, text: str, output: str) -> None:
        if output != expected_text(text, self._tokens):
            self._run.add_violation(f"{text!r} got the wrong output {output!r}")

    def _count_refusal(self, content: bytes) -> None:
        self._count_refusal_document(msgspec.json.decode(content))

    def _count_refusal_document(self, document: dict[str, Any]) -> None:
        outcome = document["outcome"]
        self._run.counts[f"refused {outcome} {document['status']}"] += 1
        if outcome == "not_run" and document.get("request_id"):
            self.not_run_ids.append(document["request_id"])

    # Requests with effects, repeated through random entries

    async def _request_effect(self, number: int) -> None:
        outcomes = KeyOutcomes(f"order-{number}")
        self.key_outcomes.append(outcomes)
        attempts = self._random.choice((1, 1, 2, 3))
        concurrent = self._random.random() < 0.5
        if concurrent:
            await asyncio.gather(*(self._send_order(outcomes) for _ in range(attempts)))
            return
        for _ in range(attempts):
            await self._send_order(outcomes)

    async def _send_order(self, outcomes: KeyOutcomes) -> None:
        # Pick the entry just before sending. An entry that was picked before the
        # previous response arrived may have been stopped in the meantime, and a real
        # balancer would no longer send requests to it.
        entry = await self._run.balancer.pick(self._random)
        await self._post_order(entry, outcomes)

    async def repeat_until_known(self, concurrency: int) -> None:
        """Repeat each order until a request ends with a known outcome."""
        key_outcomes = iter(self.key_outcomes)

        async def send_next() -> None:
            for outcomes in key_outcomes:
                previous_unknown = -1
                while outcomes.unknown != previous_unknown:
                    previous_unknown = outcomes.unknown
                    await self._send_order(outcomes)

        await asyncio.gather(*(send_next() for _ in range(concurrency)))

    async def _post_order(self, entry: int, outcomes: KeyOutcomes) -> None:
        headers = {"Idempotency-Key": outcomes.key}
        body = {"input": {"to": outcomes.key}}
        status, content = await self._send(entry, EFFECT_PIPELINE, body, headers)
        if status == 0:
            outcomes.unknown += 1
            return
        document = msgspec.json.decode(content)
        if status == 200:
            self._run.counts["effect answered"] += 1
            outcomes.orders.append(document["output"]["order"])
            return
        refusal = f"effect {document['outcome']} {status} {document['title']}"
        self._run.counts[refusal] += 1
        if document["outcome"] == "not_run":
            outcomes.not_run += 1
        else:
            outcomes.unknown += 1

    # Sending

    async def _send(
        self, entry: int, pipeline: str, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[int, bytes]:
        deployment = self._run.deployment
        account = self._random.choice(deployment.plan.accounts[:1])
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._run.counts["sent"] += 1
        try:
            async with self._session.post(
                f"{deployment.entry_url(entry)}/v1/pipelines/{pipeline}/requests",
                json=body,
                headers={"Authorization": f"Bearer {account.key}", **headers},
                timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            if not self._run.was_disrupted(entry, started, loop.time()):
                self._run.add_violation(
                    f"entry-{entry + 1} sent no complete response: {error!r}"
                )
            self._run.counts["connection lost with its entry"] += 1
            return 0, b""


def expected_text(text: str, tokens: int) -> str:
    """Return the only correct output for ``text``, of ``tokens`` words."""
    documents = RetrieverStandIn("").compute_response({"query": text})
    best_documents = RerankerStandIn("").compute_response(documents)["documents"]
    return "".join(words_for("\n".join([text, *best_documents]), tokens))


def _event(block: bytes) -> tuple[str, dict[str, Any]]:
    kind, _, data = block.partition(b"\n")
    decoded = msgspec.json.decode(data.removeprefix(b"data: "))
    return kind.removeprefix(b"event: ").decode(), decoded
