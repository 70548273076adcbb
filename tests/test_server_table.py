"""Entries of backend servers that arrive in any order."""

from __future__ import annotations

import itertools
from dataclasses import replace

from hypothesis import given, strategies as st

from wisterialoom.core.fleet import ServerTable
from wisterialoom.core.serving.backend import BackendServer, ResidentModel

SERVER = BackendServer(
    id="i-1",
    started_ms=5,
    service="scribe",
    address="10.0.0.1:80",
    availability_zone="zone-a",
    slots=8,
    draining=False,
    order_count=2,
    models=(ResidentModel("m0"),),
)


def test_an_older_entry_does_not_replace_a_newer_one():
    table = ServerTable()
    assert table.put(1.0, 7, replace(SERVER, draining=True))
    assert not table.put(2.0, 6, SERVER)
    assert table.servers["i-1"].draining


def test_a_late_entry_does_not_bring_a_removed_server_back():
    table = ServerTable()
    table.put(1.0, 5, SERVER)
    assert table.remove(2.0, 8, "i-1")
    assert not table.put(3.0, 7, SERVER)
    assert table.servers == {}
    assert table.put(4.0, 9, SERVER)
    assert set(table.servers) == {"i-1"}


def test_a_removal_is_forgotten_once_no_late_message_can_come():
    table = ServerTable()
    table.put(1.0, 5, SERVER)
    table.remove(2.0, 8, "i-1")
    table.forget_removed(10.0)
    assert "i-1" in table.entries
    table.forget_removed(40.0)
    assert table.entries == {}


def test_what_a_server_holds_is_no_change_for_others():
    table = ServerTable()
    table.put(1.0, 5, SERVER)
    digest = table.digest
    table.put(9.0, 6, replace(SERVER, models=(), order_count=3))
    assert table.digest == digest
    assert table.changed_since(5.0) == {}
    table.put(10.0, 7, replace(SERVER, started_ms=6))
    assert table.digest != digest
    assert set(table.changed_since(5.0)) == {"i-1"}


def test_a_list_is_no_news():
    """After a start of 77 instances, each told all others of each server."""
    table = ServerTable()
    table.put(1.0, 5, SERVER, listed=True)
    assert table.changed_since(0.0) == {}
    table.put(2.0, 6, replace(SERVER, draining=True))
    assert set(table.changed_since(0.0)) == {"i-1"}


@given(st.permutations(range(5)))
def test_the_order_of_arrival_does_not_matter(order: list[int]):
    def play(steps: list[int]) -> ServerTable:
        table = ServerTable()
        for step in steps:
            match step:
                case 0:
                    table.put(1.0, 3, SERVER)
                case 1:
                    table.put(1.0, 4, replace(SERVER, draining=True))
                case 2:
                    table.remove(1.0, 5, "i-1")
                case 3:
                    table.put(1.0, 6, replace(SERVER, started_ms=9))
                case 4:
                    table.put(1.0, 3, replace(SERVER, id="i-2"))
        return table

    straight = play(list(range(5)))
    assert play(order).servers == straight.servers
    assert play(order).digest == straight.digest


def test_tables_with_the_same_servers_agree_however_they_were_filled():
    servers = [replace(SERVER, id=f"i-{number}") for number in range(3)]
    digests = set()
    for order in itertools.permutations(servers):
        table = ServerTable()
        for revision, server in enumerate(order):
            table.put(1.0, revision + 1, server)
        digests.add(table.digest)
    assert len(digests) == 1
