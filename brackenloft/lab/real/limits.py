"""How large an experiment may be on sockets."""

from __future__ import annotations

from brackenloft.lab.spec import Experiment, ExperimentError

MOST_GATEWAYS = 16  # processes at a time
MOST_ADDRESSES = 256  # gateways times nodes: a listener each
MOST_PER_S = 1500.0  # requests a second that one process of clients and nodes can play
MOST_S = 120.0  # of a run, in real time


def check(experiment: Experiment) -> None:
    """Whether it can be played in real time; ExperimentError says what is too much."""
    gateways, nodes = experiment.gateways.count, experiment.nodes.count
    limits = (
        ("gateways.count", gateways, MOST_GATEWAYS),
        ("nodes.count", gateways * nodes, MOST_ADDRESSES),
        ("length_ms", experiment.length_ms / 1000.0, MOST_S),
        ("load", experiment.expected_per_s(), MOST_PER_S),
    )
    words = {"nodes.count": "gateways times nodes", "length_ms": "seconds", "load": "requests a second"}
    for key, value, most in limits:
        if value > most:
            raise ExperimentError(
                f"{key}: {value:.0f} {words.get(key, 'processes')}, {most:.0f} at most on sockets"
            )
