"""
Decides whether a result will find room, and whether its request can still be on time.

Other modules of the policy use what is exported here, and nothing else of this package.
Everything applies only to pools in ``ActivePools``.
"""

from amaranthtally.policy.result_memory.active_pools import ActivePools
from amaranthtally.policy.result_memory.drop_counts import DropCounts
from amaranthtally.policy.result_memory.engine_memory import EngineMemory
from amaranthtally.policy.result_memory.latest_starts import latest_call_start
from amaranthtally.policy.result_memory.reservations import Reservations
from amaranthtally.policy.result_memory.room_waits import RoomWaits
from amaranthtally.policy.result_memory.site_memory import SiteMemory

__all__ = [
    "ActivePools",
    "DropCounts",
    "EngineMemory",
    "Reservations",
    "RoomWaits",
    "SiteMemory",
    "latest_call_start",
]
