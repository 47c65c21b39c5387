"""Invariants that the policy asserts about itself, always on."""

__all__ = ["InvariantError", "ensure"]


class InvariantError(Exception):
    """The policy broke one of its own rules: a defect, to be reported with the log."""

    def __init__(self, rule: str) -> None:
        super().__init__(
            f"policy invariant broken: {rule}; report this line with the "
            "log of the request, and restart the process"
        )


def ensure(holds: bool, rule: str) -> None:
    """Raise ``InvariantError`` unless a rule holds; ``assert`` can be switched off."""
    if not holds:
        raise InvariantError(rule)
