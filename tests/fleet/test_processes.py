"""Real processes: gateways on loopback with network faults, a gateway without a fleet, and fleet files."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from gaugesail.fleet.settings import FleetError, digest, load_fleet, read_fleet
from gaugesail.rehearsal.fleet.trial import FAULT_KINDS

ROOT = Path(__file__).parents[2]
ZERO_COUNTS = ("overspent", "lost", "answered_twice", "two_out", "errors")


def trial(*arguments: str) -> dict[str, object]:
    process = subprocess.run(
        [sys.executable, "-m", "gaugesail.cli", "trial", "budgets", "--json", "--no-even", "--after", "2",
         *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=180, check=False,
    )  # fmt: skip
    assert process.stdout, process.stderr
    report: dict[str, object] = json.loads(process.stdout)
    print(report)
    return report


@pytest.mark.parametrize("seed", [1, 2])
def test_network_faults_between_gateways_break_no_guarantee(seed: int) -> None:
    report = trial("--heads", "3", "--seconds", "14", "--seed", str(seed))
    assert {name: report[name] for name in ZERO_COUNTS} == dict.fromkeys(ZERO_COUNTS, 0)
    assert set(report["faults"]) <= set(FAULT_KINDS) and report["asked"]  # type: ignore[call-overload]


def test_a_gateway_without_a_fleet_imports_nothing_of_it() -> None:
    code = (
        "import sys; from gaugesail import app, service; from gaugesail.iscsi import app as other\n"
        "bad = [name for name in ('msgspec', 'sqlite3', 'click', 'numpy') if name in sys.modules]\n"
        "bad += [name for name in sys.modules if name.startswith(('gaugesail.fleet', 'gaugesail.lab',"
        " 'gaugesail.rehearsal', 'gaugesail.coordination'))]\n"
        "print(bad); sys.exit(bool(bad))"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert process.returncode == 0, process.stdout + process.stderr


def test_the_example_file_is_read_and_only_the_terms_change_the_digest() -> None:
    example = load_fleet(str(ROOT / "deploy" / "fleet.example.toml"))
    assert example.gateway == "head-1" and example.terms.replicas == ("head-1", "head-2", "head-3")
    table = {"name": "f", "head": "b", "listen": "127.0.0.1:1", "keepers": ["a"], "key": "k" * 16}
    peers = [{"name": "a", "address": "127.0.0.1:2"}]
    b = read_fleet({"fleet": table, "peer": peers})
    c = read_fleet({"fleet": table | {"head": "c"}, "peer": peers, "budgets": {"lease_ms": 4000}})
    d = read_fleet({"fleet": table, "peer": peers, "budgets": {"lease_ms": 5000}})
    assert digest(b.terms) == digest(c.terms) != digest(d.terms)


def test_all_errors_of_a_file_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        '[fleet]\nname = "f"\nhead = "a b"\nlisten = "somewhere:1"\nkeepers = ["x", "y"]\nkey = "short"\n'
        "color = 1\n[budgets]\nlease_ms = 5\n[other]\n"
    )
    with pytest.raises(FleetError) as caught:
        load_fleet(str(path))
    lines = str(caught.value).splitlines()
    for entry in ("head", "listen", "keepers: 2", "'x' has no", "key: 5 bytes", "color", "lease_ms", "other"):
        assert any(entry in line and line.startswith(str(path)) for line in lines), entry


def test_an_invalid_fleet_file_exits_with_status_2(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[fleet]\n")
    for arguments in (["--fleet", str(path)], ["--fleet"]):
        process = subprocess.run(
            [sys.executable, "-m", "gaugesail", *arguments], cwd=ROOT, capture_output=True, text=True,
            timeout=60, check=False, env=os.environ | {"BALANCER_CONFIG": "none"},
        )  # fmt: skip
        assert process.returncode == 2 and "bad_configuration" in process.stderr
