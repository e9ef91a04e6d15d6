"""The limits that the operators set for the printed module: 500 lines that are not blank."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "marllift" / "decide.py"


def test_decide_fits_on_paper() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(map(len, lines)) <= 110
    assert "marllift/interface.py" in "\n".join(lines[:3])
