"""
Variants of the policy, each with one mechanism disabled or replaced.

A variant replaces only what its mechanism needs, so that a difference in
results is due to that mechanism alone. The variants are not part of the policy.
"""

from amaranthtally.simulator import (  # noqa: F401, these register variants
    affinity_mechanisms,
    call_mechanisms,
    pool_site_mechanisms,
    request_mechanisms,
)
from amaranthtally.simulator.variants import (
    POLICY,
    Variant,
    variant,
    variant_names,
)

__all__ = ["POLICY", "Variant", "variant", "variant_names"]
