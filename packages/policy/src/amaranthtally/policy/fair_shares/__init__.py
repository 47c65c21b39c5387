"""
Divides engine time and stage time among client accounts under overload.

Other modules of the policy use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.fair_shares.account_shares import AccountShares
from amaranthtally.policy.fair_shares.fair_shares import FairShares, SharesState
from amaranthtally.policy.fair_shares.usage_sender import UsageSender

__all__ = ["AccountShares", "FairShares", "SharesState", "UsageSender", "fair_shares"]


def fair_shares() -> FairShares:
    """Return shares that are off until the entry's settings turn them on."""
    return FairShares()
