"""Tests of `wisterialoom.core.requests.server_directory`."""

import random
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from wisterialoom.core.configuration.document import (
    Deployment,
    Document,
    Label,
    ServerGroup,
)
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceListRead,
    InstanceState,
    ListedInstance,
    ReadInstanceList,
)
from wisterialoom.core.fleet.peer import ServerLoad
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    LoadReported,
    ServerLeavingSeen,
    ServersChanged,
)
from wisterialoom.core.requests.server_directory import ServerDirectory

DOCUMENT = Document(
    Deployment("desk"),
    server_groups=(
        ServerGroup("drafting", "role=drafting", memory_mb=1),
        ServerGroup("registry", "role=registry", kind="service"),
    ),
    labels=(Label("name=w2", "drain", "true"), Label("role=drafting", "tier", "new")),
)
ENTRY = ListedInstance("entry-1", "1", "127.0.0.1:1", "zone", {"kind": "entry"})


def listed(name, incarnation="1", state=InstanceState.LIVE, **labels):
    labels = labels or {"kind": "engine", "role": "drafting"}
    return ListedInstance(name, incarnation, "127.0.0.1:2", "zone", labels, state)


def listing(*instances):
    return InstanceListRead(InstanceList((ENTRY, *instances)))


def make_directory():
    directory = ServerDirectory(random.Random(1))
    directory.handle(0.0, ConfigChanged(1, DOCUMENT))
    return directory


def test_groups_labels_and_marks():
    directory = make_directory()
    service = listed("r1", kind="service", role="registry")
    other = listed("x", kind="engine", role="unknown")
    wrong_kind = listed("y", kind="service", role="drafting")
    event = listing(listed("w2"), listed("w1"), service, other, wrong_kind)
    (notice,) = directory.handle(0.0, event)
    names = [(s.name, s.group, s.kind, s.drained) for s in notice.servers]
    assert names == [
        ("r1", "registry", "service", False),
        ("w1", "drafting", "engine", False),
        ("w2", "drafting", "engine", True),
    ]
    assert notice.servers[1].labels["tier"] == "new"
    assert directory.handle(0.0, event) == []
    bare = replace(DOCUMENT, labels=())
    (notice,) = directory.handle(0.0, ConfigChanged(2, bare))
    assert not any(server.drained for server in notice.servers)
    assert directory.handle(0.0, InstanceListRead(InstanceList())) == []


def test_reads_the_list_every_couple_of_seconds():
    directory = make_directory()
    reads = 0
    for tick in range(200):
        if ReadInstanceList() in directory.handle(tick / 10, Tick()):
            reads += 1
            directory.handle(tick / 10, listing(listed("w1")))
    assert 8 <= reads <= 14


incarnations = st.integers(1, 3).map(str)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("list"), incarnations, st.booleans()),
        st.tuples(st.just("absent"), incarnations, st.booleans()),
        st.tuples(st.sampled_from(["server", "peer"]), incarnations, st.booleans()),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(steps=steps)
def test_leaving_is_sticky_until_a_newer_incarnation(steps):
    """Lists lag: they show incarnations again, and leave servers out."""
    directory = make_directory()
    said_leaving, current, absent, shown = set(), "0", 0, None
    for now, (kind, incarnation, flag) in enumerate(steps):
        match kind:
            case "list":
                state = InstanceState.LEAVING if flag else InstanceState.LIVE
                event = listing(listed("w1", incarnation, state))
            case "absent":
                event = listing()
            case "server":
                event = ServerLeavingSeen("w1", incarnation)
            case _:
                load = ServerLoad(
                    "w1", now, 0, 0, leaving=flag, incarnation=incarnation
                )
                event = LoadReported(load, own=False)
        if kind == "list":
            seen = [s[1] for s in steps[:now] if s[0] == "list"]
            if incarnation not in seen or incarnation == current:
                current, absent = incarnation, 0
        if kind == "absent":
            absent += 1
        if kind == "server" or (kind != "absent" and flag):
            said_leaving.add(incarnation)
        for notice in directory.handle(float(now), event):
            assert isinstance(notice, ServersChanged)
            assert notice.servers != shown
            shown = notice.servers
        servers = {s.name: s for s in shown or ()}
        assert ("w1" in servers) == (current != "0" and absent < 2)
        if "w1" in servers:
            assert servers["w1"].incarnation == current
            assert servers["w1"].leaving == (current in said_leaving)
