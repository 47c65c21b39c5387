"""
Decides what may be sent to endpoints now: rate limits, backoffs, endpoints that leave.

Other modules of the policy use what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.sending.cold_endpoints import ColdEndpoints
from amaranthtally.policy.sending.endpoint_backoffs import EndpointBackoffs
from amaranthtally.policy.sending.endpoint_limits import EndpointLimits
from amaranthtally.policy.sending.evacuations import mark_evacuated
from amaranthtally.policy.sending.leaving_endpoints import LeavingEndpoints
from amaranthtally.policy.sending.send_gate import Obstacle, SendGate, SendWait

__all__ = [
    "ColdEndpoints",
    "EndpointBackoffs",
    "EndpointLimits",
    "LeavingEndpoints",
    "Obstacle",
    "SendGate",
    "SendWait",
    "mark_evacuated",
]
