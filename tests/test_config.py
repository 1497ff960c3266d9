"""Configuration that is checked, and the command line: an error is one line that names the key."""

import asyncio
import copy
import json
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from fakes import run

from brackenloft import config
from brackenloft.cli import main
from brackenloft.standins import BoardNode
from brackenloft.standins.eureka import Registry, RegistryServer
from brackenloft.standins.ports import free_port

ROOT = Path(__file__).parent.parent
EXAMPLE = tomllib.loads((ROOT / "deploy" / "example.toml").read_text())


def changed(place: str, value=None) -> dict:
    """The example with the value at this place; None takes it away."""
    document = copy.deepcopy(EXAMPLE)
    *way, last = [int(part) if part.isdecimal() else part for part in place.split(".")]
    inner = document
    for part in way:
        inner = inner[part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return document


def test_example_is_good_as_toml_and_as_json(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(EXAMPLE))
    for name in (path, ROOT / "deploy" / "example.toml"):
        assert main(["check-config", "--config", str(name)]) == 0
    assert "2 plans, 3 classes, servers from 2 nodes" in capsys.readouterr().out
    assert config.load(path) == config.load(ROOT / "deploy" / "example.toml")


@pytest.mark.parametrize(
    "place, value, words",
    [
        ("lisen", "127.0.0.1:1", "lisen: unknown key, listen is meant?"),
        ("listen", "nowhere", "listen: not host:port"),
        ("listen", "h:70000", "listen: not host:port"),
        ("listen", 7, "listen: 7 is not a text"),
        ("plans.0.rat", 1.0, "plans[0].rat: unknown key, rate is meant?"),
        ("plans.0.rate", "1", "plans[0].rate: '1' is not a number"),
        ("plans.0.rate", True, "plans[0].rate: True is not a number"),
        ("plans.0.rate", -1.0, "rate: -1.0"),
        ("plans.0.name", None, "plans[0].name: is missing"),
        ("plans.1.name", "bairro", "plans: "),
        ("classes.0.effect", "sometimes", "classes[0].effect: 'sometimes' is none of safe, keyed, unsafe"),
        ("classes", None, "classes: is missing"),
        ("classes", 7, "classes: not a list"),
        ("site", 7, "site: not a table"),
        ("site.gateways", 0, "gateways: 0"),
        ("site.gateways", 1.5, "site.gateways: 1.5 is not a whole number"),
        ("room.client_connections", 0, "client_connections"),
        ("nodes", None, "discovery: either"),
        ("discovery", "127.0.0.1:1", "discovery: either"),
        ("nodes.0.port", 99999, "port"),
        ("nodes.1.name", "board-1", "nodes: names one twice"),
        ("attempts.max_attempts", 0, "max_attempts"),
    ],
)
def test_wrong_key_ends_the_start_with_one_line_that_names_it(place, value, words, tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed(place, value)))
    for command in ("check-config", "serve"):
        assert main([command, "--config", str(path)]) == 2
        said = capsys.readouterr().err
        assert words in said and said.count("\n") == 1 and str(path) in said


