"""
Shares among entries what each knows of the calls and the loads of endpoints.

Addresses that an entry sends to one of many engines only every few seconds, and knows
nothing of the prompts that other entries send there. Other modules of the policy use
what is exported here, and nothing else of this package.
"""

from amaranthtally.policy.load_view.exchange import LoadViewCounters
from amaranthtally.policy.load_view.view import EndpointView, LoadView, build_load_view

__all__ = ["EndpointView", "LoadView", "LoadViewCounters", "build_load_view"]
