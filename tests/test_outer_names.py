"""The names listed in docs/reference/outer-names.md are still in the source, letter for letter."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = ROOT / "docs" / "reference" / "outer-names.md"
ENTRY = re.compile(r"- `([^`]+)`")
# Where the names of a section may stand, beside the string constants.
FIELD_SECTIONS = {"Keys of `websocket.toml`", "Number tables", "Output of `routes diff`"}
KEYWORD_SECTIONS = {"WebSocket messages"}
VERB_SECTIONS = {"Command line"}
# Sections whose names stand in no string constant.
CLASSES, PATHS = "Class names in output", "Modules and paths"


def sections() -> dict[str, list[str]]:
    """The entries by section; any line below a heading that is no entry is a fault of the list."""
    found: dict[str, list[str]] = {}
    entries: list[str] | None = None
    for number, line in enumerate(LIST.read_text().splitlines(), 1):
        if line.startswith("## "):
            title = line.removeprefix("## ")
            assert title not in found, f"line {number}: the section {title} is there twice"
            entries = found[title] = []
        elif entries is not None and line:
            entry = ENTRY.fullmatch(line)
            assert entry, f"line {number} is no entry: {line}"
            entries.append(entry[1])
    return found


class Source(ast.NodeVisitor):
    """The string constants of modules, without docstrings, and the names that reach the outside by
    themselves: fields of classes, keywords of calls, names of classes and of functions that are verbs."""

    def __init__(self) -> None:
        self.texts: set[str] = set()
        self.fields: set[str] = set()
        self.keywords: set[str] = set()
        self.classes: set[str] = set()
        self.verbs: set[str] = set()

    def visit_Expr(self, node: ast.Expr) -> None:
        if not isinstance(node.value, ast.Constant):  # else a docstring
            self.generic_visit(node)

    def visit_Constant(self, node: ast.Constant) -> None:
        value = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        if isinstance(value, str):
            self.texts.add(value)

    def visit_keyword(self, node: ast.keyword) -> None:
        self.keywords.add(node.arg or "")
        self.generic_visit(node)

    def visit_ClassDef(self, node: ast.ClassDef) -> None:
        self.classes.add(node.name)
        for each in node.body:
            if isinstance(each, ast.AnnAssign) and isinstance(each.target, ast.Name):
                self.fields.add(each.target.id)
        self.generic_visit(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        for each in node.decorator_list:
            maker = each.func if isinstance(each, ast.Call) else each
            if isinstance(maker, ast.Attribute) and maker.attr in ("command", "group"):
                self.verbs.add(node.name)
        self.generic_visit(node)

    def has(self, entry: str) -> bool:
        """Whether a constant is the entry or holds it between characters that are no part of a word. A
        single word counts in no running text: there it would be found by chance."""
        pattern = re.compile(rf"(?<!\w){re.escape(entry)}(?!\w)")
        single = not re.search(r"\s", entry)
        return any(
            text == entry or (pattern.search(text) and not (single and re.search(r"\s", text.strip(EDGES))))
            for text in self.texts
        )

    def holds(self, section: str, entry: str) -> bool:
        """Whether an entry still stands where its section says."""
        if section == CLASSES:
            return entry in self.classes
        if section == PATHS:
            return (ROOT / entry).exists()
        return (
            self.has(entry)
            or (section in FIELD_SECTIONS and entry in self.fields)
            or (section in KEYWORD_SECTIONS and entry in self.keywords)
            or (section in VERB_SECTIONS and entry in self.verbs)
        )


EDGES = "".join(char for char in map(chr, range(128)) if not (char.isalnum() or char == "_"))


@pytest.fixture(scope="module")
def source() -> Source:
    found = Source()
    for path in sorted((ROOT / "mintvalve").rglob("*.py")):
        found.visit(ast.parse(path.read_text()))
    return found


def test_every_outer_name_is_in_the_source(source: Source) -> None:
    missing = [
        f"{section}: {entry}"
        for section, entries in sections().items()
        for entry in entries
        if not source.holds(section, entry)
    ]
    assert not missing, "no longer in the source: " + "; ".join(missing)


def test_every_section_has_entries_and_none_twice() -> None:
    found = sections()
    assert found, "the list has no section"
    assert not [section for section, entries in found.items() if not entries], "a section is empty"
    twice = [
        f"{section}: {entry}"
        for section, entries in found.items()
        for entry in sorted(set(entries))
        if entries.count(entry) > 1
    ]
    assert not twice, "there twice: " + "; ".join(twice)


def test_the_sections_that_the_checks_name_are_in_the_list() -> None:
    """Else a renamed section would silently be searched by other rules."""
    named = FIELD_SECTIONS | KEYWORD_SECTIONS | VERB_SECTIONS | {CLASSES, PATHS}
    assert named <= sections().keys()
