"""The decisions, apart from sockets, clocks and wires: see ``brackenloft.logic`` for the way through."""
