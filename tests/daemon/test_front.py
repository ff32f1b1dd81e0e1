"""The HTTP API for callers, used by the OpenAI client and by invalid requests."""

import asyncio
import json

import openai
import pytest

from sesamespindle.lab import answers, fleet


@pytest.fixture
def client(shared_fleet):
    return openai.AsyncOpenAI(
        base_url=f"{shared_fleet.url('entry-1')}/v1",
        api_key=fleet.demo_key("interpreters"),
        max_retries=0,
    )


def test_client_lists_models(client, go):
    async def list_names():
        return [model.id async for model in client.models.list()]

    assert go(list_names()) == ["glossary"]


def test_client_gets_chat_completion(client, go):
    answer = go(
        client.chat.completions.create(
            model="glossary",
            messages=[{"role": "user", "content": "Hello"}],
            max_tokens=5,
            temperature=0.2,
        )
    )
    rendered = "<|user|>Hello<|end|><|assistant|>"
    assert answer.choices[0].message.content == answers.expected(rendered, 5)
    assert answer.usage.completion_tokens == 5


def test_client_gets_streamed_chat_completion(client, go):
    async def read():
        stream = await client.chat.completions.create(
            model="glossary",
            messages=[{"role": "user", "content": "Hello again"}],
            max_tokens=5,
            stream=True,
        )
        return [chunk async for chunk in stream]

    chunks = go(read())
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert text == answers.expected("<|user|>Hello again<|end|><|assistant|>", 5)
    assert chunks[-1].choices[0].finish_reason == "length"


def test_wrong_api_key_is_refused(client, go):
    with pytest.raises(openai.AuthenticationError):
        go(client.with_options(api_key="sk-wrong").models.retrieve("glossary"))


@pytest.mark.parametrize("model", ["no-such-model", "desk"])
def test_model_that_the_account_may_not_use_is_unknown(client, go, model):
    """There is a model desk, but the account may not use its pool."""
    with pytest.raises(openai.NotFoundError) as caught:
        go(client.completions.create(model=model, prompt="x", max_tokens=1))
    assert caught.value.body["code"] == "unknown_model"
    assert caught.value.body["outcome"] == "not_run"


def test_prompts_over_the_account_limit_are_refused(shared_fleet, client, go):
    async def flood():
        limited_client = client.with_options(api_key=fleet.demo_key("training"))
        return await asyncio.gather(
            *(
                limited_client.completions.create(
                    model="glossary", prompt="x", max_tokens=64
                )
                for _ in range(60)
            ),
            return_exceptions=True,
        )

    refused = [item for item in go(flood()) if isinstance(item, openai.RateLimitError)]
    assert refused
    assert int(refused[0].response.headers["Retry-After"]) >= 1
    assert refused[0].body["retry_after"] > 0


def nested_body(levels):
    """Return the body of a completion request with nested lists in one field."""
    return json.dumps({"model": "glossary", "prompt": "x", "stop": 0}).replace(
        "0", "[" * levels + "]" * levels
    )


BAD_BODIES = {
    "not JSON": ("{", 400, "invalid_json"),
    "not an object": ("[]", 400, "invalid_json"),
    "not UTF-8": (b"\xff\xfe{", 400, "invalid_json"),
    "unknown field": (
        '{"model": "glossary", "prompt": "x", "promt_cache_key": "y"}',
        400,
        "invalid_request",
    ),
    "wrong type": ('{"model": "glossary", "prompt": 7}', 400, "invalid_request"),
    "missing field": ('{"model": "glossary"}', 400, "invalid_request"),
    "negative tokens": (
        '{"model": "glossary", "prompt": "x", "max_tokens": -1}',
        400,
        "invalid_request",
    ),
    "too long a context": (
        '{"model": "glossary", "prompt": "x", "max_tokens": 9999999}',
        400,
        "context_too_long",
    ),
    "nested too deep": (nested_body(40), 400, "json_too_deep"),
    "nested beyond the parser": (nested_body(100_000), 400, "json_too_deep"),
    "too large": ('"' + "x" * 5_000_000, 413, "body_too_large"),
}


@pytest.mark.parametrize("name", BAD_BODIES)
def test_bad_body_is_refused_and_not_run(shared_fleet, go, name):
    body, status, code = BAD_BODIES[name]

    async def post():
        before = await count_received(shared_fleet)
        url = f"{shared_fleet.url('entry-1')}/v1/completions"
        headers = {"Authorization": f"Bearer {fleet.demo_key('interpreters')}"}
        async with shared_fleet.session.post(
            url, data=body, headers=headers
        ) as response:
            return (
                response.status,
                await response.json(),
                await count_received(shared_fleet) - before,
            )

    response_status, value, run_count = go(post())
    assert (response_status, value["error"]["code"]) == (status, code)
    assert value["error"]["outcome"] == "not_run"
    assert run_count == 0
    assert go(is_healthy(shared_fleet))


def test_large_header_is_refused(shared_fleet, go):
    async def get():
        url = f"{shared_fleet.url('entry-1')}/v1/models"
        headers = {"X-Large": "x" * 20_000}
        async with shared_fleet.session.get(url, headers=headers) as response:
            return response.status

    assert 400 <= go(get()) < 500
    assert go(is_healthy(shared_fleet))


def test_endless_slow_body_is_refused(start_fleet, go):
    """A caller sends its body a byte at a time and never ends it.

    Without a time limit each such caller would occupy a connection and memory for
    ever. The entry has to refuse it after its own timeout.
    """
    running = start_fleet(
        entries=1,
        engines=1,
        store_hosts=0,
        services=0,
        settings={"limits": {"body_timeout": "300 ms"}},
    )

    async def endless():
        while True:
            yield b" "
            await asyncio.sleep(0.05)

    async def post():
        url = f"{running.url('entry-1')}/v1/completions"
        headers = {"Authorization": f"Bearer {fleet.demo_key('interpreters')}"}
        async with running.session.post(
            url, data=endless(), headers=headers
        ) as response:
            return response.status, await response.json()

    status, value = go(post())
    assert (status, value["error"]["code"]) == (408, "body_too_slow")
    assert go(is_healthy(running))


async def count_received(running):
    counts = [await running.counts(name) for name in running.names_of("engine")]
    return sum(count.get("received", 0) for count in counts)


async def is_healthy(running):
    async with running.session.get(f"{running.url('entry-1')}/healthz") as response:
        return response.status == 200
