"""Faults, each with its file, row and field."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """What is wrong, and where; row 0 stands for the file as a whole."""

    file: str
    row: int
    field: str
    text: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.row}" if self.row else self.file
        return f"{place}: {self.field}: {self.text}" if self.field else f"{place}: {self.text}"


class Unusable(Exception):
    """Faults that leave nothing to go on with."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults
