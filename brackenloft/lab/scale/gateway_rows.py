"""The gateway's rows of the page."""

from __future__ import annotations

from brackenloft.lab.scale import configuration_rows
from brackenloft.lab.scale import formulas as f
from brackenloft.lab.scale.rows import Periods, Role, Row, same, usual

LIST_SLOPES = ("list_change_ms", "list_change_read_ms", "list_full_collected_ms", "list_read_ms")
POLICY, READER, COUNTING = "policy/servers.py", "net/discovery.py", "quota/client.py"


def list_rows() -> tuple[Row, ...]:
    """The list of servers."""
    return (
        Row(
            Role.GATEWAY,
            "server list: state",
            "bytes",
            "list_state_bytes(servers)",
            same(lambda s: s.at("list_state_bytes", s.target.servers)),
            POLICY,
            ("list_state_bytes",),
            lambda budget: budget.control_memory_mb * 1e6,
            "nothing near",
        ),
        Row(
            Role.GATEWAY,
            "server list: news in",
            "messages/s",
            "changes of single servers/s: a day's mean; a service released and a rack lost in a minute; "
            "a zone lost and back in a minute",
            Periods(f.list_changes_s, f.list_changes_minute_s, f.list_changes_day_s),
            READER,
        ),
        Row(
            Role.GATEWAY,
            "server list: bytes in",
            "bytes/s",
            "changes/s x list_change_bytes; worst day: the whole list once in a minute, after a start",
            Periods(
                lambda s: f.list_changes_s(s) * s.at("list_change_bytes", s.target.servers),
                lambda s: f.list_changes_minute_s(s) * s.at("list_change_bytes", s.target.servers),
                lambda s: s.at("list_json_bytes", s.target.servers) / f.MINUTE_S,
            ),
            READER,
            ("list_change_bytes", "list_json_bytes"),
            lambda budget: budget.control_bytes_s,
            "a start: one whole list is more than a minute's budget",
        ),
        Row(
            Role.GATEWAY,
            "server list: processor",
            "% of a core",
            "changes/s x (list_change_ms + list_change_read_ms); worst day: and one whole list in the minute",
            Periods(
                lambda s: f.list_changes_s(s) * f.list_change_cost_ms(s) * f.PERCENT_PER_MS_S,
                lambda s: f.list_changes_minute_s(s) * f.list_change_cost_ms(s) * f.PERCENT_PER_MS_S,
                lambda s: f.list_percent_day(s),
            ),
            POLICY,
            LIST_SLOPES,
            lambda budget: budget.control_core_percent,
            "a change of one server costs a pass over the whole list: a zone that comes back is 900 of them",
        ),
        Row(
            Role.GATEWAY,
            "server list: longest hold of the loop",
            "ms",
            "one change read and taken; a rack in one message; a whole list in one go, the worst round with "
            "the collector's turns",
            Periods(
                f.list_change_cost_ms,
                lambda s: f.list_changes_cost_ms(s, s.assumed.servers_per_rack),
                f.list_full_hold_ms,
            ),
            POLICY,
            (*LIST_SLOPES, "list_changes_ms"),
            lambda budget: budget.added_ms,
            "a whole list (start, reset of a watch, moved discovery) is taken in one go: every request waits",
        ),
    )


def request_rows() -> tuple[Row, ...]:
    """What the requests themselves cost, beside the control's part."""
    return (
        Row(
            Role.GATEWAY,
            "requests: decisions",
            "% of a core",
            "requests/s of a gateway x request_us(servers); worst day: the gateways of six zones carry all",
            usual(
                lambda s: s.target.requests_per_gateway_s * f.request_percent(s),
                lambda s: f.requests_without_a_zone_s(s) * f.request_percent(s),
            ),
            "policy/gateway.py",
            ("request_us",),
            lambda budget: 100.0,
            "nothing near",
        ),
    )


def counter_rows() -> tuple[Row, ...]:
    """The gateway's side of the shared counter."""
    return (
        Row(
            Role.GATEWAY,
            "shared counter: reports out",
            "messages/s",
            "1 / REPORT_MS",
            same(f.reports_s),
            COUNTING,
        ),
        Row(
            Role.GATEWAY,
            "shared counter: bytes in",
            "bytes/s",
            "reports/s x answer: the beats of all runs, and the customers' figures; worst day: twice the "
            "runs, until those that ended are swept",
            usual(
                lambda s: f.counter_bytes_s(s, s.target.gateways),
                lambda s: f.counter_bytes_s(s, 2.0 * s.target.gateways),
            ),
            COUNTING,
            ("counter_beats_bytes",),
            lambda budget: budget.control_bytes_s,
            "each report is answered with the beats of every run: in sum it grows with the gateways' square",
        ),
        Row(
            Role.GATEWAY,
            "shared counter: processor, beats alone",
            "% of a core",
            "reports/s x counter_beats_read_ms(runs)",
            usual(
                lambda s: f.counter_read_percent(s, s.target.gateways),
                lambda s: f.counter_read_percent(s, 2.0 * s.target.gateways),
            ),
            COUNTING,
            ("counter_beats_read_ms",),
            lambda budget: budget.control_core_percent,
            "as the bytes",
        ),
    )


def rows() -> tuple[Row, ...]:
    """All of them."""
    return (*list_rows(), *request_rows(), *configuration_rows.gateway_rows(), *counter_rows())
