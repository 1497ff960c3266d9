"""Quotas through a shared counter: what each gateway has let in, and what the others leave of it."""
