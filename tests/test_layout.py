"""The dependencies between packages, and the deploy file's list of policy modules."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "gaugesail"
PURE_PACKAGES = {
    "policy": {"policy"},
    "coordination": {"coordination", "policy"},
    "simulator": {"simulator", "policy"},
}
NO_IO = {"asyncio", "os", "select", "socket", "subprocess", "threading", "time", "twisted"}


def imported(path: Path) -> Iterator[str]:
    """The absolute dotted names that a module of this repository imports."""
    package = (*path.relative_to(ROOT).parent.parts,)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            start = package[: len(package) - node.level + 1] if node.level else ()
            yield ".".join((*start, *((node.module or "").split(".") if node.module else ())))


@pytest.mark.parametrize("name", PURE_PACKAGES)
def test_pure_packages_import_in_one_direction_and_do_no_io(name: str) -> None:
    for path in (PACKAGE / name).rglob("*.py"):
        for module in imported(path):
            top, _, rest = module.partition(".")
            assert top not in NO_IO or (name == "simulator" and top == "sys"), (path, module)
            if top == "gaugesail":
                assert rest.partition(".")[0] in PURE_PACKAGES[name], (path, module)


def test_the_deploy_file_names_every_policy_module() -> None:
    policy_paths = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    found = {
        path
        for name in policy_paths
        for path in ((ROOT / name).rglob("*.py") if (ROOT / name).is_dir() else [ROOT / name])
    }
    assert found == set((PACKAGE / "policy").rglob("*.py"))


def test_no_line_of_the_pure_packages_is_too_long() -> None:
    for name in PURE_PACKAGES:
        for path in (PACKAGE / name).rglob("*.py"):
            assert max(map(len, path.read_text().splitlines()), default=0) <= 110, path
