"""The sidecar role: a proxy through which all calls to its endpoint pass."""
