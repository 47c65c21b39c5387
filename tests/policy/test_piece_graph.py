"""Tests of which pieces of a request are due, and which run again after a loss."""

from amaranthtally.policy import Piece, StoredResult
from amaranthtally.policy.piece_graph import PieceGraph
from tests.policy.pieces import CLAIM, LOOKUP, REPLY


def stored(piece):
    return StoredResult(f"h{piece.stage}.{piece.number}", "endpoint", "cluj-a", 1.0)


def complete_due(graph):
    """Complete every piece that is due, and return them."""
    due = graph.take_due()
    for piece in due:
        graph.mark_running(piece)
        graph.mark_done(piece, stored(piece))
    return due


def test_a_stage_waits_for_every_piece_that_it_reads():
    graph = PieceGraph("r", LOOKUP, (2, 3, 1))
    assert {p.stage for p in graph.take_due()} == {0}
    graph.mark_done(Piece("r", 0, 0), stored(Piece("r", 0, 0)))
    assert graph.take_due() == []
    graph.mark_done(Piece("r", 0, 1), stored(Piece("r", 0, 1)))
    second = graph.take_due()
    assert [p.stage for p in second] == [1, 1, 1]
    assert [r.handle for r in graph.inputs_of(second[0])] == ["h0.0", "h0.1"]


def test_a_request_reads_the_stages_that_no_other_reads():
    graph = PieceGraph("r", REPLY, (2, 1, 3, 1))
    while not graph.is_done:
        assert complete_due(graph)
    assert [r.handle for r in graph.request_inputs()] == ["h0.0", "h0.1", "h3.0"]


def test_a_request_is_started_once_a_piece_is_done():
    graph = PieceGraph("r", LOOKUP, (1, 6, 10))
    (piece,) = graph.take_due()
    graph.mark_running(piece)
    assert not graph.is_started
    graph.mark_done(piece, StoredResult("h", "e", "d", 8e3))
    assert graph.is_started


def test_a_stage_without_pieces_is_skipped():
    graph = PieceGraph("r", CLAIM, (0,))
    assert graph.is_done
    assert graph.take_due() == []
    graph = PieceGraph("r", REPLY, (0, 1, 2, 1))
    assert [p.stage for p in graph.take_due()] == [1]


def test_a_lost_input_is_recomputed_with_the_freed_results_that_it_needs():
    """
    An endpoint restarts and loses the input of a piece. The results that this input was
    computed from were freed long ago, so both stages run again, and no piece is sent
    with only some of its inputs.
    """
    graph = PieceGraph("r", LOOKUP, (1, 2, 1))
    complete_due(graph)
    complete_due(graph)
    assert {r.handle for r in graph.take_consumed()} == {"h0.0"}
    (last,) = graph.take_due()
    graph.mark_running(last)
    to_free = graph.invalidate_inputs_of(last)
    assert {r.handle for r in to_free} == {"h1.0", "h1.1"}
    assert [p.stage for p in complete_due(graph)] == [0]
    assert [p.stage for p in complete_due(graph)] == [1, 1]
    assert [p.stage for p in graph.take_due()] == [2]
    assert graph.has_inputs(last)


def test_siblings_of_a_piece_that_lost_its_inputs_wait_for_them_too():
    """
    Two pieces of one stage read the same result. After the result was freed, the
    endpoint had no room for the second piece. It is due only once the result is stored
    again.
    """
    graph = PieceGraph("r", LOOKUP, (1, 2, 1))
    complete_due(graph)
    first, second = graph.take_due()
    graph.mark_running(first)
    graph.mark_running(second)
    graph.discard_inputs_of(first)
    graph.mark_done(first, stored(first))
    graph.invalidate_inputs_of(second)
    assert [p.stage for p in complete_due(graph)] == [0]
    assert graph.take_due() == [second]
    assert graph.has_inputs(second)
