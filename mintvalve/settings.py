"""The settings and load reports, from the simulator's wire and from a configuration's nested JSON alike."""

from __future__ import annotations

from dataclasses import replace

from mintvalve import interface as io

Pairs = dict[str, str]

REPEATS = {
    "idempotent": io.RetryPolicy.ALWAYS,
    "deduplicated": io.RetryPolicy.WITHIN_GROUP,
    "at_most_once": io.RetryPolicy.NEVER_AFTER_RUN,
}
REPORT_NAMES = {
    "idle": "free",
    "circuits": "circuits",
    "active": "active",
    "waiting": "waiting",
    "cpu": "utilisation",
    "avg_ms": "wait_ms",
    "max_rate": "capacity",
    "reduce": "hold_back",
    # the words of the exchanges' own reports
    "x0": "free",
    "x1": "circuits",
    "inflight": "active",
    "queue": "waiting",
    "util": "utilisation",
    "latency_ms": "wait_ms",
    "qps": "capacity",
    "eps": "hold_back",
}


def number(text: str) -> float:
    """A number, 0 where absent."""
    value = 0.0 if text in ("-", "") else float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"not a finite number: {text}")
    return value


def whole(text: str) -> int:
    """A whole number, 0 where absent."""
    return 0 if text in ("-", "") else int(text)


def items(text: str) -> list[str]:
    """A list of plain values."""
    return [part for part in text.split(",") if part] if text else []


def nth(values: list[str], index: int, default: str) -> str:
    """The value at a place, or a default."""
    return values[index] if index < len(values) else default


def settings_from(text: str) -> io.Settings:
    """The `Settings` pairs of `UP` as the library's settings."""
    parts = (part.partition("=") for part in text.split(" "))
    return settings_of({path: value for path, sign, value in parts if sign})


def flatten(value: object, path: str = "") -> Pairs:
    """Nested JSON as the paths of the wire: plain lists are joined, lists of objects get `.count`."""
    head = f"{path}." if path else ""
    if isinstance(value, dict):
        return {key: text for name, each in value.items() for key, text in flatten(each, head + name).items()}
    if isinstance(value, list) and any(isinstance(each, dict | list) for each in value):
        pairs: Pairs = {f"{head}count": str(len(value))}
        for index, each in enumerate(value):
            pairs |= flatten(each, f"{head}{index}")
        return pairs
    if isinstance(value, list):
        return {path: ",".join(plain(each) for each in value)}
    return {path: plain(value)}


def plain(value: object) -> str:
    """A plain JSON value as the wire writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def settings_of(pairs: Pairs) -> io.Settings:
    """Path and value pairs as the module's settings; paths not known are skipped."""
    get = pairs.get
    needed = [key for key in ("Balancers", "Services.count") if key not in pairs]
    if needed:
        raise ValueError(f"settings lack {', '.join(needed)}")
    widths = items(get("Specifics.CircuitsByClass", ""))
    lengths = items(get("Specifics.HoldingMs", ""))
    class_pools = pool_lists(pairs)
    classes = []
    for index in range(whole(pairs["Services.count"])):
        head = f"Services.{index}."
        deadline = number(get(head + "HardLimitMs", "0"))
        classes.append(
            io.CallClass(
                name=get(head + "Name", str(index)),
                aim_ms=number(get(head + "GoalTimeMs", "0")) or deadline,
                deadline_ms=deadline,
                worth=number(get(head + "Worth", "1")),
                late_worth=number(get(head + "LateValue", "0")),
                width=int(number(nth(widths, index, "1"))),
                holding_ms=number(nth(lengths, index, "10000")),
                repeat=REPEATS.get(get(head + "Effect", "idempotent"), io.RetryPolicy.NEVER_AFTER_RUN),
                repeat_group=get(head + "Group", "all"),
                repeat_window_ms=number(get(head + "WindowMs", "0")),
                pools=class_pools.get(index, ()),
            )
        )
    return io.Settings(
        proxies=whole(pairs["Balancers"]),
        home=whole(get("Specifics.HomeNo", "-1")),
        classes=tuple(classes),
        me=whole(get("Me", "0")),
        zone=get("Zone", ""),
        pools=get("Specifics.Topology", "network") == "skills",
        subscribe=get("Discovery", "automatic") == "subscribe",
        max_attempts=whole(get("Limits.SendCap", "1")),
        may_probe=get("Limits.Probes") == "true",
        may_cancel=get("Limits.Cancelling") == "true",
        may_tell=get("Limits.Peers") == "true",
        tells_wait=get("Specifics.RetryHint") == "true",
        advice=get("Specifics.Advice") == "true",
        report_fields=tuple(REPORT_NAMES.get(name, name) for name in items(get("Telemetry.Fields", ""))),
        reports_in_answers=get("Telemetry.Via") == "inline",
        release_wait_ms=number(get("Specifics.ClearWaitMs", "0")),
        drain_grace_ms=number(get("Safety.DrainGraceMs", "0")),
        answer_slack_ms=number(get("Safety.AnswerSlackMs", "0")),
        cold_capacity=number(get("Safety.StartCapacity", "1")),
        cold_ms=number(get("Safety.ColdMs", "0")),
        fall_multiple=number(get("Safety.FallMultiple", "1")),
        fall_ms=number(get("Safety.TipAfterMs", "0")),
        resend_ms=number(get("Specifics.T1Ms", "0")),
        step_ms=number(get("StepMs", "1")),
        longest_away_ms=number(get("Limits.MaxRetryAfterMs", "2000")),
        probe_price=number(get("Prices.Probe", "0")),
    )


def pool_lists(pairs: Pairs) -> dict[int, tuple[int, ...]]:
    """`Specifics.ClassCells` as pools per class, whether it comes as nested lists or as one plain list."""
    found: dict[int, tuple[int, ...]] = {}
    head = "Specifics.ClassCells"
    for key, value in pairs.items():
        parts = key[len(head) + 1 :].split(".") if key.startswith(head + ".") else []
        if len(parts) == 1 and parts[0].isdigit():
            found[int(parts[0])] = tuple(int(number(part)) for part in items(value))
    return found


def report_from(text: str, between: str = ",") -> io.LoadReport:
    """A load report; absent and negative figures are None, names not known are skipped."""
    figures: dict[str, float] = {}
    for part in [] if text == "-" else text.split(between):
        name, sign, value = part.partition(":")
        known = REPORT_NAMES.get(name)
        if not sign:
            raise ValueError(f"load report part without a value: {part}")
        if known and value != "-" and number(value) >= 0:
            figures[known] = number(value)
    free, circuits = figures.pop("free", None), figures.pop("circuits", None)
    return io.LoadReport(
        free=None if free is None else int(free),
        circuits=None if circuits is None else int(circuits),
        **figures,
    )


def on_sockets(settings: io.Settings, slack_ms: float) -> io.Settings:
    """The same settings where every time limit of the rules is a little longer."""
    return replace(
        settings, release_wait_ms=settings.release_wait_ms + slack_ms, fall_ms=settings.fall_ms + slack_ms
    )
