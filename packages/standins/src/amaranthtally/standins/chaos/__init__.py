"""Long randomised runs: a small deployment under load and injected faults."""
