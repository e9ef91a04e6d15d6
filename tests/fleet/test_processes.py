"""Real processes: heads on loopback with faults between them; and that a head alone is as it was."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from gaugesail.fleet.settings import FleetError, digest, load_fleet, read_fleet
from gaugesail.rehearsal.fleet.trial import KINDS

ROOT = Path(__file__).parents[2]
MUST = ("overspent", "lost", "answered_twice", "two_out", "errors")


def trial(*arguments: str) -> dict[str, object]:
    done = subprocess.run(
        [sys.executable, "-m", "gaugesail.cli", "trial", "budgets", "--json", "--no-even", "--after", "2",
         *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=180, check=False,
    )  # fmt: skip
    assert done.stdout, done.stderr
    told: dict[str, object] = json.loads(done.stdout)
    print(told)
    return told


@pytest.mark.parametrize("seed", [1, 2])
def test_heads_with_faults_between_them_break_nothing(seed: int) -> None:
    told = trial("--heads", "3", "--seconds", "14", "--seed", str(seed))
    assert {name: told[name] for name in MUST} == dict.fromkeys(MUST, 0)
    assert set(told["faults"]) <= set(KINDS) and told["asked"]  # type: ignore[call-overload]


def test_a_head_alone_imports_and_opens_nothing_of_a_fleet() -> None:
    code = (
        "import sys; from gaugesail import app, service; from gaugesail.iscsi import app as other\n"
        "bad = [name for name in ('msgspec', 'sqlite3', 'click', 'numpy') if name in sys.modules]\n"
        "bad += [name for name in sys.modules if name.startswith(('gaugesail.fleet', 'gaugesail.lab',"
        " 'gaugesail.rehearsal', 'gaugesail.coordination'))]\n"
        "print(bad); sys.exit(bool(bad))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr


def test_what_stands_in_the_example_is_taken_and_what_binds_has_one_digest() -> None:
    one = load_fleet(str(ROOT / "deploy" / "fleet.example.toml"))
    assert one.gateway == "head-1" and one.terms.replicas == ("head-1", "head-2", "head-3")
    table = {"name": "f", "head": "b", "listen": "127.0.0.1:1", "keepers": ["a"], "key": "k" * 16}
    peers = [{"name": "a", "address": "127.0.0.1:2"}]
    b = read_fleet({"fleet": table, "peer": peers})
    c = read_fleet({"fleet": table | {"head": "c"}, "peer": peers, "budgets": {"lease_ms": 4000}})
    d = read_fleet({"fleet": table, "peer": peers, "budgets": {"lease_ms": 5000}})
    assert digest(b.terms) == digest(c.terms) != digest(d.terms)


def test_all_that_is_wrong_with_a_file_is_told_at_once(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        '[fleet]\nname = "f"\nhead = "a b"\nlisten = "somewhere:1"\nkeepers = ["x", "y"]\nkey = "short"\n'
        "color = 1\n[budgets]\nlease_ms = 5\n[other]\n"
    )
    with pytest.raises(FleetError) as caught:
        load_fleet(str(path))
    told = str(caught.value).splitlines()
    for word in ("head", "listen", "keepers: 2", "'x' has no", "key: 5 bytes", "color", "lease_ms", "other"):
        assert any(word in line and line.startswith(str(path)) for line in told), word


def test_a_fleet_file_that_is_not_good_ends_the_start_with_2(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[fleet]\n")
    for arguments in (["--fleet", str(path)], ["--fleet"]):
        done = subprocess.run(
            [sys.executable, "-m", "gaugesail", *arguments], cwd=ROOT, capture_output=True, text=True,
            timeout=60, check=False, env=os.environ | {"BALANCER_CONFIG": "none"},
        )  # fmt: skip
        assert done.returncode == 2 and "bad_configuration" in done.stderr
