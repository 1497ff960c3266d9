"""Sources of servers, merged into one list in one pure place. Off unless ``serve`` is given a file for it."""
