"""
Small fakes of the platform and of the endpoints, for tests and the quickstart.

Nothing of the system imports this package.
"""
