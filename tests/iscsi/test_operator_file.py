"""The operator's file: keys are independent of the settings' field names, and errors name the key."""

from __future__ import annotations

import tomllib
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest

from gaugesail.iscsi.operator import RULE_KEYS, OperatorError, read_operator
from gaugesail.policy.settings import Settings

EXAMPLE = Path(__file__).parents[2] / "deploy" / "operator.example.toml"
RULE_KEYS_IN_USE = {  # those of commit dbd4a08, with which operators' files were written
    "gateways",
    "me",
    "tick_us",
    "answer_slack_us",
    "drain_grace_us",
    "fall_us",
    "fall_multiple",
    "cold_share",
    "warm_after_us",
    "cold_units",
    "quiet_us",
    "budget_free",
    "budget_share",
    "budget_window_us",
    "mean_units",
    "most_units",
    "share_worth",
    "spare_worth",
    "tells_others",
    "ask_for_lists",
    "may_cancel",
    "may_probe",
    "may_tell",
    "may_hold_off",
    "max_attempts",
    "max_hold_off_us",
    "shards",
    "clients_mark",
    "fleet",
    "appointments",
    "report_fields",
}


def example() -> dict[str, Any]:
    return tomllib.loads(EXAMPLE.read_text())


def test_the_keys_of_the_rules_table_are_those_of_existing_files() -> None:
    assert set(RULE_KEYS) == RULE_KEYS_IN_USE
    assert set(RULE_KEYS.values()) == {item.name for item in fields(Settings)} - {"classes", "plans"}


def test_rules_are_mapped_to_the_fields_of_settings() -> None:
    settings = read_operator(
        example() | {"rules": {"cold_share": 0.25, "fall_us": 7, "mean_units": 3.0}}, {}
    ).settings
    assert (settings.initial_capacity_share, settings.overload_window_us) == (0.25, 7)
    assert settings.mean_request_units == 3.0


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [
        ("rules", "cold_share", 0),
        ("rules", "fall_us", "soon"),
        ("rules", "latency_objective_us", 1),
        ("class", "worth", -1.0),
        ("class", "late_share", -1.0),
        ("plan", "price", -1.0),
        ("plan", "weight", -1.0),
        ("plan", "limit", -1.0),
    ],
)
def test_an_error_names_the_key_of_the_file(table: str, key: str, value: object) -> None:
    data = example()
    row = data["rules"] if table == "rules" else data[table][0]
    row[key] = value
    with pytest.raises(OperatorError, match=rf"\[{table}\].* {key}: "):
        read_operator(data, {})
