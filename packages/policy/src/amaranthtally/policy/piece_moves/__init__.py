"""
Moves waiting pieces from an overloaded pool site, or a former owner, to another one.

Other modules of the policy use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.piece_moves.move_gain import (
    SiteWait,
    is_move_worth_it,
    may_gain,
)
from amaranthtally.policy.piece_moves.moves import Move, Moves

__all__ = [
    "Move",
    "Moves",
    "SiteWait",
    "is_move_worth_it",
    "may_gain",
]
