"""Experiments of the shelf on real gateway processes over loopback, beside the same ones in virtual time."""
