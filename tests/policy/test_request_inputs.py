"""Tests that a request's inputs are stored until its engine has fetched them."""

from amaranthtally.policy import (
    Fate,
    FreeResults,
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    PieceWork,
    RunPieces,
)
from amaranthtally.policy.request_inputs import FETCH_S
from tests.policy.pieces import CLUJ, POOLS, endpoint
from tests.policy.support import Feeder, endpoints, one_stage, planner, sends

NOW = 1.0


def sent_with_inputs(feeder):
    """Return the first attempt of a request whose only piece was done at ``NOW``."""
    work = PieceWork((PieceStage("catalogue", (), 8e3),), (1,), "key")
    feeder.arrive(NOW - 0.5, work=work)
    (call,) = [a for a in feeder.planner.tick(NOW - 0.4) if isinstance(a, RunPieces)]
    made = PiecesEnded(outcomes=(PieceOutcome(handle="h"),))
    (send,) = sends(feeder.take(feeder.planner.pieces_ended(NOW, call.call, made)))
    return send


def free_actions(actions):
    return [action for action in actions if isinstance(action, FreeResults)]


def test_a_second_attempt_has_its_own_time_to_read():
    """Inputs were freed by the first attempt's time, so the second found none."""
    all_endpoints = endpoints("engine") | {
        "catalogue": endpoint("catalogue", data_centre=CLUJ)
    }
    feeder = Feeder(planner(all_endpoints, pools=POOLS), one_stage())
    first = sent_with_inputs(feeder)
    request_id = first.attempt.request_id
    again = NOW + 0.9 * FETCH_S
    (second,) = sends(feeder.reply(again, first, Fate.NOT_RUN, unreachable=True))
    assert second.endpoint != first.endpoint
    assert not free_actions(feeder.tick(NOW + 1.1 * FETCH_S))
    assert feeder.planner.inputs_of(request_id)
    assert free_actions(feeder.tick(again + 1.1 * FETCH_S))
    assert not feeder.planner.inputs_of(request_id)
