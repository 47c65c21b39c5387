"""
Decides how large and how slow responses may be before they are cut off.

Other modules use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.response_limits.limits import (
    DEFAULT_STAGE_LIMITS,
    PLATFORM_LIMIT,
    WEIGHTS_LIMIT,
    ResponseKind,
    ResponseLimit,
    ResponseLimits,
    StageLimits,
    build_response_limits,
    build_stage_limits,
)

__all__ = [
    "DEFAULT_STAGE_LIMITS",
    "PLATFORM_LIMIT",
    "WEIGHTS_LIMIT",
    "ResponseKind",
    "ResponseLimit",
    "ResponseLimits",
    "StageLimits",
    "build_response_limits",
    "build_stage_limits",
]
