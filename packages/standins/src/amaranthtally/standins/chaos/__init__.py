"""Long randomised runs: a small deployment under load, faults and checks."""
