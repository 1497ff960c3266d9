"""Who may hold a connection, and for how long: pure decisions, no I/O, no clock, no randomness."""
