"""The formulas of the page: rates that follow from the target, and each role's rows. Pure."""

from __future__ import annotations

from brackenloft.lab.scale.rows import Sizes
from brackenloft.lab.scale.target import SECONDS_PER_DAY, TARGET
from brackenloft.quota.core import REPORT_MS

MINUTE_S = 60.0
TARGET_REPLACEMENTS = TARGET.machines_replaced_per_day
PERCENT_PER_MS_S = 0.1  # a millisecond of work a second is a tenth of a percent of a core


def replacements_s(sizes: Sizes) -> float:
    """Machines replaced or failed in a second, over all machines."""
    target = sizes.target
    return (target.machines_replaced_per_day + target.machines_failed_per_day) / SECONDS_PER_DAY


def server_share(sizes: Sizes) -> float:
    """Of all machines, those that are servers."""
    target = sizes.target
    return target.servers / (target.servers + target.gateways)


def list_changes_s(sizes: Sizes) -> float:
    """News of single servers a second, on an ordinary day's mean."""
    return replacements_s(sizes) * server_share(sizes) * sizes.assumed.list_changes_per_replacement


def list_changes_minute_s(sizes: Sizes) -> float:
    """The same while one service is released and a rack is lost in one minute."""
    released = sizes.target.servers_per_service * sizes.assumed.list_changes_per_replacement
    return (released + sizes.assumed.servers_per_rack) / sizes.assumed.release_s


def list_changes_day_s(sizes: Sizes) -> float:
    """The same while a zone is lost and back within a minute."""
    return 2.0 * sizes.target.servers_per_zone / MINUTE_S


def list_change_cost_ms(sizes: Sizes) -> float:
    """One server's news, read and taken."""
    servers = sizes.target.servers
    return sizes.at("list_change_ms", servers) + sizes.at("list_change_read_ms", servers)


def list_full_cost_ms(sizes: Sizes) -> float:
    """A whole list, read and taken with the collector's turns, in one go."""
    servers = sizes.target.servers
    return sizes.at("list_full_collected_ms", servers) + sizes.at("list_read_ms", servers)


def list_full_hold_ms(sizes: Sizes) -> float:
    """The longest hold of the loop by a whole list: the worst rounds, as a request may wait for these."""
    servers = sizes.target.servers
    return sizes.worst("list_full_collected_ms", servers) + sizes.worst("list_read_ms", servers)


def list_changes_cost_ms(sizes: Sizes, servers: float) -> float:
    """One message with news of many servers, read and taken in one go."""
    read = sizes.at("list_read_ms", servers)
    return sizes.at("list_changes_ms", servers) + read


def config_changes_s(sizes: Sizes) -> float:
    """Changes of configuration a second, on a day's mean."""
    return sizes.target.changes_per_day / SECONDS_PER_DAY


BURST_CHANGES, BURST_S = 50.0, 10.0  # the largest burst that must be carried


def config_burst_s(sizes: Sizes) -> float:
    """Changes a second over the worst ordinary minute: one burst in it."""
    return BURST_CHANGES / MINUTE_S


def whole_document_bytes(sizes: Sizes) -> float:
    """The document as JSON, compressed."""
    return sizes.at("document_zlib_bytes", sizes.target.tenants)


def whole_documents_s(sizes: Sizes) -> float:
    """Bytes a second for each gateway if each change is sent as the whole document."""
    return config_changes_s(sizes) * whole_document_bytes(sizes)


def restarts_s(sizes: Sizes) -> float:
    """How long all gateways take to be restarted at the pace at which machines are replaced today."""
    return sizes.target.gateways / replacements_s(sizes)


def reports_s(sizes: Sizes) -> float:
    """Reports of one gateway to the shared counter."""
    return 1000.0 / REPORT_MS


def customers_in_report(sizes: Sizes) -> float:
    """At most one for each request of a gateway since its last report."""
    return sizes.target.requests_per_gateway_s / reports_s(sizes)


