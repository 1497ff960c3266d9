"""A world in virtual time: the real decisions among models of nodes, network, discovery, fronts and
customers.

Pure: no sockets, no clock, no randomness but from the seed. Extra ``[lab]``; never imported by bare ``run``.
"""
