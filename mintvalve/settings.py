"""Parsers of settings and load reports.

Settings come as the `path=value` text of the simulator's wire or as the nested JSON of a configuration; both
are reduced to dotted paths with text values, as in `Services.0.Name`. In these values, `-` or an empty text
stands for an absent number.
"""

from __future__ import annotations

from dataclasses import replace

from mintvalve import interface

FlatSettings = dict[str, str]  # dotted path -> value as text

RETRY_POLICIES = {
    "idempotent": interface.RetryPolicy.ALWAYS,
    "deduplicated": interface.RetryPolicy.WITHIN_GROUP,
    "at_most_once": interface.RetryPolicy.NEVER_AFTER_RUN,
}
LOAD_REPORT_FIELDS = {
    "idle": "free",
    "circuits": "circuits",
    "active": "active",
    "waiting": "waiting",
    "cpu": "utilisation",
    "avg_ms": "wait_ms",
    "max_rate": "capacity",
    "reduce": "hold_back",
    # names that the exchanges use in their own reports
    "x0": "free",
    "x1": "circuits",
    "inflight": "active",
    "queue": "waiting",
    "util": "utilisation",
    "latency_ms": "wait_ms",
    "qps": "capacity",
    "eps": "hold_back",
}


def parse_number(text: str) -> float:
    """Parses a number, 0 if absent; raises ValueError unless it is finite."""
    value = 0.0 if text in ("-", "") else float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"not a finite number: {text}")
    return value


def parse_integer(text: str) -> int:
    """Parses an integer, 0 if absent; raises ValueError for any other text."""
    return 0 if text in ("-", "") else int(text)


def split_list(text: str) -> list[str]:
    """Splits comma-separated values; empty ones are dropped."""
    return [part for part in text.split(",") if part] if text else []


def item_or_default(items: list[str], index: int, default: str) -> str:
    return items[index] if index < len(items) else default


def parse_settings(text: str) -> interface.Settings:
    """Parses the `path=value` text of the simulator's `UP` message, separated by spaces.

    Entries without `=` are skipped. Raises ValueError like `build_settings`.
    """
    entries = (entry.partition("=") for entry in text.split(" "))
    return build_settings({path: value for path, separator, value in entries if separator})


def flatten_settings(value: object, path: str = "") -> FlatSettings:
    """Converts nested JSON below `path` to dotted paths with text values, as the simulator's wire has them.

    A list of scalars becomes one comma-separated value. A list that holds an object or a list becomes a path
    per index and, under `.count`, its length.
    """
    prefix = f"{path}." if path else ""
    if isinstance(value, dict):
        return {
            item_path: item_text
            for name, item in value.items()
            for item_path, item_text in flatten_settings(item, prefix + name).items()
        }
    if isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        flat_settings: FlatSettings = {f"{prefix}count": str(len(value))}
        for index, item in enumerate(value):
            flat_settings |= flatten_settings(item, f"{prefix}{index}")
        return flat_settings
    if isinstance(value, list):
        return {path: ",".join(format_scalar(item) for item in value)}
    return {path: format_scalar(value)}


