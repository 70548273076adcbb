"""Commands that change the document's labels."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from wisterialoom.cli.config import echo_applied
from wisterialoom.cli.connection import platform_options
from wisterialoom.cli.output import json_option
from wisterialoom.core.requests.server_directory import DRAIN_LABEL
from wisterialoom.operator.apply import change
from wisterialoom.operator.label import LabelEdit

if TYPE_CHECKING:
    from wisterialoom.cli.connection import Connection

__all__ = ["drain", "label", "undrain"]


def _change(connection: Connection, edit: LabelEdit, *, as_json: bool) -> None:
    applied = connection.run(lambda platform: change(platform, edit.edit))
    echo_applied(applied, as_json=as_json)


@click.command()
@click.argument("selector")
@click.argument("text", metavar="KEY[=VALUE]")
@click.option("--remove", is_flag=True, help="Remove the label KEY.")
@platform_options
@json_option
def label(
    selector: str, text: str, *, remove: bool, connection: Connection, as_json: bool
) -> None:
    """Add the label KEY=VALUE to the backend servers that SELECTOR matches.

    The selector applies to the platform's labels and `name`, such as `name=worker-3`
    or `role=drafting,gpu!=old`. Comments and layout of the document, and concurrent
    changes of other operators, are preserved.
    """
    key, separator, value = text.partition("=")
    if remove and separator:
        raise click.UsageError("give only KEY with --remove")
    if not remove and not separator:
        raise click.UsageError("give the label as KEY=VALUE, or use --remove")
    edit = LabelEdit(selector, key, None if remove else value)
    _change(connection, edit, as_json=as_json)


@click.command()
@click.argument("selector")
@platform_options
@json_option
def drain(selector: str, *, connection: Connection, as_json: bool) -> None:
    """Send no new requests to the backend servers that SELECTOR matches.

    Requests in progress continue.
    """
    edit = LabelEdit(selector, DRAIN_LABEL, "true")
    _change(connection, edit, as_json=as_json)


@click.command()
@click.argument("selector")
@platform_options
@json_option
def undrain(selector: str, *, connection: Connection, as_json: bool) -> None:
    """Undo `drain` with the same SELECTOR."""
    edit = LabelEdit(selector, DRAIN_LABEL, None)
    _change(connection, edit, as_json=as_json)
