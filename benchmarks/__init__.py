"""Measurements, each bounded and beside its baseline in the same run: ``python -m benchmarks.NAME``."""
