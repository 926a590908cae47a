"""The configuration tool: what it writes passes its check and the program reads it; faults are all named."""

import json
import os
from pathlib import Path

import pytest

from mintvalve.__main__ import build, read_file
from mintvalve.config import files
from mintvalve.config.__main__ import main
from mintvalve.lifecycle import Phase
from mintvalve.net.websocket_front import WebSocketOptions

EXAMPLES = Path(__file__).parent.parent / "docs" / "examples"
SHARED = ["--settings", str(EXAMPLES / "settings.yaml")]
ROW = (
    "falkirk-desk,127.1.0.1:3868,127.2.0.1:5300,central-belt,0,s-falkirk,127.3.0.1:3868,127.1.0.1:8068,"
    "http://127.0.0.1:8080,192,5"
)
HEAD = (EXAMPLES / "inventory.csv").read_text().splitlines()[0]
HOST = """all:
  vars: {nameserver: "127.2.0.1:5300", region: north}
  hosts:
    desk:
      listen: 127.1.0.1:3868
      exchange: 0
      exchange_id: s-1
      exchange_address: 127.3.0.1:3868
"""


def tree(folder: Path) -> dict[str, bytes]:
    return {
        path.relative_to(folder).as_posix(): path.read_bytes() for path in folder.rglob("*") if path.is_file()
    }


