"""Kills, pauses, outages and replacements of real entry processes."""

import asyncio
import itertools
import signal
import time

import aiohttp
import openai
import pytest

from tests.processes import LIMIT_S, open_site, until
from tests.test_processes import make_client, stream_text
from wisterialoom.demo import DOCUMENT

pytestmark = pytest.mark.processes

LEASE_S = 2.0
ORDER_LIFETIME_S = 2.0
IN_FORCE_LIMIT_S = 12.0
SHORT_LEASE = DOCUMENT.replace(
    'name = "demo"', f'name = "demo"\nlease_s = {LEASE_S}', 1
)
# Engine e2 does not check fencing, and holds one model at a time like e1.
TWO_KINDS = (
    SHORT_LEASE.replace(
        'name = "engines"\nselector = "kind=engine"',
        'name = "engines"\nselector = "kind=engine,role=drafting"',
    ).replace('servers = "role=filing"', 'servers = "role=filing"\nmin_replicas = 0')
    + f"""
[[models]]
name = "archive"
version = "1"
memory_mb = 16000
load_s = 0.3
servers = "role=filing"

[[server_groups]]
name = "trusting"
selector = "kind=engine,role=filing"
memory_mb = 24000
adapter_pool_mb = 4000
slots = 8
checks_fencing = false
order_lifetime_s = {ORDER_LIFETIME_S}
"""
)
MEMORY = ("--memory-mb", "24000")
TWO_ENGINES = (
    ("e1", "drafting", MEMORY),
    ("e2", "filing", (*MEMORY, "--ignores-fencing")),
)


async def register(site, session, entry, key, **headers):
    """Send a deposit; return status, headers and body."""
    url = f"{site.urls[entry + '/callers']}/registry/deposits"
    headers |= {"Idempotency-Key": key}
    async with session.post(url, json={"key": key}, headers=headers) as response:
        return response.status, response.headers, await response.json()


async def complete(site, session, entry, model, deadline_ms=20000):
    """Send a plain completion; return status, headers and body."""
    url = f"{site.urls[entry + '/callers']}/v1/completions"
    body = {"model": model, "prompt": "Draft the note.", "max_tokens": 4}
    headers = {"X-Deadline-Ms": str(deadline_ms)}
    async with session.post(url, json=body, headers=headers) as response:
        return response.status, response.headers, await response.json()


def assert_refused_with_time(status, headers, body):
    assert headers["X-Outcome"] == "not_run", (status, body)
    assert float(headers["Retry-After"]) > 0, (status, body)


async def test_kill_of_an_entry_instance(tmp_path):
    """What an instance had in progress is cut visibly and never runs again."""
    async with open_site(tmp_path, SHORT_LEASE) as (site, session):
        done = await register(site, session, "entry-1", "done")
        assert done[0] == 200
        await site.fault(session, "registry-1", delay_s=LIMIT_S)
        keys = [f"deposit-{number}" for number in range(6)]
        calls = [
            asyncio.create_task(register(site, session, "entry-1", key)) for key in keys
        ]
        pieces = []
        stream = asyncio.create_task(read_stream(site, "entry-1", pieces))

        async def under_way():
            runs = (await site.records(session, "registry-1"))["runs"]
            return len(runs) == 1 + len(keys) and len(pieces) > 3

        await until(under_way)
        site.children["entry-1"].signal(signal.SIGKILL)
        with pytest.raises((openai.APIError, aiohttp.ClientError, OSError)):
            await stream
        assert len(pieces) < 150
        ends = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(end, aiohttp.ClientError) for end in ends), ends

        again = await asyncio.gather(
            *(end_of_key(site, session, "entry-2", key) for key in [*keys, "done"])
        )
        for status, headers, body in again[:-1]:
            assert status == 409, body
            assert headers["X-Outcome"] == "unknown"
            assert body["error"]["code"] == "key_unknown"
        assert (again[-1][0], again[-1][2]) == (200, done[2])
        records = await site.records(session, "registry-1")
        assert records["doubles"] == []
        operations = [run["operation"] for run in records["runs"]]
        assert sorted(operations) == sorted([*keys, "done"])


async def read_stream(site, entry, pieces):
    client = make_client(site, entry)
    stream = await client.chat.completions.create(
        model="drafting",
        messages=[{"role": "user", "content": "Draft the note."}],
        max_tokens=150,
        stream=True,
    )
    async for chunk in stream:
        pieces.append(chunk)


async def end_of_key(site, session, entry, key):
    """Ask with a key until its request is no longer in progress."""
    found = []

    async def ended():
        found[:] = await register(site, session, entry, key)
        code = found[2].get("error", {}).get("code", "")
        if found[0] == 503:
            assert_refused_with_time(*found)
            return False
        return code != "in_progress"

    await until(ended)
    return found


