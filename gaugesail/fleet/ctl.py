"""`gaugesail ctl`: inspects and controls the fleet of a running gateway.

Sends requests to the gateway's management address.  Prints tables, or the gateway's own JSON with --json.
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

TIMEOUT_S = 5.0  # of one call, and of the wait for the leader's result of a command
POLL_INTERVAL_S = 0.2


def _request(at: str, method: str, path: str) -> tuple[int, str]:
    """Send one request; return HTTP status and body.  Raises ClickException if there is no response."""
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"expected HOST:PORT, got {at!r}", param_hint="--at")
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
    """Return the body of a successful response.  ClickException for any other."""
    status, text = _request(at, method, path)
    if status == 404 and text == "no such call":
        raise click.ClickException(f"{at}: this gateway runs without a fleet file (--fleet)")
    if status not in (200, 202):
        raise click.ClickException(f"{at}: {status} {text}")
    return text


def _show(at: str, path: str, page: Callable[[dict[str, Any]], Page], as_json: bool) -> None:
    """Print a gateway's response: its JSON, or a page made of it."""
    text = _call(at, "GET", path)
    if as_json:
        click.echo(text)
        return
    console = Console()
    for part in page(json.loads(text)):
        console.print(part)


def at_option(call: Callable[..., None]) -> Callable[..., None]:
    """Add the option ``--at``, the address of the gateway."""
    return click.option(
        "--at", required=True, envvar="GAUGESAIL_AT", help="The gateway's management address, HOST:PORT."
    )(call)


@click.group("ctl")
def command() -> None:
    """Inspect and control the fleet of a running gateway."""


@command.command("members")
@at_option
@click.option("--json", "as_json", is_flag=True)
def members(at: str, as_json: bool) -> None:
    """The members of the fleet and their states, as this gateway sees them."""
    _show(at, "/fleet/members", members_page, as_json)


@command.command("budgets")
@at_option
@click.option("--json", "as_json", is_flag=True)
def budgets(at: str, as_json: bool) -> None:
    """The limits, floors, leases and allocations, and the reason for quota that is held back.

    A replica shows all allocations; the leader also shows demand, use and the time left of each lease.
    """
    _show(at, "/fleet/budgets", budgets_page, as_json)


@command.command("forget")
@at_option
@click.argument("gateway")
def forget(at: str, gateway: str) -> None:
    """Remove a gateway for good, so that its floor can be assigned to another.

    Only do this if its store is lost or its machine will never start it again: a gateway that returns with
    its store would spend a floor that another gateway has.
    """
    number = json.loads(_call(at, "POST", f"/fleet/forget/{gateway}"))["petition"]
    result = _await_result(at, number)
    if not result["done"]:
        raise click.ClickException(result["why"])
    click.echo(f"{gateway} is forgotten{': ' + result['why'] if result['why'] else ''}")


def _await_result(at: str, number: int) -> dict[str, Any]:
    """Poll for the result of a command.  Raises ClickException if there is none within TIMEOUT_S."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        result: dict[str, Any] = json.loads(_call(at, "GET", f"/fleet/petitions/{number}"))
        if result["known"]:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise click.ClickException(
        f"no result from the leader within {TIMEOUT_S:g} s; check `ctl budgets` for a change"
    )


@command.command("trust-store")
@at_option
def trust_store(at: str) -> None:
    """Trust this replica's store as its latest, so that it need not wait for others to confirm that."""
    click.echo(_call(at, "POST", "/fleet/trust-store"))


@command.command("accept-store")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("gateway")
def accept_store(folder: str, gateway: str) -> None:
    """Accept a store that was moved to FOLDER; no original must be left that a gateway could start with.

    Run it on the machine of the gateway, before the gateway is started there.
    """
    try:
        FleetStore(folder, gateway).accept_move()
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    click.echo("it is at home here now")
