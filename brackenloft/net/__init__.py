"""The real gateway's sockets: they carry events to the decisions and actions out, and decide nothing."""
