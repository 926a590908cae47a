"""The wire adapter on whole batches."""

import io
import os
import subprocess
import sys

import pytest

from mintvalve.simulator_adapter import WireError, run
from mintvalve.settings import report_from, settings_from

SETTINGS = (
    "Balancers=3 Limits.SendCap=6 Limits.Probes=false Me=0 Specifics.HomeNo=0 Specifics.ClearWaitMs=300.0 "
    "Specifics.CircuitsByClass=1 Specifics.HoldingMs=10000.0 Safety.ColdMs=10000.0 "
    "Safety.StartCapacity=0.3 "
    "Safety.FallMultiple=2.0 Safety.TipAfterMs=1000.0 Services.count=1 Services.0.Name=c "
    "Services.0.Worth=1.0 "
    "Services.0.Effect=idempotent Services.0.GoalTimeMs=1000.0 "
    "Services.0.HardLimitMs=9000.0 "
    "StepMs=5.0 Unknown.Key=7 Specifics.Topology=network"
)
LISTS = "DEFINE_LIST 0 2\nROW 10.0.0.1:1 z k 0 1 1 -\nROW 10.0.0.2:1 z k 1 1 1.5 0\nUPDATE proxy-0 2 1 0\n"
START = f"UP proxy-0 7 {SETTINGS}\n{LISTS}"
CALL = "DEMAND proxy-0 55 c - num:a 4000.0 - 1 1 -1 0\n"


def batches(*bodies: str) -> list[str]:
    source = "".join(f"TURN {1000 + i} {i + 1}\n{body}OVER_TO_YOU\n\n" for i, body in enumerate(bodies))
    sink = io.StringIO()
    run(io.StringIO(source), sink)
    return sink.getvalue().splitlines()


def test_empty_batch() -> None:
    assert batches("", "") == ["ACK 1", "ACK 2"]


def test_a_call_goes_out() -> None:
    lines = batches(START, CALL)
    assert any(line.startswith("ISSUE proxy-0 55 10.0.0.2:1 ") for line in lines)
    assert lines[-1] == "ACK 2"


def test_list_numbers_are_reused_within_a_batch() -> None:
    second = (
        "DEFINE_LIST 0 1\nROW 10.0.0.9:1 z k 1 1 1 -\nUPDATE proxy-0 0 2 0\n"
        "DEFINE_LIST 0 1\nROW 10.0.0.2:1 z k 1 0 1 -\nUPDATE proxy-0 0 3 0\n"
    )
    lines = batches(START, second + CALL)
    assert any(line.startswith("ISSUE proxy-0 55 10.0.0.9:1 ") for line in lines)


def test_kill_and_start_in_one_batch_forgets_all() -> None:
    lines = batches(START + CALL, f"DESTROY proxy-0\n{START}COMPLETED proxy-0 55 0 10.0.0.2:1 5 9.0 0 - -\n")
    assert not [line for line in lines if line.startswith(("DECLINE", "FINISH_ERROR"))]


def test_absent_and_unknown_values() -> None:
    report = report_from("idle:3,circuits:9,novel:4,max_rate:-1,avg_ms:14.5")
    assert (report.free, report.circuits, report.capacity, report.wait_ms) == (3, 9, None, 14.5)
    assert report_from("-").free is None


def test_settings() -> None:
    settings = settings_from(SETTINGS)
    assert (settings.proxies, settings.home, settings.release_wait_ms) == (3, 0, 300.0)
    with pytest.raises(ValueError):
        settings_from("Me=1")


BROKEN = ["DEMAND proxy-0 55 c\n", "BELL proxy-9 1\n", "ROW 1 2 3\n", "NOVEL proxy-0 1\n"]
BROKEN.append("UPDATE proxy-0 1 1 9\n")


@pytest.mark.parametrize("body", BROKEN)
def test_what_does_not_parse_is_named(body: str) -> None:
    with pytest.raises(WireError, match="line"):
        batches(START, body)


def adapter(text: str, seed: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "mintvalve.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": seed},
    )


def test_exit_codes_and_truncation() -> None:
    assert adapter("", "0").returncode == 0
    bad = adapter("TURN 1 1\nNONSENSE\n", "0")
    assert bad.returncode != 0 and bad.stdout == "" and len(bad.stderr.splitlines()) == 1


def test_same_actions_under_other_hash_seeds() -> None:
    calls = "".join(f"DEMAND proxy-0 {100 + i} c - num:{i} 4000.0 - 1 1 -1 0\n" for i in range(40))
    later = "TURN 3000 2\nBELL proxy-0 0\nBELL proxy-0 1\nOVER_TO_YOU\n"
    text = f"TURN 1000 1\n{START}{calls}OVER_TO_YOU\n{later}"
    replies = {adapter(text, seed).stdout for seed in ("0", "1", "99")}
    assert len(replies) == 1
