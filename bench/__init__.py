"""Benchmarks, the demo, and the harness that starts their processes."""
