"""Slopes of a Eureka registry's answers by instances and by changes: bytes as JSON and packed."""

from __future__ import annotations

import gzip
import json
from typing import Any

from brackenloft.lab.scale.measuring import exact, slope
from brackenloft.lab.scale.slopes import Slope
from brackenloft.standins.eureka import Registry

APP = "BOARD"
INSTANCES, CHANGED = (10, 100, 1_000, 6_300), (1, 10, 100, 900)


def _instance(number: int) -> dict[str, Any]:
    """As long as a usual one, with links and metadata."""
    port = 7_000 + number % 1_000
    name = f"server-{number:05d}"
    return {
        "instanceId": name,
        "hostName": name,
        "status": "UP",
        "vipAddress": "board",
        "app": APP,
        "ipAddr": f"10.1.{number // 256}.{number % 256}",
        "secureVipAddress": "board",
        "sid": "na",
        "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "homePageUrl": f"http://{name}:{port}/",
        "statusPageUrl": f"http://{name}:{port}/info",
        "healthCheckUrl": f"http://{name}:{port}/health",
        "metadata": {"zone": "abcdefg"[number % 7], "cell": str(number % 50), "machineType": "m3"},
    }


def slopes() -> list[Slope]:
    """A whole answer by instances, a delta by the changes in its window."""
    plain, packed = [], []
    for size in INSTANCES:
        data = json.dumps(_filled(size).whole()).encode()
        plain.append(exact(size, len(data)))
        packed.append(exact(size, len(gzip.compress(data, mtime=0))))
    delta = [exact(changed, len(json.dumps(_filled(changed).delta()).encode())) for changed in CHANGED]
    return [
        slope("registry_whole_bytes", "a registry's whole answer as JSON", "instances", "bytes", plain),
        slope("registry_whole_gzip_bytes", "a registry's whole answer, gzip", "instances", "bytes", packed),
        slope("registry_delta_bytes", "a registry's delta as JSON", "changes in its window", "bytes", delta),
    ]


def _filled(instances: int) -> Registry:
    book = Registry(lambda: 0.0)
    for number in range(instances):
        book.register(APP, _instance(number))
    return book