@pytest.mark.parametrize(
    "name, text",
    [
        ("c.toml", "= nothing"),
        ("c.json", "{half"),
        ("c.json", "[]"),
        ("c.toml", None),
    ],
)
def test_file_that_can_not_be_read_is_one_line(name, text, tmp_path, capsys):
    path = tmp_path / name
    if text is not None:
        path.write_text(text)
    assert main(["check-config", "--config", str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def brackenloft(*words: str) -> list[str]:
    return [sys.executable, "-m", "brackenloft.cli", *words]


async def asked(*words: str) -> tuple[int, bytes]:
    process = await asyncio.create_subprocess_exec(
        *brackenloft("call", *words), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    out, _ = await process.communicate()
    return process.returncode, out


def test_serve_and_call_on_real_sockets(tmp_path):
    async def test():
        board, other = await BoardNode("b", work_s=0.0).start(), await BoardNode("c", work_s=0.0).start()
        path = tmp_path / "config.json"

        def write(node):
            document = changed("nodes", [{"name": node.name, "host": "127.0.0.1", "port": node.port}])
            path.write_text(json.dumps({**document, "listen": "127.0.0.1:0"}))

        write(board)
        process = await asyncio.create_subprocess_exec(
            *brackenloft("serve", "--config", str(path)), cwd=ROOT, stderr=subprocess.PIPE
        )
        try:
            while b"listening on" not in (line := await process.stderr.readline()):
                assert line
            at = line.split()[-1].decode()
            who = ("--at", at, "--customer", "7", "--plan", "bairro")
            code, said = await asked(*who, "--class", "read-board")
            assert code == 0 and said == b"call.get:" + board.begun[0][1] + b":0\n"
            assert (await asked(*who, "--class", "post-notice", "--key", "k1", "--body", "text"))[0] == 0
            code, said = await asked(*who, "--class", "none")
            assert code == 2 and said.startswith(b"-ERR")
            assert (await asked("--at", "127.0.0.1:1", *who[2:], "--class", "x"))[0] == 2
            write(other)
            process.send_signal(signal.SIGHUP)
            while b"read again" not in await process.stderr.readline():
                pass
            assert (await asked(*who, "--class", "read-board"))[0] == 0 and len(other.begun) == 1
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        board.close()
        other.close()

    run(test())


def test_demo_serves_real_calls_and_answers_each_once():
    done = subprocess.run(
        brackenloft("demo", "--seconds", "2"), cwd=ROOT, capture_output=True, timeout=60, check=False
    )
    assert done.returncode == 0, done.stderr
    (last,) = [line for line in done.stdout.decode().splitlines() if line.startswith("asked ")]
    asked, answered = last.split()[1].rstrip(","), last.split()[3].rstrip(",")
    assert asked == answered and int(asked) > 0 and last.endswith("run twice at a node 0")


def test_bare_program_imports_none_of_the_optional_parts():
    code = (
        "import sys, brackenloft.__main__; "
        "print([m for m in sys.modules if m.startswith(('brackenloft.asgi', 'brackenloft.cli', "
        "'brackenloft.config', 'brackenloft.standins', 'brackenloft.membership', 'brackenloft.graphql', "
        "'brackenloft.quota', 'redis', "
        "'graphql', 'uvicorn', 'httpx', 'msgspec', "
        "'fastapi', 'starlette', 'pydantic'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True)
    assert done.stdout == b"[]\n"


# ---- Sources of servers, in a file of their own

SOURCES = tomllib.loads((ROOT / "deploy" / "membership.toml").read_text())


def with_sources(tmp_path: Path, sources: object, **more: object) -> Path:
    """A configuration that names a file of sources."""
    document = {key: value for key, value in EXAMPLE.items() if key != "nodes"}
    path, file = tmp_path / "config.json", tmp_path / "sources.json"
    path.write_text(json.dumps({**document, "membership": file.name, **more}))
    file.write_text(json.dumps(sources))
    return path


def test_the_example_of_sources_is_good(tmp_path, capsys):
    assert main(["check-config", "--config", str(with_sources(tmp_path, SOURCES))]) == 0
    assert "servers from registry, then spare" in capsys.readouterr().out


@pytest.mark.parametrize(
    "change, words",
    [
        ({"order": []}, "order: is missing"),
        ({"order": ["registry"]}, "order: is to name each of"),
        ({"order": ["registry", "registry"]}, "order: is to name each"),
        ({"combine": "both"}, "combine: 'both'"),
        ({"eureka": [{"name": "registry"}]}, "eureka[0].servers: is missing"),
        ({"combin": 1}, "combine is meant?"),
        ({"eureka": [{"name": "registry", "servers": []}]}, "servers: is empty"),
        ({"eureka": [{"name": "registry", "servers": [{"url": "ftp://h/"}]}]}, "no URL of a registry"),
        ({"eureka": [{"name": "registry", "servers": [{"url": "http://u:p@h/"}]}]}, "no URL of a registry"),
        ({"eureka": [{**SOURCES["eureka"][0], "interval_s": 0.0}]}, "interval_s: below"),
        ({"eureka": [{**SOURCES["eureka"][0], "vip": "a", "secure_vip": "b"}]}, "vip: and secure_vip"),
        ({"eureka": [{**SOURCES["eureka"][0], "most_absent": 2.0}]}, "most_absent: no share"),
        ({"eureka": [{**SOURCES["eureka"][0], "hold_s": -1.0}]}, "hold_ms: below 0"),
        ({"eureka": [{**SOURCES["eureka"][0], "port": "any"}]}, "port: 'any' is none of"),
        ({"eureka": [SOURCES["eureka"][0]] * 2}, "name: names two sources"),
        (
            {"discovery": [{"name": "d", "address": "x"}], "order": ["registry", "spare", "d"]},
            "not host:port",
        ),
        ({"eureka": [], "listed": [], "order": []}, "no source"),
        ({"register": {"at": "spare", "app": "g", "host": "h"}}, "register.at: names no registry"),
        ({"register": {"at": "registry", "app": "", "host": "h"}}, "app: is empty"),
        ({"register": {"at": "registry", "app": "g", "host": "h", "port": 70_000}}, "port: not from 0"),
        (
            {"register": {"at": "registry", "app": "g", "host": "h", "interval_s": 90.0}},
            "interval_s: not from 1",
        ),
    ],
)
def test_a_wrong_key_of_the_sources_is_one_line_too(change, words, tmp_path, capsys):
    path = with_sources(tmp_path, {**SOURCES, **change})
    for command in ("check-config", "serve"):
        assert main([command, "--config", str(path)]) == 2
        said = capsys.readouterr().err
        assert words in said and said.count("\n") == 1 and "sources.json" in said


@pytest.mark.parametrize("text", ["{half", "[]", "7", None])
def test_a_file_of_sources_that_cannot_be_read_is_one_line(text, tmp_path, capsys):
    path = with_sources(tmp_path, SOURCES)
    (tmp_path / "sources.json").unlink()
    if text is not None:
        (tmp_path / "sources.json").write_text(text)
    assert main(["serve", "--config", str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_serve_follows_a_registry_registers_itself_there_and_withdraws(tmp_path):
    async def test():
        board = await BoardNode("b", work_s=0.0).start()
        book = Registry(lambda: time.time() * 1000.0)
        skin = await RegistryServer(book).start()
        book.register("BOARD", {"instanceId": "b", "hostName": "h", "port": board.port})
        book.leases["BOARD", "b"].up_since_ms = 1.0
        admin = free_port()
        path = with_sources(
            tmp_path,
            {
                "eureka": [
                    {"name": "registry", "servers": [{"url": skin.url}], "apps": ["BOARD"], "interval_s": 0.1}
                ],
                "register": {"at": "registry", "app": "gateway", "host": "127.0.0.1", "name": "gw"},
            },
            listen="127.0.0.1:0",
            admin=f"127.0.0.1:{admin}",
        )
        process = await asyncio.create_subprocess_exec(
            *brackenloft("serve", "--config", str(path)), cwd=ROOT, stderr=subprocess.PIPE
        )
        try:
            while b"listening on" not in (line := await process.stderr.readline()):
                assert line
            port = int(line.split()[-1].rpartition(b":")[2])
            while ("GATEWAY", "gw") not in book.leases or book.leases["GATEWAY", "gw"].shown != "UP":
                await asyncio.sleep(0)
            assert book.leases["GATEWAY", "gw"].info["port"]["$"] == port
            code, _ = await asked(
                "--at", f"127.0.0.1:{port}", "--customer", "7", "--plan", "bairro", "--class", "read-board"
            )
            assert code == 0 and len(board.begun) == 1
            process_of_ops = await asyncio.create_subprocess_exec(
                *brackenloft("ops", "metrics", "--at", f"127.0.0.1:{admin}"), cwd=ROOT, stdout=subprocess.PIPE
            )
            out, _ = await process_of_ops.communicate()
            figures = {line.split()[0]: line.split()[1:] for line in out.decode().splitlines()}
            assert figures["membership.ready"] == ["1"] and figures["membership.stale"] == []
            assert figures["membership.sources.registry.servers"] == ["1"]
            process.send_signal(signal.SIGHUP)
            while b"read at the start alone" not in (line := await process.stderr.readline()):
                assert line
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert ("GATEWAY", "gw") not in book.leases
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await skin.close()
        board.close()

    run(test())
