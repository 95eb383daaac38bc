"""Benches, the demo, and the harness that starts real processes."""
