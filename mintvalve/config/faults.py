"""Faults found in configuration files, each with its file, row and field."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a configuration file; its text prints as `FILE:ROW: FIELD: TEXT`.

    Rows count from 1, and 0 stands for the file as a whole. An empty field stands for the row as a whole.
    """

    file: str
    row: int
    field: str
    text: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.row}" if self.row else self.file
        return f"{location}: {self.field}: {self.text}" if self.field else f"{location}: {self.text}"


class ConfigurationError(Exception):
    """Raised with all faults found so far where a file can't be used."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults
