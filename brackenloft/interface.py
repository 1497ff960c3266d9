"""The types that go in and out of the decision module: settings, events, actions, outcomes.

All times are milliseconds. Event times come from the caller's clock, given to ``Gateway.handle``.
Whoever drives a gateway owes it one ``Outcome`` for each ``Send`` and one ``TimerFired`` for each
``SetTimer`` of a request that is not done; the gateway owes each ``Request`` exactly one final answer.

The types themselves stand in ``gateway_types``, by noun.
"""

from brackenloft.gateway_types.actions import (
    HERE,
    Action,
    Allowance,
    Cancel,
    CloseIdle,
    CounterAdd,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    Subscribe,
    TellPeer,
)
from brackenloft.gateway_types.enums import (
    DiscoveryMode,
    Effect,
    KeyScope,
    ListKind,
    ServerState,
    Status,
)
from brackenloft.gateway_types.events import (
    ClientGone,
    CounterReply,
    Event,
    Outcome,
    PeerMessage,
    PlansChanged,
    ProbeResult,
    Reading,
    Request,
    ServerEntry,
    ServerList,
    Stopping,
    StreamStarted,
    TimerFired,
)
from brackenloft.gateway_types.settings import (
    DEFAULT_IDLE_MS,
    Contract,
    Limits,
    Plan,
    RequestClass,
    Settings,
)
from brackenloft.gateway_types.validation import (
    NUMBERS,
)

__all__ = [
    "Action",
    "Allowance",
    "Cancel",
    "ClientGone",
    "CloseIdle",
    "Contract",
    "CounterAdd",
    "CounterReply",
    "DEFAULT_IDLE_MS",
    "DiscoveryMode",
    "Effect",
    "Event",
    "Fail",
    "FetchList",
    "HERE",
    "KeyScope",
    "Limits",
    "ListKind",
    "Log",
    "NUMBERS",
    "Outcome",
    "PeerMessage",
    "Plan",
    "PlansChanged",
    "Probe",
    "ProbeResult",
    "Reading",
    "Refuse",
    "Request",
    "RequestClass",
    "Send",
    "ServerEntry",
    "ServerList",
    "ServerState",
    "SetTimer",
    "Settings",
    "Status",
    "Stopping",
    "StreamStarted",
    "Subscribe",
    "TellPeer",
    "TimerFired",
]
