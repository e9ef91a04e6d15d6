"""The command lines: a gateway on loopback, the rehearsal's exit codes, and bad configurations."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from gaugesail.iscsi.operator import load_operator

ROOT = Path(__file__).parents[2]


def run(*arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", *arguments], cwd=ROOT, env=os.environ | environ,
        capture_output=True, text=True, timeout=120, check=False,
    )  # fmt: skip


def test_scenarios_pass_against_a_process_on_loopback() -> None:
    result = run("gaugesail.rehearsal", "tests/loopback/served.txt")
    assert (result.returncode, result.stdout.count(": passed")) == (0, 3), result.stdout + result.stderr


def test_a_scenario_that_fails_names_its_line_and_exits_1(tmp_path: Path) -> None:
    path = tmp_path / "fails.txt"
    path.write_text("client c1\nsend c1 get /_health\nexpect c1 404\n")
    result = run("gaugesail.rehearsal", str(path))
    assert result.returncode == 1 and "line 3: c1 saw ['200', 'ok'], not ['404']" in result.stdout


def test_a_file_that_is_no_scenario_exits_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.txt"
    path.write_text("jump\n")
    result = run("gaugesail.rehearsal", str(path))
    assert result.returncode == 2 and "line 1: unknown word 'jump'" in result.stderr


def test_a_bad_configuration_is_named_and_exits_2(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text('[[class]]\nname = "read"\naim_ms = 0\n')
    result = run("gaugesail", str(path))
    assert result.returncode == 2 and "[[class]] 1: aim_ms: expected 1 to 3600000, got 0" in result.stderr
    result = run("gaugesail", BALANCER_CONFIG=str(tmp_path / "none.json"))
    assert result.returncode == 2 and "none.json" in result.stderr


def test_the_example_operator_file_is_valid() -> None:
    operator = load_operator(str(ROOT / "deploy" / "operator.example.toml"))
    assert len(operator.nodes) == 2 and operator.units[0].extent(2_097_152, 8) == operator.units[0].extents[1]
    assert operator.units[0].extent(2_097_151, 2) is None


def test_importing_the_packages_installs_no_reactor() -> None:
    code = "import gaugesail.iscsi.app, sys; sys.exit('twisted.internet.reactor' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def test_the_adapter_never_imports_twisted() -> None:
    code = "import gaugesail.simulator.adapter, sys; sys.exit('twisted' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0
