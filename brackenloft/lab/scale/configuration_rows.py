"""The page's rows of configuration: what carries it, and the other ways that were weighed."""

from __future__ import annotations

from brackenloft.lab.scale import configuration_formulas as c
from brackenloft.lab.scale import formulas as f
from brackenloft.lab.scale.rows import Periods, Role, Row, same

FOLLOWING = "configuration/following, client"
APPLYING = "configuration/applying, builder"
SERVER = "configuration/service, server"
NOT_TAKEN = "not taken"


def gateway_rows() -> tuple[Row, ...]:
    """What a gateway spends to follow."""
    return (
        Row(
            Role.GATEWAY,
            "configuration: a change in force everywhere",
            "s",
            "of all revisions and gateways of the scale run 99 in 100, and the worst, with a control server "
            "killed and a zone cut in it; worst day: all gateways anew",
            Periods(
                lambda s: s.ran("in_force_s_p99"),
                lambda s: s.ran("in_force_s_worst"),
                lambda s: s.ran("restart_storm_s"),
            ),
            FOLLOWING,
            (),
            lambda budget: budget.in_force_s,
            "snapshots for all gateways at once: control servers hand them out at a stated pace",
            ("in_force_s_p99", "in_force_s_worst", "restart_storm_s"),
        ),
        Row(
            Role.GATEWAY,
            "configuration: bytes both ways",
            "bytes/s",
            "steady: the run at rest (polls with their HTTP heads, one change a minute, the list's watch); a "
            "burst of 50 changes: as it ran; worst day: a snapshot in a minute, and the polls",
            Periods(
                lambda s: s.ran("control_bytes_s"),
                lambda s: s.ran("bursting_bytes_s") * s.ran("bursting_s") / f.MINUTE_S,
                lambda s: c.snapshot_bytes(s) / f.MINUTE_S + s.ran("control_bytes_s"),
            ),
            FOLLOWING,
            ("offer_bytes", "snapshot_bytes"),
            lambda budget: budget.control_bytes_s,
            "changes of a thousand tenants and more, many in a minute",
            ("control_bytes_s", "bursting_bytes_s", "bursting_s"),
        ),
        Row(
            Role.GATEWAY,
            "configuration: processor",
            "% of a core",
            "steady: the run at rest; a burst of 50 changes in a minute: as it ran; worst day: as all began "
            "anew, in a minute",
            Periods(
                lambda s: s.ran("control_cpu_percent"),
                lambda s: s.ran("bursting_cpu_percent") * s.ran("bursting_s") / f.MINUTE_S,
                lambda s: s.ran("storming_cpu_percent") * s.ran("storming_s") / f.MINUTE_S,
            ),
            APPLYING,
            (),
            lambda budget: budget.control_core_percent,
            "changes of every tenant: each is a document built anew",
            (
                "control_cpu_percent",
                "bursting_cpu_percent",
                "bursting_s",
                "storming_cpu_percent",
                "storming_s",
            ),
        ),
        Row(
            Role.GATEWAY,
            "configuration: longest hold of the loop",
            "ms",
            "the worst step of a small change, of one of every tenant, of a snapshot, by slopes; the run's "
            "own is by the wall clock on a machine with other work",
            Periods(
                lambda s: s.worst("tree_step_ms", c.SMALL_CHANGE),
                lambda s: s.worst("tree_step_ms", s.target.tenants),
                lambda s: s.worst("snapshot_step_ms", s.target.tenants),
            ),
            APPLYING,
            ("tree_step_ms", "snapshot_step_ms"),
            lambda budget: budget.added_ms,
            "a pass of the collector of cycles over the document, if it is not frozen",
        ),
        Row(
            Role.GATEWAY,
            "configuration: a pass of the collector over the document",
            "ms",
            "collector_pass_ms(tenants), the worst; beside it the pass over all else",
            same(lambda s: s.worst("collector_pass_ms", s.target.tenants)),
            APPLYING,
            ("collector_pass_ms",),
            lambda budget: budget.added_ms,
            "tables of tenants that grow",
        ),
        Row(
            Role.GATEWAY,
            "configuration: state",
            "bytes",
            "document_state_bytes + tree_state_bytes, and a second revision while one is built",
            Periods(
                lambda s: c.state_bytes(s) + s.at("tree_second_bytes", c.SMALL_CHANGE),
                lambda s: c.state_bytes(s) + s.at("tree_second_bytes", s.target.tenants),
                lambda s: 2.0 * c.state_bytes(s),
            ),
            APPLYING,
            ("document_state_bytes", "tree_state_bytes", "tree_second_bytes"),
            lambda budget: budget.control_memory_mb * 1e6,
            "nothing near",
        ),
        Row(
            Role.GATEWAY,
            "configuration: regions apart for five minutes",
            "s",
            "how long after it all have the newest; no run with cuts between regions was made",
            Periods(),
            FOLLOWING,
            (),
            lambda budget: budget.in_force_s,
        ),
    )


