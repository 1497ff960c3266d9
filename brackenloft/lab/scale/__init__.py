"""Capacity at the target size: measured slopes, the formulas over them, hollow gateways, docs/CAPACITY.md."""
