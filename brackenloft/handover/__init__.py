"""One process takes over from another: frames and state (pure), the channel between them."""
