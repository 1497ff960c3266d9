"""What the registry answers: an instance, and lists of them in full, compact, older JSON and XML form."""

from __future__ import annotations

from typing import Any
from xml.sax.saxutils import escape, quoteattr

from brackenloft.standins.eureka.lease import LEASE_S, Info, Lease


def show(name: tuple[str, str], lease: Lease) -> Info:
    """An instance as others are told of it."""
    info = dict(lease.info)
    lease_info = info.get("leaseInfo", {})
    return {
        "instanceId": name[1],
        "hostName": "localhost",
        "ipAddr": "127.0.0.1",
        **info,
        "app": name[0],
        "status": lease.shown,
        "overriddenStatus": lease.override,
        "port": _port(info.get("port"), True),
        "securePort": _port(info.get("securePort"), False),
        "countryId": 1,
        "dataCenterInfo": info.get(
            "dataCenterInfo",
            {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        ),
        "leaseInfo": {
            "renewalIntervalInSecs": lease_info.get("renewalIntervalInSecs", 30),
            "durationInSecs": lease_info.get("durationInSecs", LEASE_S),
            "registrationTimestamp": int(lease.registered_ms),
            "lastRenewalTimestamp": int(lease.renewed_ms),
            "evictionTimestamp": 0,
            "serviceUpTimestamp": int(lease.up_since_ms),
        },
        "metadata": info.get("metadata") or {"@class": "java.util.Collections$EmptyMap"},
        "isCoordinatingDiscoveryServer": "false",
        "lastUpdatedTimestamp": str(int(lease.updated_ms)),
        "lastDirtyTimestamp": str(info.get("lastDirtyTimestamp", int(lease.registered_ms))),
        "actionType": lease.action,
    }


def _port(value: Any, enabled: bool) -> Info:
    if isinstance(value, dict):
        return {"$": int(value.get("$", 0)), "@enabled": str(value.get("@enabled", "false")).lower()}
    return {"$": int(value or (7001 if enabled else 7002)), "@enabled": str(bool(value) and enabled).lower()}


COMPACT = (
    "instanceId",
    "hostName",
    "app",
    "ipAddr",
    "status",
    "overriddenStatus",
    "port",
    "securePort",
    "vipAddress",
    "secureVipAddress",
    "metadata",
    "actionType",
    "dataCenterInfo",
)


def compact(document: Info) -> Info:
    """The short form: no lease, no times, no links."""
    return {
        **document,
        "application": [
            {
                **app,
                "instance": [{key: item[key] for key in COMPACT if key in item} for item in app["instance"]],
            }
            for app in document["application"]
        ],
    }


def single(document: Info) -> Info:
    """The older JSON form, where a list of one is that one alone."""
    apps = [
        {**app, "instance": app["instance"][0] if len(app["instance"]) == 1 else app["instance"]}
        for app in document["application"]
    ]
    return {**document, "application": apps[0] if len(apps) == 1 else apps}


def xml(root: str, document: Info) -> str:
    """The same as XML."""

    def element(name: str, value: Any) -> str:
        if isinstance(value, list):
            return "".join(element(name, item) for item in value)
        if isinstance(value, dict):
            attributes = "".join(
                f" {key[1:]}={quoteattr(str(item))}" for key, item in value.items() if key.startswith("@")
            )
            inner = "".join(
                escape(str(item)) if key == "$" else element(key, item)
                for key, item in value.items()
                if not key.startswith("@")
            )
            return f"<{name}{attributes}>{inner}</{name}>"
        name = "overriddenstatus" if name == "overriddenStatus" else name
        return f"<{name}>{escape(str(value))}</{name}>"

    return element(root, document)
