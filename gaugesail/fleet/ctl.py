"""`gaugesail ctl`: what a running gateway knows of its fleet, and what operators tell it.

Asks a gateway at its second address (``management``).  Prints tables, or the gateway's own JSON with --json.
"""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable
from typing import Any

import click
from rich.console import Console

from .ctl_pages import Page, budgets_page, members_page
from .store import FleetStore, StoreError

TIMEOUT_S = 5.0  # of one call, and of the leader's word on a command
POLL_INTERVAL_S = 0.2


def ask(at: str, method: str, path: str) -> tuple[int, str]:
    """One call: its HTTP status and body.  ClickException where nobody answers."""
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{at!r} is no HOST:PORT", param_hint="--at")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read().decode(errors="replace").strip()
    except (OSError, http.client.HTTPException) as error:
        raise click.ClickException(f"{at}: {error!r}") from None
    finally:
        connection.close()


def _call(at: str, method: str, path: str) -> str:
    """The body of a call that succeeds; ClickException where it does not."""
    status, text = ask(at, method, path)
    if status == 404 and text == "no such call":
        raise click.ClickException(f"{at}: this head has no fleet file")
    if status not in (200, 202):
        raise click.ClickException(f"{at}: {status} {text}")
    return text


def _show(at: str, path: str, page: Callable[[dict[str, Any]], Page], as_json: bool) -> None:
    """Print what a gateway answers: its JSON, or a page made of it."""
    text = _call(at, "GET", path)
    if as_json:
        click.echo(text)
        return
    console = Console()
    for part in page(json.loads(text)):
        console.print(part)


def at_option(call: Callable[..., None]) -> Callable[..., None]:
    """The option that names the gateway."""
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


@command.command("budgets")
@at_option
@click.option("--json", "as_json", is_flag=True)
def budgets(at: str, as_json: bool) -> None:
    """The whole of each limit, the floors, who holds what until when, and why something is held back.

    A keeper tells all that is granted; the leader tells how long each lease still is and what is used too.
    """
    _show(at, "/fleet/budgets", budgets_page, as_json)


@command.command("forget")
@at_option
@click.argument("head")
def forget(at: str, head: str) -> None:
    """A head is gone for good: its floor may be another's.

    Only say so where its store is lost or its machine will never start it again: a head that comes back with
    its store would spend a floor that another has.
    """
    number = json.loads(_call(at, "POST", f"/fleet/forget/{head}"))["petition"]
    result = _await_result(at, number)
    if not result["done"]:
        raise click.ClickException(result["why"])
    click.echo(f"{head} is forgotten{': ' + result['why'] if result['why'] else ''}")


def _await_result(at: str, number: int) -> dict[str, Any]:
    """What became of a command; ClickException where nothing is known of it in time."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        result: dict[str, Any] = json.loads(_call(at, "GET", f"/fleet/petitions/{number}"))
        if result["known"]:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise click.ClickException("no answer from the leader; nothing may have changed: look at budgets")


@command.command("trust-store")
@at_option
def trust_store(at: str) -> None:
    """A keeper waits for others to vouch for its store; you know that it is the latest."""
    click.echo(_call(at, "POST", "/fleet/trust-store"))


@command.command("accept-store")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("head")
def accept_store(folder: str, head: str) -> None:
    """A store was moved to FOLDER, and no original of it is left that a head could start with.

    Run it on the machine of the head, before the head is started there.
    """
    try:
        FleetStore(folder, head).accept_location()
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    click.echo("it is at home here now")
