"""
Chooses engines by what entries tell each other of them, and hedges stalled attempts.

Other modules of the policy use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.engine_choice.router import build_router
from amaranthtally.policy.engine_choice.stalls import StalledAttempts

__all__ = ["StalledAttempts", "build_router"]
