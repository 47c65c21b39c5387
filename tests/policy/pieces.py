"""A catalogue, a roster and a ledger that run pieces, and what is asked of them."""

from amaranthtally.policy import (
    Endpoint,
    FreeResults,
    Piece,
    PieceJob,
    PieceLimits,
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    Pool,
    RunPieces,
)

CLUJ, IASI = "cluj-a", "iasi-a"
# The users' sheet: 8 pieces a call, 200 ms a call and 21.25 ms a piece, 17.6 MB.
CATALOGUE = PieceLimits(1, 2, 8, 0.2, 0.02125, 17.6e6, 4.0)
# 27 pieces a call and 6.4 ms a piece, 3.54 MB; 45 pieces and 3.84 ms, 0.59 MB.
ROSTER = PieceLimits(1, 2, 27, 0.2, 0.0064, 3.54e6, 4.0)
LEDGER = PieceLimits(1, 2, 45, 0.2, 0.00384, 0.59e6, 4.0)
POOLS = {
    "catalogue": Pool("catalogue", pieces=CATALOGUE),
    "roster": Pool("roster", pieces=ROSTER),
    "ledger": Pool("ledger", pieces=LEDGER),
}
CLAIM = (PieceStage("catalogue", (), 1.5e6),)
LOOKUP = (
    PieceStage("catalogue", (), 8e3),
    PieceStage("roster", (0,), 60e3),
    PieceStage("ledger", (1,), 6e3),
)
REPLY = (
    PieceStage("catalogue", (), 1.5e6),
    *(
        PieceStage(s.pool, tuple(i + 1 for i in s.after), s.result_bytes)
        for s in LOOKUP
    ),
)


def endpoint(name, pool="catalogue", place=CLUJ, **options):
    """Return an endpoint; its data centre is a region of its own."""
    return Endpoint(name, pool, "10.0.0.1", place, place, "10.0.0.1:1", **options)


def endpoints(*places, pools=tuple(POOLS)):
    """Return one endpoint of each pool in each data centre, by id."""
    made = [endpoint(f"{p}-{place}", p, place) for p in pools for place in places]
    return {one.id: one for one in made}


def ask(request_id, number=0, *, pool="catalogue", place=CLUJ, stage=0, **options):
    """Return a piece that is asked for, on time until 10 and wanted until 20."""
    options = {"result_bytes": 1.5e6, "start_by": 10.0, "deadline": 20.0} | options
    return PieceJob(Piece(request_id, stage, number), pool, place, **options)


def calls(actions):
    """Return the calls among actions."""
    return [action for action in actions if isinstance(action, RunPieces)]


def freed(actions):
    """Return the handles that actions free."""
    frees = [action for action in actions if isinstance(action, FreeResults)]
    return {handle for free in frees for handle in free.handles}


def made(call):
    """Return the end of a call that made every piece."""
    return PiecesEnded(
        tuple(
            PieceOutcome(f"{call.endpoint}/{p.request_id}.{p.stage}.{p.number}")
            for p in call.pieces
        )
    )
