"""End-to-end tests of a deployment of separate processes."""

import asyncio
import signal

import openai
import pytest

from tests.processes import API_KEY, open_deployment, wait_until
from wisterialoom.demo import DOCUMENT

pytestmark = pytest.mark.processes


def make_client(deployment, entry):
    base = f"{deployment.urls[entry + '/callers']}/v1"
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
    chunks, reason = [], None
    async for chunk in stream:
        for choice in chunk.choices:
            chunks.append(choice.delta.content or "")
            reason = choice.finish_reason or reason
    return "".join(chunks), reason


async def test_deployment_serves_claims_reconfigures_and_drains(tmp_path):
    async with open_deployment(tmp_path, DOCUMENT) as (deployment, session):
        await check_chat(deployment, session)
        await check_refusal(deployment, session)
        await check_idempotent_registration(deployment, session)
        await check_configuration_apply(deployment, session)
        await check_sigterm_during_a_stream(deployment, session)


async def check_chat(deployment, session):
    client = make_client(deployment, "entry-1")
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


async def check_refusal(deployment, session):
    client = make_client(deployment, "entry-1")
    with pytest.raises(openai.NotFoundError) as caught:
        await client.completions.create(model="nobody", prompt="Hello")
    assert caught.value.body["code"] == "no_model"
    assert caught.value.response.headers["X-Outcome"] == "not_run"
    assert float(caught.value.response.headers["Retry-After"]) > 0
    name = 'wisterialoom_refusals_total{reason="no_model"}'
    assert await deployment.metric(session, "entry-1", name) == 1


async def check_idempotent_registration(deployment, session):
    """Check that one idempotency key runs once through two instances at once."""

    async def register(entry):
        url = f"{deployment.urls[entry + '/callers']}/registry/deposits"
        headers = {"Idempotency-Key": "deposit-1"}
        async with session.post(url, json={"n": 1}, headers=headers) as response:
            return response.status, await response.json()

    answers = await asyncio.gather(register("entry-1"), register("entry-2"))
    assert sorted(status for status, _ in answers) in ([200, 200], [200, 409])
    again = await register("entry-2")
    assert again[0] == 200
    assert again in answers
    records = await deployment.records(session, "registry-1")
    assert len(records["runs"]) == 1
    assert records["doubles"] == []


async def check_configuration_apply(deployment, session):
    before = (await deployment.status(session, "entry-1"))["generation"]
    path = deployment.folder / "changed.toml"
    path.write_text(
        DOCUMENT + '\n[[models]]\nname = "extra"\nversion = "1"\n'
        "memory_mb = 1000\nload_s = 0.1\n"
    )
    platform = ("--platform", deployment.urls["platform"])
    expect = ("--expect", str(before))
    assert (
        await deployment.run_command("config", "apply", str(path), *expect, *platform)
        == 0
    )

    async def in_force():
        found = [
            await deployment.status(session, name) for name in ("entry-1", "entry-2")
        ]
        return all(item["generation"] > before for item in found)

    await wait_until(in_force)
    # Applying another document over the outdated generation is refused.
    path.write_text(DOCUMENT + "\n# Another change.\n")
    assert (
        await deployment.run_command("config", "apply", str(path), *expect, *platform)
        == 3
    )


async def check_sigterm_during_a_stream(deployment, session):
    client = make_client(deployment, "entry-2")
    running = asyncio.create_task(stream_text(client, "drafting", 150))

    async def streams():
        return (await deployment.status(session, "entry-2"))["in_progress"] == 1

    await wait_until(streams)
    child = deployment.children["entry-2"]
    child.signal(signal.SIGTERM)
    text, reason = await running
    assert len(text.split()) >= 100
    assert reason in ("stop", "length")
    async with asyncio.timeout(30):
        assert await child.process.wait() == 0
