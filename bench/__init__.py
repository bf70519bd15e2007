"""Benchmarks, and the cost measurements behind the capacity page."""
