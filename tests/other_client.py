"""Run as a program of its own: a client that nobody here wrote, told by lines what to do at a registry.

In a process apart, as it keeps timers and threads that outlive its end.
"""

import asyncio
import json
import os
import sys

import py_eureka_client.eureka_client as other

NAME = "theirs"


def seen(applications) -> dict:
    """Instances by id: port, cell, and the list's count."""
    return {
        "count": applications.apps__hashcode,
        "instances": {
            item.instanceId: [item.port.port, item.port.enabled, item.metadata.get("cell")]
            for app in applications.applications
            for item in app.instances
        },
    }


async def main(url: str, port: int) -> None:
    client = other.EurekaClient(
        eureka_server=url,
        app_name="board",
        instance_id=NAME,
        instance_host="localhost",
        instance_ip="127.0.0.1",
        instance_port=port,
        renewal_interval_in_secs=1,
        duration_in_secs=30,
        metadata={"zone": "a", "cell": "7"},
    )
    loop = asyncio.get_running_loop()
    while line := (await loop.run_in_executor(None, sys.stdin.readline)).split():
        work = {
            "start": lambda: client.start(),
            "stop": lambda: client.stop(),
            "apps": lambda: other.get_applications(url),
            "vip": lambda: other.get_vip(url, "board"),
            "delta": lambda: other.get_delta(url),
            "out": lambda: other.status_update(url, "board", NAME, line[1], "OUT_OF_SERVICE"),
            "in": lambda: other.delete_status_override(url, "board", NAME, line[1]),
        }[line[0]]
        result = await work()
        print(json.dumps(seen(result) if line[0] in ("apps", "vip", "delta") else "done"), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
    os._exit(0)  # its timers would go on
