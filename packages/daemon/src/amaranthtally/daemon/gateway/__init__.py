"""
The gateway process: an entry on the users' platform.

It relays the bytes of requests and responses unchanged; every routing decision is made
by the policy package.
"""
