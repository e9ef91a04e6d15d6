"""The pages of `gaugesail ctl`: tables made of a gateway's JSON responses.

The keys are those of the responses of operator_calls.py.  Rates are units per second, bursts units.
"""

from __future__ import annotations

from typing import Any

from rich.table import Table

Page = list[str | Table]
View = dict[str, Any]  # a JSON object of a response


def members_page(view: View) -> Page:
    """The fleet's members, as one gateway sees them."""
    table = Table(box=None)
    for name in ("head", "state", "for", "address", "keeper"):
        table.add_column(name)
    for row in view["members"]:
        role = "leads" if row["name"] == view["leader"] else "keeps" * (row["name"] in view["keepers"])
        table.add_row(row["name"], row["state"], f"{row['for_s']:.0f} s", row["address"], role)
    return [f"Seen by {view['head']}, fleet {view['fleet'] or 'not founded yet'}", table]


def budgets_page(view: View) -> Page:
    """A gateway's own quota; from a replica also the limits and all allocations."""
    page = _lease_lines(view)
    page.append(_own_quota_table(view["own"]))
    if "wholes" not in view:
        page.append(f"It keeps no log; ask {view['leader'] or 'a keeper'} for the whole.")
        return page
    if not view["settled"]:
        page.append("held back: a whole has changed; the smaller figure holds until the old leases are over")
    page.append(_limits_table(view["wholes"]))
    page.append(_allocations_table(view))
    return page


def _lease_lines(view: View) -> Page:
    own = view["own"]
    seconds = own["lease_s"]
    lease = f"its lease runs for {seconds:.1f} s" if seconds else "it has no lease: floors alone"
    slot = own["slot"] if own["slot"] >= 0 else "none"
    lines: Page = [f"{view['head']}: {lease}; floor {slot}"]
    if own["refused"]:
        lines.append(f"held back: {own['refused']}")
    return lines


def _table(title: str, columns: tuple[str, ...]) -> Table:
    table = Table(title=title, title_justify="left", box=None)
    for column in columns:
        table.add_column(column)
    return table


def _own_quota_table(own: View) -> Table:
    table = _table("Its own", ("amount", "kind", "a second", "at once"))
    for plan, pair in own["floors"].items():
        table.add_row(plan, "floor", f"{pair['rate']:.2f}", f"{pair['burst']:.1f}")
    for quota_name, pair in own["parts"].items():
        table.add_row(quota_name, "part", f"{pair['rate']:.2f}", f"{pair['burst']:.1f}")
    return table


def _limits_table(limits: View) -> Table:
    table = _table("Wholes", ("plan", "a second", "at once", "floors of it"))
    for plan, row in limits.items():
        table.add_row(plan, f"{row['rate']:.1f}", f"{row['burst']:.1f}", f"{row['floors']:.1f}")
    return table


def _allocations_table(view: View) -> Table:
    columns = ("amount", "head", "a second", "at once", "asked for", "used", "counted for", "why not more")
    table = _table("Granted", columns)
    leases = {row["session"]: row for row in view["sessions"]}
    for quota_name, row in view["amounts"].items():
        for allocation in row["parts"]:
            lease = leases.get(allocation["session"], {})
            table.add_row(quota_name, *_allocation_cells(allocation, lease))
        table.add_row(quota_name, "(nobody)", f"{row['free']:.2f}", "", "", "", "", "")
    return table


def _allocation_cells(allocation: View, lease: View) -> list[str]:
    """The cells of one allocation; only the leader knows demand, use and the time left of the lease."""
    return [
        allocation["head"],
        f"{allocation['rate']:.2f}",
        f"{allocation['burst']:.1f}",
        f"{allocation['wanted']:.1f}" if "wanted" in allocation else "",
        f"{allocation['used']:.1f}" if "used" in allocation else "",
        f"{lease['counted_s']:.1f} s" if "counted_s" in lease else "",
        allocation.get("why", lease.get("why", "")),
    ]
