"""The default settings of a rehearsal's daemon, in the platform's format."""

from __future__ import annotations

import copy
import json
from typing import Any

_CLASSES = [
    {"name": "read", "aim_us": 500000, "give_up_us": 3000000, "gain": 3.0, "late_share": 0.15},
    {"name": "write", "aim_us": 600000, "give_up_us": 5000000, "gain": 3.0, "late_share": 0.15},
]
_PLANS = [
    {"name": "basic", "rate": 200.0, "reserve": 100.0, "parts": 1.0, "pays": 0.72},
    {"name": "priority", "rate": 400.0, "reserve": 300.0, "parts": 3.0, "pays": 1.4},
]
_SETTINGS: dict[str, Any] = {
    "balancers": 1, "me": 0, "tick_us": 2000, "discovery": "ask", "categories": _CLASSES, "contracts": _PLANS,
    "domain": {"beyond_share": 0.08, "class_writes": [False, True], "cold_bears": 22.0, "fair_worth": 0.35,
               "max_units": 8, "slots_total": 8, "usual_units": 2.0},
    "guarantees": {"answer_slack_us": 8000, "cold_share": 0.31, "drain_grace_us": 250000,
                   "fall_multiple": 3.0,
                   "fall_us": 1500000, "ramp_time_us": 17000000},
    "permissions": {"cancel": True, "conn_idle_us": 15000000, "connect_timeout_us": 250000, "max_attempts": 4,
                    "max_retry_after_us": 500000, "probes": True, "retry_after": True},
    "flavors": ["node-2c"], "zones": ["ruum-1"],
}  # fmt: skip


def settings() -> dict[str, Any]:
    """Return a copy of the default settings."""
    return copy.deepcopy(_SETTINGS)


def change(tree: Any, path: str, text: str) -> None:
    """Set one value of nested settings by its dotted path; numbers keep their type.

    An index one past the end of a list appends a copy of its last row.  A list is given as JSON.  An empty
    ``text`` deletes the value or the row.
    """
    *parents, last = path.split(".")
    for key in parents:
        if isinstance(tree, list) and int(key) == len(tree):
            tree.append(copy.deepcopy(tree[-1]))
        tree = tree[int(key)] if isinstance(tree, list) else tree.setdefault(key, {})
    if not text:
        del tree[int(last) if isinstance(tree, list) else last]
    elif isinstance(tree.get(last), list):
        tree[last] = json.loads(text)
    else:
        tree[last] = type(tree[last])(float(text)) if isinstance(tree.get(last), (int, float)) else text