def format_scalar(value: object) -> str:
    """Formats a JSON scalar as the simulator's wire does: `true`, `false`, an empty text for null."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def build_settings(flat_settings: FlatSettings) -> interface.Settings:
    """Builds the controller's settings; unknown paths are ignored and absent ones get their defaults.

    Raises ValueError if `Balancers` or `Services.count` is missing or a number can't be parsed.
    """
    get = flat_settings.get
    missing_keys = [key for key in ("Balancers", "Services.count") if key not in flat_settings]
    if missing_keys:
        raise ValueError(f"settings lack {', '.join(missing_keys)}")
    circuits_per_call = split_list(get("Specifics.CircuitsByClass", ""))
    holding_times_ms = split_list(get("Specifics.HoldingMs", ""))
    class_pools_by_index = pools_by_class(flat_settings)
    classes = []
    for class_index in range(parse_integer(flat_settings["Services.count"])):
        prefix = f"Services.{class_index}."
        deadline_ms = parse_number(get(prefix + "HardLimitMs", "0"))
        classes.append(
            interface.CallClass(
                name=get(prefix + "Name", str(class_index)),
                aim_ms=parse_number(get(prefix + "GoalTimeMs", "0")) or deadline_ms,
                deadline_ms=deadline_ms,
                worth=parse_number(get(prefix + "Worth", "1")),
                late_worth=parse_number(get(prefix + "LateValue", "0")),
                width=int(parse_number(item_or_default(circuits_per_call, class_index, "1"))),
                holding_ms=parse_number(item_or_default(holding_times_ms, class_index, "10000")),
                retry_policy=RETRY_POLICIES.get(
                    get(prefix + "Effect", "idempotent"), interface.RetryPolicy.NEVER_AFTER_RUN
                ),
                retry_group=get(prefix + "Group", "all"),
                retry_window_ms=parse_number(get(prefix + "WindowMs", "0")),
                pools=class_pools_by_index.get(class_index, ()),
            )
        )
    return interface.Settings(
        proxies=parse_integer(flat_settings["Balancers"]),
        home=parse_integer(get("Specifics.HomeNo", "-1")),
        classes=tuple(classes),
        proxy_index=parse_integer(get("Me", "0")),
        zone=get("Zone", ""),
        pool_topology=get("Specifics.Topology", "network") == "skills",
        subscribe=get("Discovery", "automatic") == "subscribe",
        max_attempts=parse_integer(get("Limits.SendCap", "1")),
        may_probe=get("Limits.Probes") == "true",
        may_cancel=get("Limits.Cancelling") == "true",
        may_message_peers=get("Limits.Peers") == "true",
        sends_retry_hint=get("Specifics.RetryHint") == "true",
        has_tandem_advice=get("Specifics.Advice") == "true",
        report_fields=tuple(
            LOAD_REPORT_FIELDS.get(name, name) for name in split_list(get("Telemetry.Fields", ""))
        ),
        reports_in_answers=get("Telemetry.Via") == "inline",
        release_wait_ms=parse_number(get("Specifics.ClearWaitMs", "0")),
        drain_grace_ms=parse_number(get("Safety.DrainGraceMs", "0")),
        answer_slack_ms=parse_number(get("Safety.AnswerSlackMs", "0")),
        cold_capacity=parse_number(get("Safety.StartCapacity", "1")),
        cold_ms=parse_number(get("Safety.ColdMs", "0")),
        overload_multiple=parse_number(get("Safety.FallMultiple", "1")),
        overload_ms=parse_number(get("Safety.TipAfterMs", "0")),
        resend_ms=parse_number(get("Specifics.T1Ms", "0")),
        step_ms=parse_number(get("StepMs", "1")),
        max_retry_after_ms=parse_number(get("Limits.MaxRetryAfterMs", "2000")),
        probe_price=parse_number(get("Prices.Probe", "0")),
    )


def pools_by_class(flat_settings: FlatSettings) -> dict[int, tuple[int, ...]]:
    """Returns the pools of each call class, by class index, from the paths `Specifics.ClassCells.<index>`.

    `flatten_settings` makes such a path for each class from a list of lists.
    """
    pools: dict[int, tuple[int, ...]] = {}
    prefix = "Specifics.ClassCells"
    for key, value in flat_settings.items():
        path_parts = key[len(prefix) + 1 :].split(".") if key.startswith(prefix + ".") else []
        if len(path_parts) == 1 and path_parts[0].isdigit():
            pools[int(path_parts[0])] = tuple(int(parse_number(item)) for item in split_list(value))
    return pools


def parse_load_report(text: str, delimiter: str = ",") -> interface.LoadReport:
    """Parses a load report, `name:value` entries between delimiters; `-` is a report without figures.

    Absent (`-`) and negative figures are None, and unknown names are ignored. Raises ValueError for an entry
    without a colon and for a figure that is no finite number.
    """
    figures: dict[str, float] = {}
    for entry in [] if text == "-" else text.split(delimiter):
        name, separator, value = entry.partition(":")
        field_name = LOAD_REPORT_FIELDS.get(name)
        if not separator:
            raise ValueError(f"load report entry: expected name:value, got {entry}")
        if field_name and value != "-" and parse_number(value) >= 0:
            figures[field_name] = parse_number(value)
    free, circuits = figures.pop("free", None), figures.pop("circuits", None)
    return interface.LoadReport(
        free=None if free is None else int(free),
        circuits=None if circuits is None else int(circuits),
        **figures,
    )


def extend_time_limits(settings: interface.Settings, slack_ms: float) -> interface.Settings:
    """Returns the settings with a longer release wait and a longer time until a cold processor fails.

    On sockets, messages take time: another set-up of a call waits `slack_ms` longer for the release of the
    last one, and the set-ups to a cold processor are counted over a window that is longer by `slack_ms`.
    """
    return replace(
        settings,
        release_wait_ms=settings.release_wait_ms + slack_ms,
        overload_ms=settings.overload_ms + slack_ms,
    )
