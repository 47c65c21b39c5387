"""Tests that a request's inputs are stored until its engine has fetched them."""

from amaranthtally.policy import (
    AttemptOutcome,
    FreeResults,
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    PieceWork,
    RunPieces,
)
from amaranthtally.policy.request_inputs import FETCH_S
from tests.policy.pieces import CLUJ, POOLS, endpoint
from tests.policy.support import PlannerDriver, endpoints, one_stage, planner, sends

NOW = 1.0


def sent_with_inputs(driver):
    """Return the first attempt of a request whose only piece was done at ``NOW``."""
    work = PieceWork((PieceStage("catalogue", (), 8e3),), (1,), "key")
    driver.arrive(NOW - 0.5, piece_work=work)
    (call,) = [a for a in driver.planner.tick(NOW - 0.4) if isinstance(a, RunPieces)]
    end = PiecesEnded(outcomes=(PieceOutcome(handle="h"),))
    (send,) = sends(driver.apply(driver.planner.pieces.call_ended(NOW, call.call, end)))
    return send


def free_actions(actions):
    return [action for action in actions if isinstance(action, FreeResults)]


def test_a_second_attempt_has_its_own_time_to_read():
    """Inputs were freed by the first attempt's time, so the second found none."""
    all_endpoints = endpoints("engine") | {
        "catalogue": endpoint("catalogue", data_centre=CLUJ)
    }
    driver = PlannerDriver(planner(all_endpoints, pools=POOLS), one_stage())
    first = sent_with_inputs(driver)
    request_id = first.attempt.request_id
    again = NOW + 0.9 * FETCH_S
    (second,) = sends(
        driver.reply(again, first, AttemptOutcome.NOT_RUN, unreachable=True)
    )
    assert second.endpoint != first.endpoint
    assert not free_actions(driver.tick(NOW + 1.1 * FETCH_S))
    assert driver.planner.inputs_of(request_id)
    assert free_actions(driver.tick(again + 1.1 * FETCH_S))
    assert not driver.planner.inputs_of(request_id)
