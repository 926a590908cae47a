"""Checks that the names listed in docs/reference/outer-names.md are in the source, letter for letter."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST_PATH = ROOT / "docs" / "reference" / "outer-names.md"
ENTRY_PATTERN = re.compile(r"- `([^`]+)`")
# Sections whose names may also be identifiers, and of which kind, besides being in string constants.
CLASS_FIELD_SECTIONS = {"Keys of `websocket.toml`", "Number tables", "Output of `routes diff`"}
KEYWORD_SECTIONS = {"WebSocket messages"}
COMMAND_SECTIONS = {"Command line"}
# Sections whose names are looked for as class names and as paths only.
CLASS_NAME_SECTION = "Class names in output"
PATH_SECTION = "Modules and paths"


def read_sections() -> dict[str, list[str]]:
    """Return the entries by section; fail at a line below a heading that is no entry."""
    found: dict[str, list[str]] = {}
    entries: list[str] | None = None
    for number, line in enumerate(LIST_PATH.read_text().splitlines(), 1):
        if line.startswith("## "):
            title = line.removeprefix("## ")
            assert title not in found, f"line {number}: duplicate section {title}"
            entries = found[title] = []
        elif entries is not None and line:
            entry = ENTRY_PATTERN.fullmatch(line)
            assert entry, f"line {number} is not an entry '- `NAME`': {line}"
            entries.append(entry[1])
    return found


class SourceNames(ast.NodeVisitor):
    """Collects the string constants of modules, without docstrings, and identifiers that may be outer names.

    These are the fields of classes, keywords of calls, names of classes and of functions that are commands.
    """

    def __init__(self) -> None:
        self.string_constants: set[str] = set()
        self.class_fields: set[str] = set()
        self.keywords: set[str] = set()
        self.class_names: set[str] = set()
        self.command_functions: set[str] = set()

    def visit_Expr(self, node: ast.Expr) -> None:
        if not isinstance(node.value, ast.Constant):  # a constant alone is a docstring
            self.generic_visit(node)

    def visit_Constant(self, node: ast.Constant) -> None:
        value = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        if isinstance(value, str):
            self.string_constants.add(value)

    def visit_keyword(self, node: ast.keyword) -> None:
        self.keywords.add(node.arg or "")
        self.generic_visit(node)

    def visit_ClassDef(self, node: ast.ClassDef) -> None:
        self.class_names.add(node.name)
        for statement in node.body:
            if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                self.class_fields.add(statement.target.id)
        self.generic_visit(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        for decorator in node.decorator_list:
            factory = decorator.func if isinstance(decorator, ast.Call) else decorator
            if isinstance(factory, ast.Attribute) and factory.attr in ("command", "group"):
                self.command_functions.add(node.name)
        self.generic_visit(node)

    def has_string(self, entry: str) -> bool:
        """Return whether a constant is the entry or contains it between non-word characters.

        A single word is not looked for in constants of several words, where it would be found by chance.
        """
        pattern = re.compile(rf"(?<!\w){re.escape(entry)}(?!\w)")
        is_single_word = not re.search(r"\s", entry)
        return any(
            text == entry
            or (
                pattern.search(text)
                and not (is_single_word and re.search(r"\s", text.strip(NON_WORD_CHARACTERS)))
            )
            for text in self.string_constants
        )

    def contains(self, section: str, entry: str) -> bool:
        """Return whether an entry is in the source in a place that its section allows."""
        if section == CLASS_NAME_SECTION:
            return entry in self.class_names
        if section == PATH_SECTION:
            return (ROOT / entry).exists()
        return (
            self.has_string(entry)
            or (section in CLASS_FIELD_SECTIONS and entry in self.class_fields)
            or (section in KEYWORD_SECTIONS and entry in self.keywords)
            or (section in COMMAND_SECTIONS and entry in self.command_functions)
        )


NON_WORD_CHARACTERS = "".join(char for char in map(chr, range(128)) if not (char.isalnum() or char == "_"))


@pytest.fixture(scope="module")
def source() -> SourceNames:
    """The names in all modules of the program."""
    names = SourceNames()
    for path in sorted((ROOT / "mintvalve").rglob("*.py")):
        names.visit(ast.parse(path.read_text()))
    return names


def test_every_outer_name_is_in_the_source(source: SourceNames) -> None:
    missing = [
        f"{section}: {entry}"
        for section, entries in read_sections().items()
        for entry in entries
        if not source.contains(section, entry)
    ]
    assert not missing, "outer names missing from the source: " + "; ".join(missing)


def test_every_section_has_entries_and_no_duplicates() -> None:
    found = read_sections()
    assert found, "the list of outer names has no section"
    assert not [section for section, entries in found.items() if not entries], "sections without entries"
    duplicates = [
        f"{section}: {entry}"
        for section, entries in found.items()
        for entry in sorted(set(entries))
        if entries.count(entry) > 1
    ]
    assert not duplicates, "duplicate entries: " + "; ".join(duplicates)


def test_section_names_used_by_the_checks_are_in_the_list() -> None:
    """Guards against a renamed section, whose entries would silently be checked by other rules."""
    used_sections = (
        CLASS_FIELD_SECTIONS | KEYWORD_SECTIONS | COMMAND_SECTIONS | {CLASS_NAME_SECTION, PATH_SECTION}
    )
    assert used_sections <= read_sections().keys()
