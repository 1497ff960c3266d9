"""The settings of a run, in the platform's form, and what follows from them for the rules."""

from __future__ import annotations

from typing import Any

from brackenloft.lab.soak.invariants import SlowStart

COLD_SHARE, WARM_UP_MS, TIP_MULTIPLE, WINDOW_MS = 0.2, 16_000.0, 2.0, 2_000.0
LONGEST_DEADLINE_MS = 3_000.0
KEY_MEMORY_MS = 6_000.0


def _service(name: str, effect: str) -> dict[str, Any]:
    return {
        "name": name,
        "slo_ms": 1_000.0,
        "hard_limit_ms": LONGEST_DEADLINE_MS,
        "effect": effect,
        "value": 1.0,
        "late_share": 0.0,
        "key_scope": "all",
        "memory_span_ms": KEY_MEMORY_MS,
        "stream": False,
    }


def settings(number: int, gateways: int) -> dict[str, Any]:
    """The settings of one gateway."""
    return {
        "balancers": gateways,
        "slot_no": number,
        "locality": "a",
        "discovery": "automatic",
        "tick_ms": 2.0,
        "services": [_service("read", "safe"), _service("post", "keyed"), _service("buy", "unsafe")],
        "tariffs": [
            {
                "name": "free",
                "refill": 0.0,
                "most_at_once": 0.0,
                "parallel": 0,
                "value_factor": 1.0,
                "excess_worth": 0.0,
                "overrun_cost": 0.0,
                "cap_rate": 0.0,
                "cap_depth": 0.0,
                "hard_slack": 0.0,
            }
        ],
        "limits": {
            "attempts_cap": 4,
            "may_duplicate": False,
            "cancelling": True,
            "probes": False,
            "peers": False,
            "retry_after": False,
            "open_cap": 1000,
            "connect_timeout_ms": 2_000.0,
            "max_retry_after_ms": 0.0,
        },
        "contract": {
            "answer_slack_ms": 8.0,
            "drain_grace_ms": 1000.0,
            "start_capacity": COLD_SHARE,
            "warm_up_ms": WARM_UP_MS,
            "tip_multiple": TIP_MULTIPLE,
            "fall_ms": WINDOW_MS,
            "must_ask_in_ms": 10000.0,
        },
        "load_info": {"how": "none", "names": []},
        "family_info": {
            "meter_ms": 1000.0,
            "largest": 1,
            "settles": False,
            "has_counter": False,
            "count_limit_ms": 0.0,
        },
        "deductions": {"cross_zone": 0.01},
    }


def slow_start(calls_per_s: float) -> SlowStart:
    """The budget of a server of this capacity."""
    return SlowStart(calls_per_s, COLD_SHARE, WARM_UP_MS / 1000.0, TIP_MULTIPLE, WINDOW_MS / 1000.0)
