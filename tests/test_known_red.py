"""KNOWN-RED.txt is enforced: its tests exist, run and fail, and are three at most."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent
FAILING = "tests/test_some.py::test_bad | make test | a | 35\n"
PASSING = "tests/test_some.py::test_good | make test | b | 35\n"
MISSING = "tests/test_some.py::test_gone | make test | b | 35\n"
TESTS = """
def test_good(): pass
def test_bad(): assert False, "a real fault"
"""


def run(folder: Path, listed: str, *args: str) -> subprocess.CompletedProcess[str]:
    """Run pytest in a repository of its own that has this list."""
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests").mkdir(exist_ok=True)
    (folder / "tests" / "conftest.py").write_text("from tests.known_red import pytest_configure\n")
    (folder / "tests" / "__init__.py").touch()
    (folder / "tests" / "known_red.py").write_text(Path(known_red.__file__).read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / known_red.FILE_NAME).write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args], cwd=folder, env=os.environ,
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip


def test_a_listed_test_that_fails_is_printed_and_passes_ci(tmp_path: Path) -> None:
    done = run(tmp_path, "# why\n\ntests/test_some.py::test_bad | make test, seed 7 | not mended | 35\n")
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout, done.stdout
    assert "tests/test_some.py::test_bad | make test, seed 7 | not mended | 35" in done.stdout


def test_a_failure_that_is_not_listed_fails_ci(tmp_path: Path) -> None:
    assert run(tmp_path, "").returncode == 1


def test_a_listed_test_that_passes_fails_ci(tmp_path: Path) -> None:
    done = run(tmp_path, FAILING + PASSING)
    assert done.returncode == 1 and "XPASS(strict)" in done.stdout


def test_a_listed_test_that_does_not_exist_fails_ci(tmp_path: Path) -> None:
    done = run(tmp_path, FAILING + MISSING)
    assert done.returncode not in (0, 1) and "there is no test tests/test_some.py::test_gone" in done.stderr


def test_the_list_is_enforced_over_several_workers(tmp_path: Path) -> None:
    workers = "-n", "2", "--dist", "loadfile"
    done = run(tmp_path, FAILING, *workers)
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout
    assert "test_bad | make test | a | 35" in done.stdout
    assert run(tmp_path, "", *workers).returncode == 1
    assert run(tmp_path, FAILING + PASSING, *workers).returncode == 1
    assert run(tmp_path, FAILING + MISSING, *workers).returncode != 0


def test_more_than_three_lines_fail_ci(tmp_path: Path) -> None:
    listed = "".join(f"tests/test_some.py::test_{n} | make test | a | 35\n" for n in range(4))
    done = run(tmp_path, listed)
    assert done.returncode not in (0, 1) and "at most 3" in done.stderr


@pytest.mark.parametrize("line", ["tests/a.py::b", "a | b", "a | b | c", "a | b | c | ", "a | b | c | d | e"])
def test_a_malformed_line_is_named(line: str) -> None:
    with pytest.raises(ValueError, match="line 1"):
        known_red.parse(line)


def test_the_list_of_this_repository_can_be_read() -> None:
    assert len(known_red.read(ROOT)) <= known_red.MAX_ENTRIES
