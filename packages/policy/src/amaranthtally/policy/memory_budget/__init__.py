"""
Decides what an entry's memory may hold for callers, and whose work is ended beyond it.

Other modules use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.memory_budget.budget import (
    MemoryBudget,
    build_memory_budget,
    usable_bytes,
)

__all__ = ["MemoryBudget", "build_memory_budget", "usable_bytes"]