def control_rows() -> tuple[Row, ...]:
    """A control server, of six."""
    role = Role.CONTROL_SERVER
    return (
        Row(
            role,
            "polls in",
            "messages/s",
            "gateways / control machines / 4 s of a long poll; a burst: and each change answered; worst day: "
            "a zone of them at three machines",
            Periods(f.control_polls_s, c.polls_in_a_burst_s, lambda s: 2.0 * f.control_polls_s(s)),
            SERVER,
        ),
        Row(
            role,
            "snapshots out",
            "bytes/s",
            "nothing at rest; worst day: as many a second as are admitted, each with its offer",
            Periods(lambda s: 0.0, lambda s: 0.0, lambda s: c.SNAPSHOTS_S * c.snapshot_bytes(s)),
            "configuration/admission",
            ("offer_bytes", "snapshot_bytes"),
            None,
            "the network of a machine: 1 Gbit/s carries 125 MB/s",
        ),
        Row(
            role,
            "processor",
            "% of a core",
            "the busiest of the run: at rest; in a burst; as all gateways begin anew",
            Periods(
                lambda s: s.ran("control_server_cpu_percent"),
                lambda s: s.ran("bursting_server_cpu_percent"),
                lambda s: s.ran("storming_server_cpu_percent"),
            ),
            SERVER,
            (),
            lambda budget: 100.0,
            "one core: a burst of changes while all gateways begin anew",
            ("control_server_cpu_percent", "bursting_server_cpu_percent", "storming_server_cpu_percent"),
        ),
        Row(
            role,
            "memory",
            "bytes",
            "the largest of the run",
            same(lambda s: s.ran("control_server_memory_mb") * 1e6),
            SERVER,
            (),
            None,
            "nothing near",
            ("control_server_memory_mb",),
        ),
    )


def store_rows() -> tuple[Row, ...]:
    """What the register of what stands adds to the stores."""
    return (
        Row(
            Role.STORE,
            "configuration: trips in",
            "messages/s",
            "control machines x 2 readings a second, and at each change a read and a compare-and-swap of "
            "three trips",
            Periods(
                lambda s: c.register_trips_s(s, f.config_changes_s(s)),
                lambda s: c.register_trips_s(s, f.config_burst_s(s)),
                lambda s: c.register_trips_s(s, f.config_burst_s(s)),
            ),
            "configuration/standing_register",
            (),
            None,
            "nothing near",
        ),
    )


