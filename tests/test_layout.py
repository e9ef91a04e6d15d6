"""How the packages may depend on each other, and that the deploy file names every module that decides."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "gaugesail"
DECISIONS = {
    "policy": {"policy"},
    "coordination": {"coordination", "policy"},
    "simulator": {"simulator", "policy"},
}
NO_IO = {"asyncio", "os", "select", "socket", "subprocess", "threading", "time", "twisted"}


def imported(path: Path) -> Iterator[str]:
    """The dotted names that a module of ours imports, relative ones made whole."""
    package = (*path.relative_to(ROOT).parent.parts,)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            start = package[: len(package) - node.level + 1] if node.level else ()
            yield ".".join((*start, *((node.module or "").split(".") if node.module else ())))


@pytest.mark.parametrize("name", DECISIONS)
def test_packages_of_decisions_import_one_way_and_do_no_io(name: str) -> None:
    for path in (PACKAGE / name).rglob("*.py"):
        for module in imported(path):
            top, _, rest = module.partition(".")
            assert top not in NO_IO or (name == "simulator" and top == "sys"), (path, module)
            if top == "gaugesail":
                assert rest.partition(".")[0] in DECISIONS[name], (path, module)


def test_the_deploy_file_names_every_module_that_decides() -> None:
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    found = {
        path
        for name in told
        for path in ((ROOT / name).rglob("*.py") if (ROOT / name).is_dir() else [ROOT / name])
    }
    assert found == set((PACKAGE / "policy").rglob("*.py"))


def test_no_line_of_a_decision_is_longer_than_a_page() -> None:
    for name in DECISIONS:
        for path in (PACKAGE / name).rglob("*.py"):
            assert max(map(len, path.read_text().splitlines()), default=0) <= 110, path