def counter_answer_bytes(sizes: Sizes, runs: float) -> float:
    """The answer to one report: the beats of all runs, and a hash of figures for each customer.

    ``counter_beats_bytes`` at two runs is a customer's hash and one of beats, of two fields each.
    """
    one = sizes.at("counter_beats_bytes", 2)
    return sizes.at("counter_beats_bytes", runs) + (customers_in_report(sizes) - 1.0) * one / 2.0


def counter_bytes_s(sizes: Sizes, runs: float) -> float:
    """Of one gateway, what the shared counter answers."""
    return reports_s(sizes) * counter_answer_bytes(sizes, runs)


def counter_read_percent(sizes: Sizes, runs: float) -> float:
    """Of one gateway's core, the reading of the beats alone."""
    return reports_s(sizes) * sizes.at("counter_beats_read_ms", runs) * PERCENT_PER_MS_S


def counter_reports_s(sizes: Sizes) -> float:
    """Of all gateways."""
    return sizes.target.gateways * reports_s(sizes)


def counter_percent(sizes: Sizes) -> float:
    """Of a core of the stand-in, run without its sockets."""
    each = sizes.at("counter_report_ms", customers_in_report(sizes))
    return counter_reports_s(sizes) * each * PERCENT_PER_MS_S


def registry_asks_s(sizes: Sizes) -> float:
    """Questions for deltas of all gateways a second."""
    return sizes.target.gateways / sizes.assumed.registry_interval_s


def control_polls_s(sizes: Sizes) -> float:
    """Long polls a second at each control server, each of 4 s."""
    return sizes.target.gateways / sizes.target.control_machines / LONG_POLL_S


LONG_POLL_S = 4.0


def control_bytes_s(sizes: Sizes) -> float:
    """Bytes a second out of each control server if each change went whole to each gateway."""
    return sizes.target.gateways / sizes.target.control_machines * whole_documents_s(sizes)


def control_bytes_now_s(sizes: Sizes) -> float:
    """The same while one change goes out within its time."""
    share = sizes.target.gateways / sizes.target.control_machines
    return share * whole_document_bytes(sizes) / sizes.budget.in_force_s


STORE_SHARE = 2.0 / 3.0  # of three stores, those that a read needs


def store_bytes_s(sizes: Sizes) -> float:
    """Bytes a second out of each store if gateways read each change whole from a majority."""
    return STORE_SHARE * sizes.target.gateways * whole_documents_s(sizes)


def store_bytes_now_s(sizes: Sizes) -> float:
    """The same while one change is read within its time."""
    return STORE_SHARE * sizes.target.gateways * whole_document_bytes(sizes) / sizes.budget.in_force_s


def document_decode_percent(sizes: Sizes) -> float:
    """Of a core, for one whole document a second."""
    return sizes.at("document_decode_ms", sizes.target.tenants) * PERCENT_PER_MS_S


def list_percent_day(sizes: Sizes) -> float:
    """Of a core, while a zone is lost and back in a minute and a whole list is taken in it."""
    changes_ms = list_changes_day_s(sizes) * list_change_cost_ms(sizes)
    return (changes_ms + list_full_cost_ms(sizes) / MINUTE_S) * PERCENT_PER_MS_S


def request_percent(sizes: Sizes) -> float:
    """Of a core, for one request a second."""
    return sizes.at("request_us", sizes.target.servers) / 1000.0 * PERCENT_PER_MS_S


def requests_without_a_zone_s(sizes: Sizes) -> float:
    """Of a gateway, while those of one zone are lost."""
    return sizes.target.requests_per_s / (sizes.target.gateways - sizes.target.gateways_per_zone)


def lease_trips_s(sizes: Sizes) -> float:
    """At each store, at rest."""
    return sizes.at("lease_trips_s", sizes.target.gateways)


def lease_trips_worst_s(sizes: Sizes) -> float:
    """At each store, in the worst second after all gateways start anew."""
    return sizes.at("lease_trips_worst_s", sizes.target.gateways)


REGISTRY_WINDOW_S = 180.0  # how long a change stays in a registry's delta


def registry_delta_bytes_s(sizes: Sizes, changes: float) -> float:
    """Deltas of so many changes to all gateways."""
    return registry_asks_s(sizes) * sizes.at("registry_delta_bytes", max(1.0, changes))