def operator_rows() -> tuple[Row, ...]:
    """The commands of the operators."""
    return (
        Row(
            Role.OPERATOR,
            "publish a change",
            "s",
            "from asking until it is answered: median and worst of the run, with a server killed in it",
            Periods(
                lambda s: s.ran("publish_s_p50"),
                lambda s: s.ran("publish_s_worst"),
                lambda s: s.ran("publish_s_worst"),
            ),
            "configuration/cli, publisher",
            (),
            lambda budget: budget.in_force_s,
            "a server that dies while it publishes: the answer is not known until another is asked",
            ("publish_s_p50", "publish_s_worst"),
        ),
        Row(
            Role.OPERATOR,
            "be told that a change of every tenant is in force everywhere",
            "s",
            "from asking for it: of the run",
            same(lambda s: s.ran("told_everywhere_s")),
            "configuration/status_report",
            (),
            None,
            "one gateway that is cut off: it is said to be",
            ("told_everywhere_s",),
        ),
    )


def other_ways() -> tuple[Row, ...]:
    """What was there before, and what was weighed and left."""
    whole = ("document_zlib_bytes",)
    burst = "changes/s x document_zlib_bytes; a burst of 50 changes; worst day: once in a minute"
    return (
        Row(
            Role.GATEWAY,
            "a restart of each gateway: in force everywhere",
            "s",
            "gateways / machines replaced or failed a second: today's pace of restarts (what is done, not "
            "what could be)",
            same(f.restarts_s),
            NOT_TAKEN,
            (),
            lambda budget: budget.in_force_s,
            "what there was before: SIGHUP takes over `discovery` alone",
            taken=False,
        ),
        Row(
            Role.GATEWAY,
            "a restart of each gateway: restarts",
            "restarts/day",
            "changes/day x gateways, against the replacements that a day has",
            same(lambda s: float(s.target.changes_per_day * s.target.gateways)),
            NOT_TAKEN,
            (),
            lambda budget: float(f.TARGET_REPLACEMENTS),
            "each restart empties queues and what was learned",
            taken=False,
        ),
        Row(
            Role.GATEWAY,
            "whole documents: bytes in",
            "bytes/s",
            burst,
            Periods(
                f.whole_documents_s,
                lambda s: f.config_burst_s(s) * f.whole_document_bytes(s),
                lambda s: f.whole_document_bytes(s) / f.MINUTE_S,
            ),
            NOT_TAKEN,
            whole,
            lambda budget: budget.control_bytes_s,
            "a burst: each small change sends every route and tenant again",
            taken=False,
        ),
        Row(
            Role.GATEWAY,
            "whole documents: processor",
            "% of a core",
            "as the bytes, x document_decode_ms",
            Periods(
                lambda s: f.config_changes_s(s) * f.document_decode_percent(s),
                lambda s: f.config_burst_s(s) * f.document_decode_percent(s),
                lambda s: f.document_decode_percent(s) / f.MINUTE_S,
            ),
            NOT_TAKEN,
            ("document_decode_ms",),
            lambda budget: budget.control_core_percent,
            "a burst",
            taken=False,
        ),
        Row(
            Role.GATEWAY,
            "whole documents: longest hold of the loop",
            "ms",
            "document_decode_ms",
            same(lambda s: s.at("document_decode_ms", s.target.tenants)),
            NOT_TAKEN,
            ("document_decode_ms",),
            lambda budget: budget.added_ms,
            "the document is decoded in one go",
            taken=False,
        ),
        Row(
            Role.CONTROL_SERVER,
            "whole documents: bytes out",
            "bytes/s",
            "gateways / control machines x a gateway's bytes; one change sent to all within 12 s",
            Periods(f.control_bytes_s, f.control_bytes_now_s, f.control_bytes_now_s),
            NOT_TAKEN,
            whole,
            None,
            "the network of six machines, at each change",
            taken=False,
        ),
        Row(
            Role.STORE,
            "all from the stores: bytes out",
            "bytes/s",
            "each gateway reads the whole document from a majority at each change: 2/3 of gateways x a "
            "gateway's bytes; one change within 12 s",
            Periods(f.store_bytes_s, f.store_bytes_now_s, f.store_bytes_now_s),
            NOT_TAKEN,
            whole,
            None,
            "the stores' network, at each change",
            taken=False,
        ),
    )