async def test_pause_of_stewards_past_their_lease(tmp_path):
    """Stewards that wake after a takeover order nothing that does harm."""
    wanted = {"e1": ("drafting", "review"), "e2": ("filing", "archive")}
    site_of = open_site(tmp_path, TWO_KINDS, entries=4, engines=TWO_ENGINES)
    async with site_of as (site, session):
        names = [f"entry-{number}" for number in (1, 2, 3, 4)]

        async def steered():
            found = await stewards_of(site, session, names[0])
            return set(found) == set(wanted) and set(found.values()) <= set(names)

        await until(steered)
        paused = set((await stewards_of(site, session, names[0])).values())
        others = [name for name in names if name not in paused]
        # Both models of an engine are wanted and one fits: orders are on their way.
        churn = [
            asyncio.create_task(keep_asking(site, session, others, models))
            for models in wanted.values()
        ]
        await until_moves(site, session)
        await pause(site, session, paused, others)
        await asyncio.gather(
            *(
                until_served(site, session, name, model)
                for name in paused
                for model in ("drafting", "filing")
            )
        )
        for task in churn:
            task.cancel()
        ends = await asyncio.gather(*churn, return_exceptions=True)
        assert all(isinstance(end, asyncio.CancelledError) for end in ends), ends
        for engine in wanted:
            assert (await site.records(session, engine))["violations"] == []


async def pause(site, session, paused, others):
    """Pause instances until others have steered the engines for them."""
    for name in paused:
        site.children[name].signal(signal.SIGSTOP)
        # Else an engine that does not check would wait for its holder to wake.
        await site.change_instances(remove=name)
    try:

        async def taken_over():
            found = [await stewards_of(site, session, name) for name in others]
            return all(set(item.values()) <= set(others) for item in found)

        await until(taken_over)
        await until_moves(site, session)
    finally:
        for name in paused:
            site.children[name].signal(signal.SIGCONT)


async def stewards_of(site, session, asked):
    status = await site.status(session, asked)
    return {x["name"]: x["steward"] for x in status["servers"] if x["steward"]}


async def moves_of(site, session):
    records = [await site.records(session, engine) for engine in ("e1", "e2")]
    return [sum(item["moves"].values()) for item in records]


async def until_moves(site, session):
    """Wait until both engines have begun a load or unload from now on."""
    before = await moves_of(site, session)

    async def moved():
        after = await moves_of(site, session)
        return all(new > old for old, new in zip(before, after, strict=True))

    await until(moved)


async def until_served(site, session, entry, model):
    async def served():
        answer = await complete(site, session, entry, model)
        if answer[0] != 200:
            assert_refused_with_time(*answer)
        return answer[0] == 200

    await until(served)


async def keep_asking(site, session, entries, models):
    """Ask for models in turn, each until it was served once."""
    for entry, model in zip(
        itertools.cycle(entries), itertools.cycle(models), strict=False
    ):
        answer = await complete(site, session, entry, model, deadline_ms=5000)
        if answer[0] != 200:
            assert_refused_with_time(*answer)
            await asyncio.sleep(0.05)


async def test_platform_down(tmp_path):
    """An outage stops claims alone; a start and an apply around it succeed."""
    async with open_site(tmp_path, SHORT_LEASE) as (site, session):
        before = (await site.status(session, "entry-1"))["generation"]
        await site.fault(session, "platform", down=True)
        begun = time.monotonic()
        seeds = [site.urls["entry-1/peers"].removeprefix("http://")]
        await site.entry("entry-3", seeds=seeds, listed=False)
        names = ["entry-1", "entry-2", "entry-3"]

        async def started():
            return await site.is_ready(session, "entry-3")

        await until(started)
        numbers = itertools.count()
        while time.monotonic() < begun + 3 * LEASE_S:
            for name in names[:2]:
                answer = await complete(site, session, name, "drafting")
                assert answer[0] == 200, answer
            asked = time.monotonic()
            answer = await register(site, session, "entry-1", f"d-{next(numbers)}")
            assert_refused_with_time(*answer)
            assert time.monotonic() - asked < 3.0, answer
        assert (await site.records(session, "registry-1"))["runs"] == []
        await site.fault(session, "platform", down=False)
        path = site.folder / "changed.toml"
        path.write_text(SHORT_LEASE + "\n# A change after the outage.\n")
        expect = ("--expect", str(before), "--platform", site.urls["platform"])
        assert await site.command("config", "apply", str(path), *expect) == 0

        async def in_force():
            found = [await site.status(session, name) for name in names]
            return all(item["generation"] > before for item in found)

        await until(in_force, IN_FORCE_LIMIT_S)

        async def claims():
            answer = await register(site, session, "entry-3", "after")
            return answer[0] == 200

        await until(claims)


