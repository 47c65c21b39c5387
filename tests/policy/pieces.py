"""Three pools that compute pieces, stage graphs over them, and helpers for jobs."""

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
# From the users' specification: up to 8 pieces for each call, 200 ms for a call and
# 21.25 ms for each piece, and 17.6 MB of memory for results.
CATALOGUE = PieceLimits(1, 2, 8, 0.2, 0.02125, 17.6e6, 4.0)
# The roster takes up to 27 pieces in a call and 6.4 ms for each, with 3.54 MB. The
# ledger takes up to 45 pieces and 3.84 ms for each, with 0.59 MB.
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


def endpoint(name, pool="catalogue", data_centre=CLUJ, **options):
    """Return an endpoint in a data centre that forms its own region."""
    return Endpoint(
        name, pool, "10.0.0.1", data_centre, data_centre, "10.0.0.1:1", **options
    )


def endpoints(*data_centres, pools=tuple(POOLS)):
    """Return one endpoint of each pool in each data centre, by id."""
    built = [
        endpoint(f"{p}-{centre}", p, centre) for p in pools for centre in data_centres
    ]
    return {item.id: item for item in built}


def job(
    request_id, number=0, *, pool="catalogue", data_centre=CLUJ, stage=0, **options
):
    """Return a job that is on time if it starts by 10, with a deadline of 20."""
    options = {"result_bytes": 1.5e6, "start_by": 10.0, "deadline": 20.0} | options
    return PieceJob(Piece(request_id, stage, number), pool, data_centre, **options)


def calls_in(actions):
    """Return the calls among actions."""
    return [action for action in actions if isinstance(action, RunPieces)]


def freed_handles(actions):
    """Return the handles of the results that actions free."""
    frees = [action for action in actions if isinstance(action, FreeResults)]
    return {handle for free in frees for handle in free.handles}


def completed(call):
    """Return the end of a call that has a result for every piece."""
    return PiecesEnded(
        tuple(
            PieceOutcome(f"{call.endpoint}/{p.request_id}.{p.stage}.{p.number}")
            for p in call.pieces
        )
    )
