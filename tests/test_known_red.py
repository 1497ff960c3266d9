"""The list of tests that CI passes over: short, true, and said aloud."""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
spec = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
known_red = importlib.util.module_from_spec(spec)
spec.loader.exec_module(known_red)
HERE = "tests/test_known_red.py::test_entry_names_a_test_and_is_passed_over"


def test_entry_names_a_test_and_is_passed_over():
    assert known_red.options(f"{HERE}, a cause, with a comma, S\n\n", ROOT) == [f"--deselect={HERE}"]
    assert known_red.options("", ROOT) == []


@pytest.mark.parametrize(
    "text",
    [
        f"{HERE}, a cause, S\n" * 4,
        f"{HERE}\n",
        f"{HERE}, a cause\n",
        f"{HERE}, , S\n",
        "tests/test_known_red.py, all, S\n",
        "tests/test_known_red.py::test_nothing, a cause, S\n",
        "tests/nowhere.py::test_it, a cause, S\n",
        "tests/test_known_red.py::ROOT, a cause, S\n",
    ],
)
def test_list_that_is_too_long_or_names_no_test_is_an_error(text, tmp_path, capsys):
    with pytest.raises(ValueError):
        known_red.options(text, ROOT)
    (tmp_path / "KNOWN-RED.txt").write_text(text)
    assert known_red.main(tmp_path / "KNOWN-RED.txt") == 1
    assert capsys.readouterr().err.startswith("KNOWN-RED.txt: ")


def test_entries_are_printed_and_no_list_is_nothing(tmp_path, capsys):
    assert known_red.main(tmp_path / "KNOWN-RED.txt") == 0 and capsys.readouterr().out == ""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_b():\n    assert False\n")
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_a.py::test_b, a cause, S\n")
    assert known_red.main(tmp_path / "KNOWN-RED.txt") == 0
    told = capsys.readouterr()
    assert told.out == "--deselect=tests/test_a.py::test_b\n" and "a cause" in told.err
