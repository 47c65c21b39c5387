"""The entry role: serves callers over HTTP and sends stage calls to sidecars."""
