"""The number of descriptors that this process may open."""

import resource
from math import inf

__all__ = ["descriptor_limit"]


def descriptor_limit() -> float:
    """Return the process's soft limit; infinite if there is none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return inf if soft == resource.RLIM_INFINITY else soft
