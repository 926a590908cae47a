"""The simulator adapter: whole batches of the line protocol, and the parsers of settings and reports."""

import io
import os
import subprocess
import sys

import pytest

from mintvalve.simulator_adapter import WireError, run
from mintvalve.settings import parse_load_report, parse_settings

SETTINGS_TEXT = (
    "Balancers=3 Limits.SendCap=6 Limits.Probes=false Me=0 Specifics.HomeNo=0 Specifics.ClearWaitMs=300.0 "
    "Specifics.CircuitsByClass=1 Specifics.HoldingMs=10000.0 Safety.ColdMs=10000.0 "
    "Safety.StartCapacity=0.3 "
    "Safety.FallMultiple=2.0 Safety.TipAfterMs=1000.0 Services.count=1 Services.0.Name=c "
    "Services.0.Worth=1.0 "
    "Services.0.Effect=idempotent Services.0.GoalTimeMs=1000.0 "
    "Services.0.HardLimitMs=9000.0 "
    "StepMs=5.0 Unknown.Key=7 Specifics.Topology=network"
)
EXCHANGE_LIST = (
    "DEFINE_LIST 0 2\nROW 10.0.0.1:1 z k 0 1 1 -\nROW 10.0.0.2:1 z k 1 1 1.5 0\nUPDATE proxy-0 2 1 0\n"
)
START_INSTANCE = f"UP proxy-0 7 {SETTINGS_TEXT}\n{EXCHANGE_LIST}"
OFFERED_CALL = "DEMAND proxy-0 55 c - num:a 4000.0 - 1 1 -1 0\n"


def run_batches(*bodies: str) -> list[str]:
    """Runs the adapter on a batch for each body, 1 ms apart from 1000 ms on, and returns its output lines."""
    input_text = "".join(f"TURN {1000 + i} {i + 1}\n{body}OVER_TO_YOU\n\n" for i, body in enumerate(bodies))
    output = io.StringIO()
    run(io.StringIO(input_text), output)
    return output.getvalue().splitlines()


def test_empty_batch_does_not_go_unacknowledged() -> None:
    """Guards against a simulator that waits for ever: every batch is acknowledged, even without an event."""
    assert run_batches("", "") == ["ACK 1", "ACK 2"]


def test_offered_call_is_sent_to_its_destination() -> None:
    """Guards against a call that is lost between its `DEMAND` and the `ISSUE` of a set-up.

    The call is for exchange 1, the second row of the list.
    """
    replies = run_batches(START_INSTANCE, OFFERED_CALL)
    assert any(line.startswith("ISSUE proxy-0 55 10.0.0.2:1 ") for line in replies)
    assert replies[-1] == "ACK 2"


def test_list_number_reused_within_a_batch_does_not_mix_up_lists() -> None:
    """Guards against an update that refers to the wrong list.

    Within a batch, list number 0 stands first for the replacement of exchange 1 at 10.0.0.9:1, and then for
    the removal of its old address. Each update means the list defined last before it.
    """
    list_changes = (
        "DEFINE_LIST 0 1\nROW 10.0.0.9:1 z k 1 1 1 -\nUPDATE proxy-0 0 2 0\n"
        "DEFINE_LIST 0 1\nROW 10.0.0.2:1 z k 1 0 1 -\nUPDATE proxy-0 0 3 0\n"
    )
    replies = run_batches(START_INSTANCE, list_changes + OFFERED_CALL)
    assert any(line.startswith("ISSUE proxy-0 55 10.0.0.9:1 ") for line in replies)


def test_restarted_instance_does_not_answer_calls_of_its_predecessor() -> None:
    """Guards against calls that outlive their instance.

    An instance is destroyed and started again within a batch, and the end of an attempt of the old instance
    arrives after that. The new instance does not know the call and must not answer it.
    """
    replies = run_batches(
        START_INSTANCE + OFFERED_CALL,
        f"DESTROY proxy-0\n{START_INSTANCE}COMPLETED proxy-0 55 0 10.0.0.2:1 5 9.0 0 - -\n",
    )
    assert not [line for line in replies if line.startswith(("DECLINE", "FINISH_ERROR"))]


def test_absent_negative_and_unknown_load_figures_are_ignored() -> None:
    """Guards against reports rejected for unknown names, and absent or negative figures taken as values."""
    report = parse_load_report("idle:3,circuits:9,novel:4,max_rate:-1,avg_ms:14.5")
    assert (report.free, report.circuits, report.capacity, report.wait_ms) == (3, 9, None, 14.5)
    assert parse_load_report("-").free is None


def test_settings_are_not_misread_or_accepted_without_a_required_key() -> None:
    """Guards against settings that are read wrongly or accepted without `Balancers` and `Services.count`.

    Unknown keys are ignored.
    """
    settings = parse_settings(SETTINGS_TEXT)
    assert (settings.proxies, settings.home, settings.release_wait_ms) == (3, 0, 300.0)
    with pytest.raises(ValueError):
        parse_settings("Me=1")


MALFORMED_BODIES = ["DEMAND proxy-0 55 c\n", "BELL proxy-9 1\n", "ROW 1 2 3\n", "NOVEL proxy-0 1\n"]
MALFORMED_BODIES.append("UPDATE proxy-0 1 1 9\n")


@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_malformed_input_is_reported_with_its_line_number(body: str) -> None:
    """Guards against malformed lines that are skipped in silence or reported without their place.

    The bodies: missing fields, an instance that was never started, a row outside a list, an unknown message
    type, and an update with a list that was never defined.
    """
    with pytest.raises(WireError, match="line"):
        run_batches(START_INSTANCE, body)


def run_adapter_process(input_text: str, hash_seed: str) -> subprocess.CompletedProcess[str]:
    """Runs the adapter as a process of its own, with this seed for the hashes of texts."""
    return subprocess.run(
        [sys.executable, "-m", "mintvalve.simulator_adapter"],
        input=input_text,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def test_malformed_input_ends_the_process_with_one_line_on_standard_error() -> None:
    """Guards against a process that reports success, or writes a reply, after input that it can't parse."""
    assert run_adapter_process("", "0").returncode == 0
    failed = run_adapter_process("TURN 1 1\nNONSENSE\n", "0")
    assert failed.returncode != 0 and failed.stdout == "" and len(failed.stderr.splitlines()) == 1


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    """Guards against decisions in the order of a set, which differs between processes.

    The same calls and timers, with one seed of the controller, must give the same output in every process.
    """
    calls = "".join(f"DEMAND proxy-0 {100 + i} c - num:{i} 4000.0 - 1 1 -1 0\n" for i in range(40))
    timers = "TURN 3000 2\nBELL proxy-0 0\nBELL proxy-0 1\nOVER_TO_YOU\n"
    input_text = f"TURN 1000 1\n{START_INSTANCE}{calls}OVER_TO_YOU\n{timers}"
    outputs = {run_adapter_process(input_text, hash_seed).stdout for hash_seed in ("0", "1", "99")}
    assert len(outputs) == 1
