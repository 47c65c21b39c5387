"""Run-time checks of the policy's invariants; they are always enabled."""

__all__ = ["InvariantError", "ensure"]


class InvariantError(Exception):
    """A defect in the policy: one of its invariants does not hold."""

    def __init__(self, rule: str) -> None:
        super().__init__(
            f"policy invariant broken: {rule}; report this line with the "
            "log of the request, and restart the process"
        )


def ensure(holds: bool, rule: str) -> None:
    """
    Raise ``InvariantError`` unless a rule holds.

    Used in place of ``assert``, which ``python -O`` removes.
    """
    if not holds:
        raise InvariantError(rule)
