"""One holder at a time, by tokens that only grow."""
