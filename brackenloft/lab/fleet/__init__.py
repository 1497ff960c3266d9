"""Fleets of real processes with faults between them, their histories, and what checks those."""
