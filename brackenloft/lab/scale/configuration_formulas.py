"""The formulas of the rows of configuration. Pure."""

from __future__ import annotations

from brackenloft.configuration.server_config import Bounds
from brackenloft.lab.scale import formulas as f
from brackenloft.lab.scale.rows import Sizes

SMALL_CHANGE = 10  # tenants
SNAPSHOTS_S = Bounds().snapshots_per_s  # that a control server hands out
READINGS_S = 2.0  # of the register by each control server
SWAP_TRIPS = 3.0  # a read, and a compare-and-swap of two phases


def snapshot_bytes(sizes: Sizes) -> float:
    """A whole snapshot with its offer, bodies alone."""
    return sizes.at("offer_bytes", sizes.target.tenants) + sizes.at("snapshot_bytes", sizes.target.tenants)


def state_bytes(sizes: Sizes) -> float:
    """A document and its tree."""
    return sizes.at("document_state_bytes", sizes.target.tenants) + sizes.at(
        "tree_state_bytes", sizes.target.tenants
    )


def polls_in_a_burst_s(sizes: Sizes) -> float:
    """At one control server, while each change answers every poll."""
    changes_s = f.BURST_CHANGES / f.BURST_S
    return f.control_polls_s(sizes) + changes_s * sizes.target.gateways / sizes.target.control_machines


def register_trips_s(sizes: Sizes, changes_s: float) -> float:
    """At each store."""
    return READINGS_S * sizes.target.control_machines + SWAP_TRIPS * changes_s
