"""An entry on the users' platform: callers' bytes pass through, decisions do not."""
