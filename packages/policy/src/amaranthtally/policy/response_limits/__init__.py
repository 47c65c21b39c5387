"""
Decides how large and how slow responses may be before they are cut off.

Other modules use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.response_limits.limits import (
    ResponseKind,
    ResponseLimit,
    ResponseLimits,
    build_response_limits,
)

__all__ = ["ResponseKind", "ResponseLimit", "ResponseLimits", "build_response_limits"]
