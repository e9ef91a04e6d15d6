"""The README's example runs and prints what the README says."""

import contextlib
import io
import re
from pathlib import Path


def test_readme_example() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(code) == 1
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code[0], {})
    assert f"`{out.getvalue().strip()}`" in text
