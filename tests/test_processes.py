"""The whole path, served by separate processes."""

import asyncio
import signal

import openai
import pytest

from tests.processes import API_KEY, open_site, until
from wisterialoom.demo import DOCUMENT

pytestmark = pytest.mark.processes


def make_client(site, entry):
    base = f"{site.urls[entry + '/callers']}/v1"
    headers = {"X-Deadline-Ms": "20000"}
    return openai.AsyncOpenAI(
        base_url=base, api_key=API_KEY, max_retries=0, default_headers=headers
    )


async def stream_text(client, model, tokens):
    stream = await client.chat.completions.create(
        model=model,
        messages=[{"role": "user", "content": "Draft the note."}],
        max_tokens=tokens,
        stream=True,
    )
    pieces, reason = [], None
    async for chunk in stream:
        for choice in chunk.choices:
            pieces.append(choice.delta.content or "")
            reason = choice.finish_reason or reason
    return "".join(pieces), reason


async def test_whole_path(tmp_path):
    async with open_site(tmp_path, DOCUMENT) as (site, session):
        await check_chat(site, session)
        await check_refusal(site, session)
        await check_once(site, session)
        await check_apply(site, session)
        await check_sigterm_under_a_stream(site, session)


async def check_chat(site, session):
    client = make_client(site, "entry-1")
    text, reason = await stream_text(client, "drafting", 8)
    assert text
    assert reason in ("stop", "length")
    answer = await client.chat.completions.create(
        model="drafting-sofia",
        messages=[{"role": "user", "content": "As Sofia does."}],
        max_tokens=5,
    )
    assert answer.usage.completion_tokens == 5
    models = [item.id async for item in client.models.list()]
    assert {"drafting", "drafting-sofia", "filing"} <= set(models)


async def check_refusal(site, session):
    client = make_client(site, "entry-1")
    with pytest.raises(openai.NotFoundError) as caught:
        await client.completions.create(model="nobody", prompt="Hello")
    assert caught.value.body["code"] == "no_model"
    assert caught.value.response.headers["X-Outcome"] == "not_run"
    assert float(caught.value.response.headers["Retry-After"]) > 0
    name = 'wisterialoom_refusals_total{reason="no_model"}'
    assert await site.metric(session, "entry-1", name) == 1


async def check_once(site, session):
    """The same call through two entry instances at once runs once."""

    async def register(entry):
        url = f"{site.urls[entry + '/callers']}/registry/deposits"
        headers = {"Idempotency-Key": "deposit-1"}
        async with session.post(url, json={"n": 1}, headers=headers) as response:
            return response.status, await response.json()

    answers = await asyncio.gather(register("entry-1"), register("entry-2"))
    assert sorted(status for status, _ in answers) in ([200, 200], [200, 409])
    again = await register("entry-2")
    assert again[0] == 200
    assert again in answers
    records = await site.records(session, "registry-1")
    assert len(records["runs"]) == 1
    assert records["doubles"] == []


async def check_apply(site, session):
    before = (await site.status(session, "entry-1"))["generation"]
    path = site.folder / "changed.toml"
    path.write_text(
        DOCUMENT + '\n[[models]]\nname = "extra"\nversion = "1"\n'
        "memory_mb = 1000\nload_s = 0.1\n"
    )
    platform = ("--platform", site.urls["platform"])
    expect = ("--expect", str(before))
    assert await site.command("config", "apply", str(path), *expect, *platform) == 0

    async def in_force():
        found = [await site.status(session, name) for name in ("entry-1", "entry-2")]
        return all(item["generation"] > before for item in found)

    await until(in_force)
    # The operator who saw the older generation, with another document, loses.
    path.write_text(DOCUMENT + "\n# Another change.\n")
    assert await site.command("config", "apply", str(path), *expect, *platform) == 3


async def check_sigterm_under_a_stream(site, session):
    client = make_client(site, "entry-2")
    running = asyncio.create_task(stream_text(client, "drafting", 150))

    async def streams():
        return (await site.status(session, "entry-2"))["in_progress"] == 1

    await until(streams)
    child = site.children["entry-2"]
    child.signal(signal.SIGTERM)
    text, reason = await running
    assert len(text.split()) >= 100
    assert reason in ("stop", "length")
    async with asyncio.timeout(30):
        assert await child.process.wait() == 0
