"""Runs the README's example and checks that it prints a timer, a set-up and a refusal."""

from pathlib import Path

import pytest


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    printed = capsys.readouterr().out
    assert "SetTimer" in printed and "Refuse(call=1" in printed
    assert "SetUp(call=1, address='west:1'" in printed
