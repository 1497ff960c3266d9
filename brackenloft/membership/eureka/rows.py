"""An instance as a registry writes it, read once and leniently: what is absent or odd costs little.

Both forms, JSON and XML, come here as the same nested dicts. Numbers and flags may be texts.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import AddressValueError, IPv4Address
from math import isfinite
from typing import Any

MOST_TEXT = 256  # characters of any name that is kept
LAST_PORT = 65535
UP, UNKNOWN = "UP", "UNKNOWN"
STATUSES = ("UP", "DOWN", "STARTING", "OUT_OF_SERVICE", UNKNOWN)
ID_IN_CLOUD = "instance-id"  # of the data center's metadata, where there is no id of the instance's own
ZONE_IN_CLOUD = "availability-zone"
NUMBER = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,9})?")
Id = tuple[str, str]  # application and instance


class RowError(ValueError):
    """An instance that can't be used; says why."""


@dataclass(frozen=True, slots=True)
class Row:
    """What is read of an instance. Ports are 0 where they are disabled or absent, times 0 where they are."""

    app: str
    instance: str
    status: str
    overridden: str
    ip: str
    host: str
    port: int
    secure_port: int
    vips: tuple[str, ...]
    secure_vips: tuple[str, ...]
    action: str
    registered_ms: float
    up_since_ms: float
    updated_ms: float
    dirty_ms: float
    zone: str
    metadata: Mapping[str, str] = field(default_factory=dict)

    @property
    def id(self) -> Id:
        """Its identity in the registry."""
        return self.app, self.instance

    @property
    def in_service(self) -> bool:
        """Whether new work may go there: its status and its override both say so.

        Guards against an override that the instance's own report hides, as right after it registered anew.
        """
        return self.status == UP and self.overridden in (UP, UNKNOWN)


def status_of(raw: Mapping[str, Any]) -> tuple[Id, str]:
    """Identity and status alone, for the registry's own count. Raises RowError."""
    app = _text(raw.get("app")).upper()
    name = _text(raw.get("instanceId")) or _cloud(raw).get(ID_IN_CLOUD) or _text(raw.get("hostName"))
    if not app or not name:
        raise RowError("no application, or no instance id")
    return (app, name), _status(raw.get("status"))


def row(raw: Mapping[str, Any]) -> Row:
    """An instance. Raises RowError."""
    (app, name), status = status_of(raw)
    lease, metadata = _table(raw.get("leaseInfo")), _texts(raw.get("metadata"))
    override = raw.get("overriddenStatus", raw.get("overriddenstatus"))
    return Row(
        app=app,
        instance=name,
        status=status,
        overridden=_status(override),
        ip=_text(raw.get("ipAddr")),
        host=_text(raw.get("hostName")),
        port=_port(raw.get("port"), enabled=True),
        secure_port=_port(raw.get("securePort"), enabled=False),
        vips=_names(raw.get("vipAddress")),
        secure_vips=_names(raw.get("secureVipAddress")),
        action=_text(raw.get("actionType")).upper(),
        registered_ms=_number(lease.get("registrationTimestamp")),
        up_since_ms=_number(lease.get("serviceUpTimestamp")),
        updated_ms=_number(raw.get("lastUpdatedTimestamp")),
        dirty_ms=_number(raw.get("lastDirtyTimestamp")),
        zone=metadata.get("zone") or _cloud(raw).get(ZONE_IN_CLOUD, ""),
        metadata=metadata,
    )


def ipv4(row: Row) -> str:
    """The address to connect to. Raises RowError: names are not resolved, each connect would wait for it."""
    for text in (row.ip, row.host):
        try:
            return str(IPv4Address(text))
        except AddressValueError:
            continue
    raise RowError(f"no IPv4 address: {row.ip!r:.60}, {row.host!r:.60}")


def _table(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, dict) else {}


def _text(value: Any) -> str:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        value = str(value)
    if not isinstance(value, str):
        return ""
    if len(value) > MOST_TEXT:
        raise RowError(f"a text of {len(value)} characters")
    return value.strip()


def _texts(value: Any) -> dict[str, str]:
    """A table of texts; what is none is left out. ``@class`` names the server's own type."""
    return {
        key: item.strip()
        for key, item in _table(value).items()
        if isinstance(item, str) and len(item) <= MOST_TEXT and not key.startswith("@")
    }


def _cloud(raw: Mapping[str, Any]) -> dict[str, str]:
    return _texts(_table(raw.get("dataCenterInfo")).get("metadata"))


def _status(value: Any) -> str:
    """One of STATUSES; whatever else there is counts as unknown, as it does at the registry."""
    text = _text(value).upper()
    return text if text in STATUSES else UNKNOWN


def _number(value: Any) -> float:
    if isinstance(value, str) and NUMBER.fullmatch(value.strip()):
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        return 0.0
    return max(0.0, float(value))


def _port(value: Any, enabled: bool) -> int:
    """``{"$": 8080, "@enabled": "true"}``, or a number; 0 if it is disabled. ``enabled``: if not told."""
    number = value
    if isinstance(value, dict):
        number = value.get("$")
        said = value.get("@enabled")
        if said is not None:
            enabled = str(said).strip().lower() == "true"
    if not enabled:
        return 0
    port = _number(number)
    if not port:
        return 0
    if port != int(port) or port > LAST_PORT:
        raise RowError(f"no port: {number!r:.60}")
    return int(port)


def _names(value: Any) -> tuple[str, ...]:
    return tuple(name.strip() for name in _text(value).split(",") if name.strip())
