"""
Fake services that stand in for the platform and the endpoints.

The tests, the bench and the quickstart use them. No production package imports this
package.
"""
