"""What operators see of engines that were chosen by a shared view."""

from amaranthtally.daemon.gateway.engine_choices import (
    EngineChoiceMetrics,
    prediction_fields,
)
from amaranthtally.policy import AttemptId, Send
from amaranthtally.policy.engine_views import EnginePrediction

PREDICTION = EnginePrediction(0.25, 0.2, 0.1, 9e3, 0, 0.01, 0.8, 40_800, -1, "region")
SEND = Send(AttemptId("r", 0, 2), "e0", 9.0, prediction=PREDICTION, stalled=True)


def test_a_choice_is_logged_with_its_prediction_and_counted():
    """Guards against log lines and metrics that don't show why an engine was chosen."""
    fields = prediction_fields(SEND)
    assert (fields["predicted_ms"], fields["tokens_per_ms"]) == (250, 40.8)
    assert (fields["holder_rank"], fields["level"]) == ("", "region")
    assert fields["stalled"]
    assert not prediction_fields(Send(AttemptId("r", 0, 1), "e0", 9.0))
    metrics = EngineChoiceMetrics()
    metrics.attempt_sent("engines", SEND)
    metrics.refresh()
    labels = {"pool": "engines", "level": "region", "engine": "drawn"}
    assert metrics._choices.get(labels) == 1
    assert metrics._stalls.get({"pool": "engines"}) == 1
    assert metrics._speeds.get({"pool": "engines"}) == 40.8
