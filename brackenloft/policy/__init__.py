"""The decisions, apart from sockets, clocks and wires: which server gets a request, whether to try again, and
what is turned away. The way through is told in gateway.py.
"""

from brackenloft.policy.gateway import Gateway

__all__ = ["Gateway"]