async def test_rolling_replacement(tmp_path):
    """Every instance is replaced under load; no caller sees more than a refusal."""
    async with open_site(tmp_path, SHORT_LEASE, entries=3) as (site, session):
        balancer = Balancer(site, [f"entry-{number}" for number in (1, 2, 3)])
        tasks = [
            asyncio.create_task(balancer.watch(session)),
            *(asyncio.create_task(balancer.stream(n)) for n in range(6)),
            *(asyncio.create_task(balancer.plain(session)) for _ in range(6)),
            *(asyncio.create_task(balancer.deposit(session, n)) for n in range(2)),
        ]

        async def loaded():
            return min(balancer.served.values()) >= 6

        await until(loaded)
        for old, new in (("1", "4"), ("2", "5"), ("3", "6")):
            await replace(site, session, balancer, f"entry-{old}", f"entry-{new}")
        balancer.served = dict.fromkeys(balancer.served, 0)
        await until(loaded)
        balancer.ending = True
        await asyncio.gather(*tasks)
        records = await site.records(session, "registry-1")
        assert records["doubles"] == []
        operations = [run["operation"] for run in records["runs"]]
        assert balancer.registered <= set(operations)
        for name in ("e1", "e2", "e3"):
            found = await site.records(session, name)
            ends = {run["ended"] for run in found["runs"]}
            assert ends <= {"done"}, ends
            assert found["violations"] == []


async def replace(site, session, balancer, old, new):
    """Start a new instance, then stop an old one."""
    seeds = [
        site.urls[f"{name}/peers"].removeprefix("http://") for name in balancer.names
    ]
    await site.entry(new, seeds=seeds)

    async def ready():
        return await site.is_ready(session, new)

    await until(ready)
    balancer.names.append(new)
    child = site.children[old]
    child.signal(signal.SIGTERM)
    async with asyncio.timeout(30):
        assert await child.process.wait() == 0
    await site.change_instances(remove=old)


class Balancer:
    """Stands for the platform's balancer and the callers behind it.

    A connection that is refused is opened to the next instance; nothing that may
    have been sent is sent again.
    """

    def __init__(self, site, names):
        self.site = site
        self.names = names
        self.turn = itertools.count()
        self.served = {"stream": 0, "plain": 0, "deposit": 0}
        self.registered = set()
        self.ending = False

    async def watch(self, session):
        while not self.ending:
            for name in list(self.names):
                if not await self.takes_work(session, name):
                    self.names.remove(name)
            await asyncio.sleep(0.1)

    async def takes_work(self, session, name):
        try:
            return await self.site.is_ready(session, name)
        except aiohttp.ClientError:
            return False

    def pick(self):
        return self.names[next(self.turn) % len(self.names)]

    async def stream(self, number):
        while not self.ending:
            client = make_client(self.site, self.pick())
            try:
                text, reason = await stream_text(client, "drafting", 40 + number)
            except openai.APIStatusError as error:
                response = error.response
                answer = response.status_code, response.headers, error.body
                assert_refused_with_time(*answer)
                continue
            except openai.APIConnectionError as error:
                if not is_refused_connection(error):
                    raise
                continue
            assert (len(text.split()), reason) == (40 + number, "length")
            self.served["stream"] += 1

    async def plain(self, session):
        while not self.ending:
            try:
                answer = await complete(self.site, session, self.pick(), "filing")
            except aiohttp.ClientConnectorError:
                continue
            if answer[0] == 200:
                assert answer[2]["usage"]["completion_tokens"] == 4
                self.served["plain"] += 1
            else:
                assert_refused_with_time(*answer)

    async def deposit(self, session, number):
        for count in itertools.count():
            if self.ending:
                break
            key = f"{number}-{count}"
            status = 0
            while status != 200:
                try:
                    answer = await register(self.site, session, self.pick(), key)
                except aiohttp.ClientConnectorError:
                    continue
                status = answer[0]
                if status != 200:
                    assert_refused_with_time(*answer)
            self.registered.add(key)
            self.served["deposit"] += 1


def is_refused_connection(error):
    """Tell whether no connection was opened, so that nothing was sent."""
    while error is not None:
        if type(error).__name__ == "ConnectError":
            return True
        error = error.__cause__ or error.__context__
    return False


async def test_start_while_the_platform_is_down(tmp_path):
    """An instance that is ready serves, although no list can be read."""
    async with open_site(tmp_path, SHORT_LEASE) as (site, session):
        await until_served(site, session, "entry-1", "drafting")
        await site.fault(session, "platform", down=True)
        seeds = [site.urls["entry-1/peers"].removeprefix("http://")]
        await site.entry("entry-3", seeds=seeds, listed=False)

        async def ready():
            return await site.is_ready(session, "entry-3")

        await until(ready)
        answer = await complete(site, session, "entry-3", "drafting", deadline_ms=3000)
        assert answer[0] == 200, answer
