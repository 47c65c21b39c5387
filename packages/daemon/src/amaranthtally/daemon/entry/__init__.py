"""The entry role: callers' HTTP in, stage calls to sidecars out."""
