"""``brackenloft load``: requests at their own times, whatever becomes of those before them."""
