"""
HTTP listeners whose connections are bounded, whatever their clients send or read.

Other modules use what is exported here, and nothing else of this package.
"""

from amaranthtally.daemon.connections.connection_table import (
    ConnectionTable,
    service_connections,
)
from amaranthtally.daemon.connections.descriptors import descriptor_limit
from amaranthtally.daemon.connections.listener import (
    Admission,
    Listener,
    build_connection,
    listen_http,
)

__all__ = [
    "Admission",
    "ConnectionTable",
    "Listener",
    "build_connection",
    "descriptor_limit",
    "listen_http",
    "service_connections",
]
