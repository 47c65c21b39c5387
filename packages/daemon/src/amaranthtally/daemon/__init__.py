"""The daemon's two roles, entry and sidecar; decisions live in ``policy``."""
