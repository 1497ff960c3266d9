"""From the settings object of the wire and of a gateway's configuration to ``Settings``."""

from __future__ import annotations

from typing import Any

from brackenloft import interface as api

Fields = dict[str, Any]

DISCOVERY = {"automatic": api.DiscoveryMode.PUSH, "subscribe": api.DiscoveryMode.ASK}
LOAD_FIELD = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilisation",
    "lat_ms": "service_ms",
    "rate": "throughput",
    "fail_rate": "error_rate",
}
REPORT_FIELD = LOAD_FIELD | {  # the names in reports on sockets
    "inflight": "in_flight",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "service_ms",
    "qps": "throughput",
    "eps": "error_rate",
}


def _class(row: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=row["name"],
        aim_ms=row["slo_ms"],
        deadline_ms=row["hard_limit_ms"],
        effect=api.Effect(row["effect"]),
        worth=row["value"],
        late_share=row["late_share"],
        key_scope=api.KeyScope(row["key_scope"]),
        key_memory_ms=row["memory_span_ms"],
        streamed=row["stream"],
        aim_stretch=row.get("aim_stretch") or 0.0,
    )


def _plan(row: Fields) -> api.Plan:
    return api.Plan(
        name=row["name"],
        rate=row["refill"],
        burst=row["most_at_once"],
        max_in_flight=row["parallel"],
        price=row["value_factor"],
        over_worth=row["excess_worth"],
        over_cost=row["overrun_cost"],
        ceiling_rate=row["cap_rate"],
        ceiling_burst=row["cap_depth"],
        ceiling_slack=row["hard_slack"],
    )


def _limits(row: Fields) -> api.Limits:
    return api.Limits(
        max_attempts=row["attempts_cap"],
        may_duplicate=row["may_duplicate"],
        can_cancel=row["cancelling"],
        can_probe=row["probes"],
        can_message_peers=row["peers"],
        can_advise_retry=row["retry_after"],
        max_open=row["open_cap"],
        connect_timeout_ms=row["connect_timeout_ms"],
        max_retry_after_ms=row["max_retry_after_ms"],
        connection_idle_ms=row.get("conn_idle_ms") or api.DEFAULT_IDLE_MS,
    )


def _contract(row: Fields) -> api.Contract:
    return api.Contract(
        answer_slack_ms=row["answer_slack_ms"],
        drain_grace_ms=row["drain_grace_ms"],
        cold_share=row["start_capacity"],
        warm_up_ms=row["warm_up_ms"],
        tip_multiple=row["tip_multiple"],
        tip_window_ms=row["fall_ms"],
        ask_within_ms=row["must_ask_in_ms"],
    )


def settings_from(env: Fields) -> api.Settings:
    """The settings object that an instance of the simulator, or a real gateway, is given at its start."""
    info, load = env["family_info"], env["load_info"]
    return api.Settings(
        gateways=env["balancers"],
        index=env["slot_no"],
        zone=env["locality"],
        classes=tuple(_class(row) for row in env["services"]),
        plans=tuple(_plan(row) for row in env["tariffs"]),
        limits=_limits(env["limits"]),
        contract=_contract(env["contract"]),
        discovery=DISCOVERY[env["discovery"]],
        load_fields=tuple(LOAD_FIELD.get(name, name) for name in load["names"]),
        meter_period_ms=info["meter_ms"],
        largest_units=info["largest"],
        settles=info["settles"],
        has_counter=info["has_counter"],
        counter_timeout_ms=info["count_limit_ms"],
        tick_ms=env["tick_ms"],
        cross_zone_price=env["deductions"]["cross_zone"],
    )
