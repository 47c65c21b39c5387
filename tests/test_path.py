"""The complete path of a request through separate processes."""

import json

import pytest

from amaranthtally.standins.deployment import open_deployment
from tests.support import parse_events, plan, run_async


@pytest.mark.parametrize(
    ("name", "pipeline", "effect", "effect_pool"),
    [
        ("agrosalv", "assessment", "dispatch-order", "dispatch"),
        ("qoryq", "triage", "assign-ticket", "tickets"),
    ],
)
def test_complete_responses_streams_and_single_effects(
    name, pipeline, effect, effect_pool
):
    async def scenario():
        async with open_deployment(plan(name), servers=1) as deployment:
            response = await deployment.call(pipeline, "lift is stuck")
            document = await response.json()
            assert response.status == 200, document
            assert len(document["stages"]) == 4
            assert document["output"]["text"]

            streamed = await deployment.call(pipeline, "lift is stuck", stream=True)
            events = parse_events(await streamed.text())
            assert events[-1][0] == "done"
            text = "".join(data["text"] for kind, data in events if kind == "chunk")
            assert text == document["output"]["text"]
            assert events[-1][1]["output"]["text"] == text

            first = await deployment.call(effect, {"to": "field 7"}, key="order-1")
            repeat = await deployment.call(effect, {"to": "field 7"}, key="order-1")
            assert first.status == repeat.status == 200
            assert (await first.json())["output"] == (await repeat.json())["output"]
            service = deployment.pool(effect_pool)[0].service
            assert len(await deployment.records(service)) == 1

    run_async(scenario())


def test_bad_requests_get_a_remedy_and_run_nothing():
    async def scenario():
        small_bodies = {"max_body_bytes": 2000}
        async with open_deployment(
            plan(), servers=1, entry_overrides=small_bodies
        ) as deployment:
            url = deployment.entry_url() + "/v1/pipelines/{}/requests"
            good = {"Authorization": f"Bearer {deployment.plan.accounts[0].key}"}
            cases = [
                ("assessment", {}, b'{"input": 1}', 401),
                ("assessment", {"Authorization": "Bearer no"}, b'{"input": 1}', 401),
                ("nothing", good, b'{"input": 1}', 404),
                ("assessment", good, b"{", 400),
                ("assessment", good, b'{"inputs": 1}', 400),
                ("assessment", good, b'{"input": 1, "deadline_ms": 0}', 400),
                ("assessment", good, b'"' + b"x" * 3000 + b'"', 413),
                ("dispatch-order", good, b'{"input": 1}', 400),
                (
                    "dispatch-order",
                    {**good, "Idempotency-Key": "a b"},
                    b'{"input": 1}',
                    400,
                ),
            ]
            for pipeline, headers, body, status in cases:
                response = await deployment.http.post(
                    url.format(pipeline), headers=headers, data=body
                )
                document = json.loads(await response.read())
                assert response.status == status, document
                assert response.content_type == "application/problem+json"
                assert document["outcome"] == "not_run"
                assert document["detail"]
            for pair in deployment.endpoints.values():
                assert await deployment.records(pair.service) == []

    run_async(scenario())
