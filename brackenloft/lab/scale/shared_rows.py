"""The rows of what gateways share: control servers, stores, discovery, registry, counter, commands."""

from __future__ import annotations

from brackenloft.lab.scale import configuration_rows
from brackenloft.lab.scale import formulas as f
from brackenloft.lab.scale.rows import Periods, Role, Row, same, usual

PLATFORM, EUREKA, COUNTING = "the platform's", "membership/eureka", "quota/client.py"


def store_rows() -> tuple[Row, ...]:
    """Registers, leases and tasks."""
    return (
        Row(
            Role.STORE,
            "leases of ten tasks: trips in",
            "messages/s",
            "lease_trips_s(gateways); worst day: lease_trips_worst_s, all gateways anew",
            usual(f.lease_trips_s, f.lease_trips_worst_s),
            "fleet/leases, fleet/tasks",
            ("lease_trips_s", "lease_trips_worst_s"),
            None,
            "nothing near",
        ),
        Row(
            Role.STORE,
            "processor",
            "% of a core",
            "trips/s x store_trip_ms, of the stand-in without its sockets",
            usual(
                lambda s: f.lease_trips_s(s) * s.at("store_trip_ms", 1) * f.PERCENT_PER_MS_S,
                lambda s: f.lease_trips_worst_s(s) * s.at("store_trip_ms", 1) * f.PERCENT_PER_MS_S,
            ),
            "fleet/registers",
            ("lease_trips_s", "lease_trips_worst_s", "store_trip_ms"),
            lambda budget: 100.0,
            "nothing near",
        ),
        *configuration_rows.store_rows(),
        Row(Role.STORE, "state", "bytes", "some kilobytes each", Periods(), "fleet/registers"),
    )


def agent_rows() -> tuple[Row, ...]:
    """One on each gateway's machine, the platform's program."""
    role = Role.AGENT
    return (
        Row(
            role,
            "list: state",
            "bytes",
            "list_json_bytes(servers)",
            same(lambda s: s.at("list_json_bytes", s.target.servers)),
            PLATFORM,
            ("list_json_bytes",),
        ),
        Row(
            role,
            "list: bytes out to its gateway",
            "bytes/s",
            "as the gateway's bytes in",
            Periods(
                lambda s: f.list_changes_s(s) * s.at("list_change_bytes", s.target.servers),
                lambda s: f.list_changes_minute_s(s) * s.at("list_change_bytes", s.target.servers),
                lambda s: s.at("list_json_bytes", s.target.servers) / f.MINUTE_S,
            ),
            PLATFORM,
            ("list_change_bytes", "list_json_bytes"),
            None,
            "a whole list after a start or a reset",
        ),
        Row(role, "processor, memory", "", "the program is not ours", Periods(), PLATFORM),
    )


def registry_rows() -> tuple[Row, ...]:
    """Where servers are listed by a Eureka registry."""
    role = Role.REGISTRY
    return (
        Row(role, "questions in", "messages/s", "gateways / 30 s", same(f.registry_asks_s), EUREKA),
        Row(
            role,
            "bytes out",
            "bytes/s",
            "questions/s x registry_delta_bytes(changes in its window of 180 s); a minute's changes; worst "
            "day: whole lists for all gateways in 30 s",
            Periods(
                lambda s: f.registry_delta_bytes_s(s, f.REGISTRY_WINDOW_S * f.list_changes_s(s)),
                lambda s: f.registry_delta_bytes_s(s, f.MINUTE_S * f.list_changes_minute_s(s)),
                lambda s: f.registry_asks_s(s) * s.at("registry_whole_gzip_bytes", s.target.servers),
            ),
            EUREKA,
            ("registry_delta_bytes", "registry_whole_gzip_bytes"),
            None,
            "all gateways anew: each takes the whole list",
        ),
        Row(
            role,
            "state",
            "bytes",
            "registry_whole_bytes(servers), as it is sent",
            same(lambda s: s.at("registry_whole_bytes", s.target.servers)),
            EUREKA,
            ("registry_whole_bytes",),
        ),
        Row(role, "processor", "", "the program is not ours", Periods(), EUREKA),
    )


def counter_rows() -> tuple[Row, ...]:
    """One store for all gateways."""
    role = Role.COUNTER
    return (
        Row(role, "reports in", "messages/s", "gateways / REPORT_MS", same(f.counter_reports_s), COUNTING),
        Row(
            role,
            "bytes out",
            "bytes/s",
            "gateways x the gateway's bytes in",
            usual(
                lambda s: s.target.gateways * f.counter_bytes_s(s, s.target.gateways),
                lambda s: s.target.gateways * f.counter_bytes_s(s, 2.0 * s.target.gateways),
            ),
            COUNTING,
            ("counter_beats_bytes",),
            None,
            "one machine's network: 1 Gbit/s carries 125 MB/s",
        ),
        Row(
            role,
            "processor",
            "% of a core",
            "reports/s x counter_report_ms(customers in one), of the stand-in in Python without its sockets; "
            "a store of the field was not measured",
            same(f.counter_percent),
            COUNTING,
            ("counter_report_ms",),
            lambda budget: 100.0,
            "one store for all gateways writes out the beats of every run for each report",
        ),
        Row(
            role,
            "state",
            "bytes",
            "counter_state_bytes(tenants), of the stand-in",
            same(lambda s: s.at("counter_state_bytes", s.target.tenants)),
            COUNTING,
            ("counter_state_bytes",),
        ),
    )


def operator_rows() -> tuple[Row, ...]:
    """Commands on the operators' machines."""
    fleet = Row(Role.OPERATOR, "read leases and tasks", "s", "", Periods(), "fleet/cli.py")
    return (*configuration_rows.operator_rows(), fleet)


def rows() -> tuple[Row, ...]:
    """All of them."""
    control = configuration_rows.control_rows()
    parts = (control, store_rows(), agent_rows(), registry_rows(), counter_rows(), operator_rows())
    return tuple(row for part in parts for row in part)
