"""Network addresses."""

Address = tuple[str, int]  # host and port