@pytest.mark.parametrize("name", ["inventory.csv", "inventory.yaml"])
def test_what_is_written_passes_the_check_and_is_the_same_each_time(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    inventory = EXAMPLES / name
    assert main([*SHARED, "check", str(inventory)]) == 0
    for out in ("one", "two"):
        assert main([*SHARED, "write", str(inventory), "--out", str(tmp_path / out)]) == 0
    assert tree(tmp_path / "one") == tree(tmp_path / "two")
    assert len(tree(tmp_path / "one")) == 5  # nothing half-written is left either
    assert main(["check", str(tmp_path / "one")]) == 0
    capsys.readouterr()
    assert main(["write", str(inventory), "--out", str(tmp_path / "one"), *SHARED]) == 0
    assert capsys.readouterr().out.count("as it was") == 5


def test_both_kinds_of_inventory_make_the_same_files(tmp_path: Path) -> None:
    for kind in ("csv", "yaml"):
        main([*SHARED, "write", str(EXAMPLES / f"inventory.{kind}"), "--out", str(tmp_path / kind)])
    assert tree(tmp_path / "csv") == tree(tmp_path / "yaml") != {}


def test_the_program_takes_what_is_written(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PROXY_LISTEN", raising=False)
    main([*SHARED, "write", str(EXAMPLES / "inventory.csv"), "--out", str(tmp_path)])
    app = tmp_path / "inverness-desk"
    lifecycle = build(
        read_file(app / files.CONFIG), WebSocketOptions.parse((app / files.WEBSOCKET).read_text()), dict
    )
    assert lifecycle.phase is Phase.STARTING
    board = lifecycle.switchboard
    assert (board.rules.home_cell, board.rules.max_attempts, len(board.exchanges)) == (2, 4, 3)
    lifecycle.loop.close()


def test_a_failed_write_leaves_the_old_file_whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "a" / files.CONFIG
    files.put(path, "old")

    def fail(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "replace", fail)
    with pytest.raises(OSError):
        files.put(path, "new")
    assert tree(tmp_path) == {f"a/{files.CONFIG}": b"old"}


def test_faults_write_nothing(tmp_path: Path) -> None:
    bad = tmp_path / "i.csv"
    bad.write_text(f"{HEAD}\n{ROW}\n{ROW.replace(':3868', ':0')}\n")
    assert main([*SHARED, "write", str(bad), "--out", str(tmp_path / "out")]) == 1
    assert not (tmp_path / "out").exists()


def swap(place: int, text: str) -> str:
    cells = ROW.split(",")
    cells[place] = text
    return f"{HEAD}\n{','.join(cells)}\n"


BAD_CSV = [
    ("", ["i.csv: the table is empty"]),
    (f"{HEAD}\n", ["i.csv: no application"]),
    ("listen\n1\n", ["i.csv:1: application: the column is missing"]),
    (f"{HEAD},listen\n{ROW},x\n", ["i.csv:1: listen: the column stands twice"]),
    (f"{HEAD},colour\n{ROW},red\n", ["i.csv:2: colour: no such field"]),
    (f"{HEAD}\n{ROW},more\n", ["i.csv:2: 12 cells where the header has 11", "i.csv: no application"]),
    (swap(0, "Falkirk Desk"), ["i.csv:2: application: must be lower-case"]),
    (swap(1, "here:1"), ["i.csv:2: listen: must be an IPv4 address"]),
    (swap(1, "127.0.0.1:70000"), ["i.csv:2: listen: must end in a port"]),
    (swap(4, "-1"), ["i.csv:2: exchange: must be a whole number"]),
    (swap(4, ""), ["i.csv:2: exchange: is missing"]),
    (swap(7, ""), ["i.csv:2: websocket: is missing, though origins are given"]),
    (swap(7, "127.1.0.1:3868"), ["i.csv:2: websocket: is the same as listen"]),
    (swap(8, ""), ["i.csv:2: origins: must name the pages"]),
    (swap(8, "http://x/path"), ["i.csv:2: origins: 'http://x/path' is not written as a browser"]),
    (swap(8, "ftp://x"), ["i.csv:2: origins: 'ftp://x' is no origin"]),
    (swap(9, "lots"), ["i.csv:2: memory_mb: must be a whole number"]),
    (swap(10, "0"), ["i.csv:2: settings.Limits.SendCap: must be from 1 on"]),
    (swap(10, "none"), ["i.csv:2: settings: invalid literal"]),
    (f"{HEAD}\n{ROW}\n{ROW}\n", ["i.csv:3: application: falkirk-desk stands twice, first in row 2"]),
    (f'{HEAD}\n"{ROW}\n', ["i.csv:2: not CSV", "i.csv: no application"]),
    (
        f"{HEAD}\n{ROW}\n{ROW.replace('falkirk', 'other', 1)}\n",
        [
            f"i.csv:3: {name}:"
            for name in ("exchange", "exchange_address", "exchange_id", "listen", "websocket")
        ],
    ),
]
BAD_YAML = [
    ("", ["i.yaml: the inventory is empty"]),
    ("all: [", ["i.yaml:1: not YAML"]),
    ("- a\n", ["i.yaml:1: inventory: must be a mapping", "i.yaml: no application"]),
    ("all:\n  hosts:\n    x: 7\n", ["i.yaml:3: x: must be a mapping"]),
    (HOST + "      listen: 127.1.0.1:1\n", ["i.yaml:9: listen: stands twice, first in row 5"]),
    (HOST + "  host: {}\n", ["i.yaml:9: host: a group has children, hosts, vars"]),
    (HOST + "      settings: {Zone: x}\n", ["i.yaml:9: settings: Zone follows from the inventory"]),
    (HOST + "      settings: 5\n", ["i.yaml:9: settings: must be a mapping"]),
    (HOST + "      settings: {Services: []}\n", ["i.yaml:9: settings: settings lack Services.count"]),
    (HOST.replace("region: north", "region: 7"), ["i.yaml:2: region: must be letters"]),
    ("a: &a {children: {b: *a}}\n", ["i.yaml: an alias stands for"]),
]


@pytest.mark.parametrize(
    ("name", "text", "said"),
    [("i.csv", *each) for each in BAD_CSV] + [("i.yaml", *each) for each in BAD_YAML],
)
def test_every_fault_is_reported_with_file_row_and_field(
    name: str,
    text: str,
    said: list[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.chdir(tmp_path)
    Path(name).write_text(text)
    assert main([*SHARED, "check", name]) == 1
    lines = capsys.readouterr().err.splitlines()
    for start in said:
        assert any(line.startswith(start) for line in lines), lines


def test_written_files_are_checked_field_by_field(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    main([*SHARED, "write", str(EXAMPLES / "inventory.csv"), "--out", str(tmp_path)])
    monkeypatch.chdir(tmp_path)
    path = Path("falkirk-desk") / files.CONFIG
    config = json.loads(path.read_text())
    config |= {"listen": "x", "known": {"seq": 1, "results": []}, "limits": {"memory_mb": -1}, "seed": "z"}
    config["settings"]["Services"][1]["GoalTimeMs"] = 10_000
    path.write_text(json.dumps(config, indent=2))
    odd = 'listen = "x"\norigins = [1]\nping_ms = 0\ncolour = 1\n'
    (Path("falkirk-desk") / files.WEBSOCKET).write_text(odd)
    (Path("stirling-desk") / files.CONFIG).write_text("{\n]")
    capsys.readouterr()
    assert main(["check", "."]) == 1
    lines = capsys.readouterr().err.splitlines()
    mine = [line for line in lines if line.startswith("falkirk-desk/config.json")]
    for part in (
        "listen: must be an IPv4",
        "known: can't be read",
        "limits.memory_mb: must",
        "seed: must be hex",
        "settings.Services.1.GoalTimeMs: must",
    ):
        assert any(part in line for line in mine), (part, mine)
    for part in (":1: listen:", ":2: origins:", ":3: ping_ms:", ":4: colour:"):
        assert any(line.startswith(f"falkirk-desk/websocket.toml{part}") for line in lines), (part, lines)
    assert any(line.startswith("stirling-desk/config.json:2: not JSON") for line in lines)


@pytest.mark.parametrize(
    "arguments",
    [
        ["check", "nowhere.csv"],
        ["check", "nowhere.ini"],
        ["check", "."],
        ["--settings", "nowhere", "check", "i.csv"],
        ["write", "i.csv", "--out", "i.csv"],
        ["check", "binary.csv"],
    ],
)
def test_what_cant_be_read_or_written_is_said_without_a_traceback(
    arguments: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("i.csv").write_text(f"{HEAD}\n{ROW}\n")
    Path("binary.csv").write_bytes(b"\xff\xfe\0")
    shared = [] if "--settings" in arguments else SHARED
    assert main([*shared, *arguments]) in (1, 2)
    assert capsys.readouterr().err


def test_applications_that_are_no_longer_named_are_pointed_out(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    main([*SHARED, "write", str(EXAMPLES / "inventory.csv"), "--out", str(tmp_path)])
    (tmp_path / "i.csv").write_text(f"{HEAD}\n{ROW}\n")
    capsys.readouterr()
    assert main([*SHARED, "write", str(tmp_path / "i.csv"), "--out", str(tmp_path)]) == 0
    assert capsys.readouterr().out.count("not in the inventory, left alone") == 3
