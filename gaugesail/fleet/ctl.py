"""`gaugesail ctl`: what a running head knows of its fleet, and what operators tell it.

Asks a head at its second address (``management``).  Tables on a terminal, the head's own JSON with --json.
"""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from .store import FleetStore, StoreError

PATIENCE_S = 5.0
STEP_S = 0.2


def ask(at: str, method: str, path: str) -> tuple[int, str]:
    """One call; ClickException where nobody answers."""
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{at!r} is no HOST:PORT", param_hint="--at")
    connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode(errors="replace").strip()
    except (OSError, http.client.HTTPException) as error:
        raise click.ClickException(f"{at}: {error!r}") from None
    finally:
        connection.close()


def _told(at: str, method: str, path: str) -> str:
    status, text = ask(at, method, path)
    if status == 404 and text == "no such call":
        raise click.ClickException(f"{at}: this head has no fleet file")
    if status not in (200, 202):
        raise click.ClickException(f"{at}: {status} {text}")
    return text


def _show(at: str, path: str, page: Callable[[dict[str, Any]], list[Any]], as_json: bool) -> None:
    """What a head tells, as it tells it or as pages."""
    text = _told(at, "GET", path)
    if as_json:
        click.echo(text)
        return
    console = Console()
    for part in page(json.loads(text)):
        console.print(part)


def at_option(call: Callable[..., None]) -> Callable[..., None]:
    return click.option(
        "--at", required=True, envvar="GAUGESAIL_AT", help="The head's second address, HOST:PORT."
    )(call)


@click.group("ctl")
def command() -> None:
    """Look at a running head's fleet, and tell it things."""


@command.command("members")
@at_option
@click.option("--json", "as_json", is_flag=True)
def members(at: str, as_json: bool) -> None:
    """Who is in the fleet, as this head sees it."""
    _show(at, "/fleet/members", members_page, as_json)


def members_page(told: dict[str, Any]) -> list[Any]:
    table = Table(box=None)
    for name in ("head", "state", "for", "address", "keeper"):
        table.add_column(name)
    for row in told["members"]:
        keeps = "leads" if row["name"] == told["leader"] else "keeps" * (row["name"] in told["keepers"])
        table.add_row(row["name"], row["state"], f"{row['for_s']:.0f} s", row["address"], keeps)
    return [f"Seen by {told['head']}, fleet {told['fleet'] or 'not founded yet'}", table]


@command.command("budgets")
@at_option
@click.option("--json", "as_json", is_flag=True)
def budgets(at: str, as_json: bool) -> None:
    """The whole of each limit, the floors, who holds what until when, and why something is held back.

    A keeper tells all that is granted; the leader tells how long each lease still is and what is used too.
    """
    _show(at, "/fleet/budgets", budgets_page, as_json)


def budgets_page(told: dict[str, Any]) -> list[Any]:
    own = told["own"]
    page: list[Any] = []
    left = own["lease_s"]
    lease = f"its lease runs for {left:.1f} s" if left else "it has no lease: floors alone"
    page.append(f"{told['head']}: {lease}; floor {own['slot'] if own['slot'] >= 0 else 'none'}")
    if own["refused"]:
        page.append(f"held back: {own['refused']}")
    table = Table(title="Its own", title_justify="left", box=None)
    for name in ("amount", "kind", "a second", "at once"):
        table.add_column(name)
    for plan, pair in own["floors"].items():
        table.add_row(plan, "floor", f"{pair['rate']:.2f}", f"{pair['burst']:.1f}")
    for amount, pair in own["parts"].items():
        table.add_row(amount, "part", f"{pair['rate']:.2f}", f"{pair['burst']:.1f}")
    page.append(table)
    if "wholes" not in told:
        page.append(f"It keeps no log; ask {told['leader'] or 'a keeper'} for the whole.")
        return page
    if not told["settled"]:
        page.append("held back: a whole has changed; the smaller figure holds until the old leases are over")
    table = Table(title="Wholes", title_justify="left", box=None)
    for name in ("plan", "a second", "at once", "floors of it"):
        table.add_column(name)
    for plan, row in told["wholes"].items():
        table.add_row(plan, f"{row['rate']:.1f}", f"{row['burst']:.1f}", f"{row['floors']:.1f}")
    page.append(table)
    leases = {row["session"]: row for row in told["sessions"]}
    table = Table(title="Granted", title_justify="left", box=None)
    for name in ("amount", "head", "a second", "at once", "asked for", "used", "counted for", "why not more"):
        table.add_column(name)
    for amount, row in told["amounts"].items():
        for part in row["parts"]:
            counted = leases.get(part["session"], {})
            table.add_row(
                amount, part["head"], f"{part['rate']:.2f}", f"{part['burst']:.1f}",
                *(f"{part[key]:.1f}" if key in part else "" for key in ("wanted", "used")),
                f"{counted['counted_s']:.1f} s" if "counted_s" in counted else "",
                part.get("why", counted.get("why", "")),
            )  # fmt: skip
        table.add_row(amount, "(nobody)", f"{row['free']:.2f}", "", "", "", "", "")
    page.append(table)
    return page


@command.command("forget")
@at_option
@click.argument("head")
def forget(at: str, head: str) -> None:
    """A head is gone for good: its floor may be another's.

    Only say so where its store is lost or its machine will never start it again: a head that comes back with
    its store would spend a floor that another has.
    """
    number = json.loads(_told(at, "POST", f"/fleet/forget/{head}"))["petition"]
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        answer = json.loads(_told(at, "GET", f"/fleet/petitions/{number}"))
        if answer["known"]:
            if not answer["done"]:
                raise click.ClickException(answer["why"])
            click.echo(f"{head} is forgotten{': ' + answer['why'] if answer['why'] else ''}")
            return
        time.sleep(STEP_S)
    raise click.ClickException("no answer from the leader; nothing may have changed: look at budgets")


@command.command("trust-store")
@at_option
def trust_store(at: str) -> None:
    """A keeper waits for others to vouch for its store; you know that it is the latest."""
    click.echo(_told(at, "POST", "/fleet/trust-store"))


@command.command("accept-store")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("head")
def accept_store(folder: str, head: str) -> None:
    """A store was moved to FOLDER, and no original of it is left that a head could start with.

    Run it on the machine of the head, before the head is started there.
    """
    try:
        FleetStore(folder, head).accept_home()
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    click.echo("it is at home here now")
