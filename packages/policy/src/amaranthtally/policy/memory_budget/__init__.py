"""
Decides what may be held in the memory of an entry for callers, and of an endpoint.

Other modules use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.memory_budget.budget import (
    MemoryBudget,
    build_memory_budget,
    usable_bytes,
)
from amaranthtally.policy.memory_budget.endpoint_memory import (
    EndpointMemory,
    HeldRequest,
    build_endpoint_memory,
)
from amaranthtally.policy.memory_budget.response_sizes import ResponseSizes

__all__ = [
    "EndpointMemory",
    "HeldRequest",
    "MemoryBudget",
    "ResponseSizes",
    "build_endpoint_memory",
    "build_memory_budget",
    "usable_bytes",
]
