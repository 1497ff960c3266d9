"""The operators' commands, and gateways of ``serve`` that take part, each a process of its own."""

import asyncio
import json
import subprocess
import sys
import time
import tomllib
from contextlib import contextmanager
from pathlib import Path

import pytest

from brackenloft.cli import main
from brackenloft.config import ConfigError
from brackenloft.fleet import config
from brackenloft.lab.fleet.control import Helper

ROOT = Path(__file__).parent.parent
START_S = 40.0


@contextmanager
def stores(count=3):
    """So many store processes; their ports."""

    async def start():
        helpers = [Helper("brackenloft.lab.fleet.store") for _ in range(count)]
        return helpers, [(await helper.start())["port"] for helper in helpers]

    loop = asyncio.new_event_loop()
    helpers, ports = loop.run_until_complete(start())
    try:
        yield ports, helpers, loop
    finally:
        for helper in helpers:
            loop.run_until_complete(helper.end())
        loop.close()


def write(folder, ports, **more):
    places = [{"name": f"s{n}", "url": f"redis://127.0.0.1:{port}"} for n, port in enumerate(ports)]
    tasks = [{"name": "probe", "kind": "probe", "every_ms": 100.0}]
    document = {"stores": places, "lease_ms": 1800.0, "tasks": tasks} | more
    path = folder / "fleet.json"
    path.write_text(json.dumps(document))
    return str(path)


def said(capsys, *words):
    code = main(["fleet", *words, "--json"])
    out = capsys.readouterr()
    return code, json.loads(out.out) if out.out.strip() else out.err


@pytest.mark.trials
def test_an_installation_is_set_up_looked_at_and_has_a_store_replaced(tmp_path, capsys):
    with stores(4) as (ports, helpers, loop):
        path = write(tmp_path, ports)
        assert main(["fleet", "status", "--config", path]) == 1
        assert "fleet init" in capsys.readouterr().err
        code, document = said(capsys, "init", "--config", path, "--stores", "s0,s1,s2")
        assert code == 0 and document["epoch"] == 1
        assert main(["fleet", "init", "--config", path]) == 1  # once
        assert "belongs" in capsys.readouterr().err
        code, document = said(capsys, "status", "--config", path)
        assert code == 0 and document["voting"] == ["s0", "s1", "s2"]
        assert document["tasks"] == {"never begun": 1}
        assert said(capsys, "pause", "probe", "--config", path, "--reason", "tuesday")[1]["changed"]
        code, document = said(capsys, "tasks", "--config", path)
        assert document["tasks"]["probe"]["paused"] == "tuesday"
        assert said(capsys, "resume", "probe", "--config", path)[1]["changed"]
        assert not said(capsys, "resume", "probe", "--config", path)[1]["changed"]
        loop.run_until_complete(helpers[0].end())
        code, document = said(capsys, "stores", "--config", path)
        assert [row["vote"] for row in document["stores"]] == [False, True, True, False]
        code, document = said(capsys, "replace-store", "s0", "s3", "--config", path)
        assert code == 0 and document["epoch"] == 3
        assert said(capsys, "replace-store", "s0", "--config", path)[0] == 1
        assert said(capsys, "release", "nothing", "--config", path)[0] == 1
        loop.run_until_complete(helpers[1].end())
        assert said(capsys, "status", "--config", path)[1]["voting"] == ["s2", "s3"]
        loop.run_until_complete(helpers[2].end())
        code, error = said(capsys, "status", "--config", path)
        assert code == 1 and "too few stores" in error
        for words in (["status"], ["stores"], ["tasks"], ["leases"]):
            main(["fleet", *words, "--config", path])  # for people: a table, or why not
        assert "s3" in capsys.readouterr().out


