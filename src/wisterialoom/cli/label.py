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
@click.option("--remove", is_flag=True, help="Remove the label KEY instead.")
@platform_options
@json_option
def label(
    selector: str, text: str, *, remove: bool, connection: Connection, as_json: bool
) -> None:
    """Put the label KEY=VALUE on the backend servers that SELECTOR picks.

    The selector sees the platform's labels and `name`, such as `name=worker-3` or
    `role=drafting,gpu!=old`. The document keeps its comments and layout, and
    changes of other operators in between are kept.
    """
    key, separator, value = text.partition("=")
    if remove and separator:
        raise click.UsageError("give only the key with --remove")
    if not remove and not separator:
        raise click.UsageError("write the label as key=value, or use --remove")
    edit = LabelEdit(selector, key, None if remove else value)
    _change(connection, edit, as_json=as_json)


@click.command()
@click.argument("selector")
@platform_options
@json_option
def drain(selector: str, *, connection: Connection, as_json: bool) -> None:
    """Send no new work to the backend servers that SELECTOR picks.

    Work in progress there goes on.
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
