"""
Each mechanism of the policy switched off, by name.

A switch replaces the least that takes its mechanism away and keeps the rest, so that a
difference is that mechanism's own. None of them is part of the policy.
"""

from amaranthtally.simulator import (  # noqa: F401, these fill the registry
    call_mechanisms,
    place_mechanisms,
    request_mechanisms,
)
from amaranthtally.simulator.variants import (
    POLICY,
    Variant,
    variant,
    variant_names,
)

__all__ = ["POLICY", "Variant", "variant", "variant_names"]
