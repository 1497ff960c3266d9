"""Slopes of a whole configuration document by its routes and its tenants, and of a change by its tenants."""

from __future__ import annotations

import zlib

import msgspec

from brackenloft.configuration.model import Delta, Items, Names, Record, Tenant
from brackenloft.lab.scale import samples
from brackenloft.lab.scale.measuring import exact, held_bytes, point, repeated_ms, slope
from brackenloft.lab.scale.slopes import Point, Slope

SERVICES = 140
ROUTES, TENANTS = (39, 390, 3_900), (55, 550, 5_500, 55_000)
MOST_ROUTES, MOST_TENANTS = ROUTES[-1], TENANTS[-1]
DIGEST = bytes(16)


def slopes() -> list[Slope]:
    """By routes with few tenants, by tenants with few routes, and the target's whole."""
    found = [
        *_along("routes", [(routes, routes, TENANTS[0]) for routes in ROUTES]),
        *_along("tenants", [(tenants, ROUTES[0], tenants) for tenants in TENANTS]),
    ]
    whole = _measured(MOST_TENANTS, MOST_ROUTES, MOST_TENANTS)
    found += [
        slope(
            f"document_{name}",
            f"the target's whole document: {measures}",
            "tenants (3,900 routes)",
            unit,
            [each],
        )
        for (name, measures, unit), each in zip(FIGURES, whole, strict=True)
    ]
    return [*found, *delta_slopes()]


FIGURES = (
    ("json_bytes", "as JSON", "bytes"),
    ("msgpack_bytes", "as msgpack", "bytes"),
    ("zlib_bytes", "as JSON, zlib", "bytes"),
    ("decode_ms", "decoded from JSON", "ms"),
    ("decode_msgpack_ms", "decoded from msgpack", "ms"),
    ("state_bytes", "kept in memory", "bytes"),
)


def _along(axis: str, sizes: list[tuple[int, int, int]]) -> list[Slope]:
    rows = [_measured(size, routes, tenants) for size, routes, tenants in sizes]
    return [
        slope(f"document_{name}_by_{axis}", f"a document by its {axis}: {measures}", axis, unit, points)
        for (name, measures, unit), points in zip(FIGURES, zip(*rows, strict=True), strict=True)
    ]


def _measured(size: int, routes: int, tenants: int) -> list[Point]:
    items = samples.configuration(SERVICES, routes, tenants)
    json_data, packed = msgspec.json.encode(items), msgspec.msgpack.encode(items)
    decode = repeated_ms(lambda: msgspec.json.decode(json_data, type=Items))
    decode_packed = repeated_ms(lambda: msgspec.msgpack.decode(packed, type=Items))
    kept = held_bytes(lambda: msgspec.msgpack.decode(packed, type=Items))
    return [
        exact(size, len(json_data)),
        exact(size, len(packed)),
        exact(size, len(zlib.compress(json_data))),
        point(size, decode),
        point(size, decode_packed),
        exact(size, kept),
    ]


def delta_slopes() -> list[Slope]:
    """A typed change of some tenants as one record: its bytes, plain and compressed."""
    plain, compressed = [], []
    for tenants in (1, 10, 100, 1_000, 10_000, 55_000):
        items = samples.configuration(1, 0, tenants).tenants
        record = Record(
            1,
            DIGEST,
            Delta(0, Items(tenants=tuple(Tenant(t.name, t.plan) for t in items)), Names()),
            author="operator",
            note="moved to another plan",
            published_at_s=1.0,
        )
        data = msgspec.msgpack.encode(record)
        plain.append(exact(tenants, len(data)))
        compressed.append(exact(tenants, len(zlib.compress(data))))
    return [
        slope("delta_bytes", "a change as one record", "tenants in the change", "bytes", plain),
        slope(
            "delta_zlib_bytes", "a change as one record, zlib", "tenants in the change", "bytes", compressed
        ),
    ]
