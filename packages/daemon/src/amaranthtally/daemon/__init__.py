"""The daemon in its roles as entry and sidecar; ``policy`` makes the decisions."""
