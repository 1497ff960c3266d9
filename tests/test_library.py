"""The library as a new user meets it: the README's example, discovery that must be asked, no meter."""

import re
from pathlib import Path

import pytest
from conftest import Rig, entry, rig_with

from brackenloft import DiscoveryMode, ListKind, Plan, Settings, Subscribe

README = Path(__file__).parent.parent / "README.md"


def test_readme_example_runs(capsys):
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert "send r1 to 1" in capsys.readouterr().out


def test_discovery_that_must_be_asked_is_asked_and_asked_again():
    rig = rig_with(discovery=DiscoveryMode.ASK)
    asked = []
    plain = rig.do
    rig.do = lambda event: (lambda acts: asked.extend(a for a in acts if isinstance(a, Subscribe)) or acts)(
        plain(event)
    )
    rig.servers(entry(1), kind=ListKind.CACHED)
    rig.run(10.0)
    assert len(asked) == 1
    rig.servers(kind=ListKind.FAILED)
    rig.run(5000.0)  # half of the time in which discovery must be asked
    assert len(asked) == 2 and rig.ask() in rig.sent


def test_plan_on_a_site_without_a_meter_keeps_the_floor():
    rig = Rig(rig_with(meter_period_ms=0.0).settings)
    rig.servers(entry(1), entry(2))
    assert [rig.ask("metered") in rig.sent for _ in range(5)] == [True] * 4 + [False]


@pytest.mark.parametrize("field, value", [("gateways", 0), ("index", 2), ("tick_ms", -1.0), ("plans", ())])
def test_impossible_settings_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        rig_with(**{field: value})


def test_impossible_plan_names_the_field():
    with pytest.raises(ValueError, match="rate"):
        Plan("p", rate=float("nan"))
    assert Settings.__doc__
