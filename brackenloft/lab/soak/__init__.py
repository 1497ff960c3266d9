"""Fault injection on real gateway processes: faults that overlap in time, invariants as oracle."""