def gateway(folder, index, fleet):
    path = folder / f"gateway-{index}.json"
    example = tomllib.loads((ROOT / "deploy" / "example.toml").read_text())
    example["site"] |= {"gateways": 2, "index": index}
    path.write_text(json.dumps(example | {"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "fleet": fleet}))
    return subprocess.Popen(
        [sys.executable, "-m", "brackenloft.lab.fleet.gateway", "serve", "--config", str(path)]
    )


def wait_for(capsys, path, fits):
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        code, document = said(capsys, "leases", "--config", path)
        if code == 0 and fits(document["leases"]["probe"] or {}):
            return document["leases"]["probe"]
        time.sleep(0.05)
    raise AssertionError(f"not within {START_S} s: {document}")


@pytest.mark.trials
def test_a_gateway_that_is_ended_hands_its_task_on_and_one_that_is_killed_loses_it(tmp_path, capsys):
    with stores() as (ports, _, _):
        path = write(tmp_path, ports)
        assert said(capsys, "init", "--config", path)[0] == 0
        running = {index: gateway(tmp_path, index, path) for index in (0, 1)}
        try:
            first = wait_for(capsys, path, lambda lease: lease.get("runs", 0) > 2 and lease.get("holder"))
            holder = first["index"]
            running[holder].terminate()
            assert running[holder].wait(START_S) == 0
            second = wait_for(capsys, path, lambda lease: lease.get("index") == 1 - holder)
            assert second["token"] > first["token"] and not second.get("lost")
            running[holder] = gateway(tmp_path, holder, path)
            assert said(capsys, "release", "probe", "--config", path)[1]["changed"]
            third = wait_for(capsys, path, lambda lease: lease.get("token", 0) > second["token"])
            running[third["index"]].kill()
            fourth = wait_for(capsys, path, lambda lease: lease.get("token", 0) > third["token"])
            assert fourth["index"] != third["index"]
        finally:
            for process in running.values():
                process.kill()
                process.wait()


@pytest.mark.parametrize(
    "change, words",
    [
        ({"stores": []}, "stores"),
        ({"lease_ms": 500.0}, "lease_ms"),
        ({"drift": 0.5}, "drift"),
        ({"prefix": "a b"}, "prefix"),
        ({"log": "xml"}, "log"),
        ({"tasks": [{"name": "X", "kind": "probe"}]}, "tasks[0]"),
        ({"tasks": [{"name": "x", "kind": "odd"}]}, "kind"),
        ({"tasks": [{"name": "x", "kind": "probe"}] * 2}, "twice"),
        ({"tasks": [{"name": "x", "kind": "probe", "every_ms": 1.0}]}, "every_ms"),
        ({"nonsense": 1}, "nonsense"),
        ({"stores": [{"name": "s0", "url": "http://x:secret@y"}] * 3}, "url"),
        ({"trial": {"clock_rate": 9.0}}, "clock_rate"),
    ],
)
def test_a_file_that_can_not_be_used_is_told_with_its_key(tmp_path, change, words):
    path = Path(write(tmp_path, [1, 2, 3], **change))
    with pytest.raises(ConfigError, match=words.replace("[", r"\[")) as caught:
        config.load(path)
    assert "secret" not in str(caught.value)


def test_the_file_under_deploy_is_good_and_sweeping_wants_a_counter(tmp_path, capsys):
    assert [task.name for task in config.load(ROOT / "deploy" / "fleet.toml").tasks] == ["probe"]
    path = Path(write(tmp_path, [1, 2, 3], tasks=[{"name": "sweep", "kind": "sweep"}]))
    with pytest.raises(ConfigError, match="counter"):
        config.load(path, counts=False)
    example = tomllib.loads((ROOT / "deploy" / "example.toml").read_text())
    file = tmp_path / "gateway.json"
    file.write_text(json.dumps(example | {"fleet": str(path)}))
    assert main(["check-config", "--config", str(file)]) == 2
    file.write_text(json.dumps(example | {"fleet": str(ROOT / "deploy" / "fleet.toml")}))
    assert main(["check-config", "--config", str(file)]) == 0
    assert "fleet of 3 stores" in capsys.readouterr().out


def test_bare_run_imports_nothing_of_it():
    code = (
        "import sys, brackenloft.__main__; packages = ('redis', 'msgspec', 'typer', 'clandestined'); "
        "print([name for name in sys.modules if name.split('.')[0] in packages"
        " or name.startswith('brackenloft.fleet')])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def lines_of(formats, events):
    """What a program with this format writes of some events, each a call of the logger."""
    code = (
        "import logging, sys; from brackenloft.fleet.logs import as_json, logger;"
        "logging.basicConfig(stream=sys.stdout, level=logging.INFO, format='%(message)s');"
        + ("as_json();" if formats == "json" else "")
        + "log = logger('x');"
        + events
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return done.stdout.splitlines()


@pytest.mark.trials
def test_lines_of_the_log_carry_their_fields_and_odd_ones_do_no_harm():
    events = (
        "log.info('task taken', task='t%s', token=7, why='');"
        "log.info('odd', text='\\ud800\\n' + 'x' * 9999); log.debug('not shown');"
        "logging.getLogger('y').warning('plain %d', 5);"
        "\ntry: 1 / 0\nexcept ZeroDivisionError: log.exception('run failed', task='t')"
    )
    text = lines_of("text", events)
    assert text[0] == "task taken task=t%s token=7" and len(text[1]) < 400 and text[2] == "plain 5"
    rows = [json.loads(line) for line in lines_of("json", events)]
    fields = {"event": "task taken", "task": "t%s", "token": 7, "why": "", "level": "info", "logger": "x"}
    assert rows[0].pop("timestamp") and rows[0] == fields
    assert rows[2]["event"] == "plain 5" and "ZeroDivisionError" in rows[3]["exception"] and len(rows) == 4
