"""Sending a prompt or a call as a caller does.

A caller first asks any entry which entries its account should use, then sends its
requests to one of these.
"""

import dataclasses
import json
import time

import aiohttp

from sesamespindle.cli import outcomes
from sesamespindle.wire import answers

_DATA_PREFIX = "data: "
_ID_PREFIX = "id: "
_LAST_LINE = "data: [DONE]"
_SUCCESSES = range(200, 300)


@dataclasses.dataclass
class Sent:
    """A prompt that was sent, and its answer.

    Attributes
    ----------
    entry : str
        The name of the entry that it was sent to.
    target : str
        The target that answered.
    text : str
        The text of the answer.
    first_token_seconds : float
        The time to the first token, in seconds; 0 if none arrived.
    usage : dict
        The token counts that the answer reports.
    """

    entry: str
    target: str = ""
    text: str = ""
    first_token_seconds: float = 0.0
    usage: dict = dataclasses.field(default_factory=dict)
    outcome: str = "answered"


async def choose_entry(session, urls, api_key):
    """Return the entry to use, as JSON values.

    The given URLs are tried in turn. The first one that answers names the entries for
    this account, of which the first is returned.

    Raises
    ------
    outcomes.CommandError
        If no URL answers, or the entry refuses the request.
    """
    reasons = []
    for url in urls:
        try:
            value = await list_entries(session, url, api_key)
        except aiohttp.ClientError as error:
            reasons.append(f"{url}: {error}")
            continue
        return value["entries"][0]
    raise outcomes.CommandError(
        " ".join(["No entry is reachable.", *reasons]), outcomes.Exit.AWAY
    )


async def list_entries(session, url, api_key):
    """Return the answer to which entries an account should use, as JSON values.

    Raises
    ------
    outcomes.CommandError
        If the entry refuses the request.
    aiohttp.ClientError
        If it gives no whole answer.
    """
    async with session.get(f"{url}/v1/entries", headers=_headers(api_key)) as response:
        value = await answers.read_json(response)
        if response.status != 200:
            raise _refusal_error(value, response.status)
        return value


async def send_prompt(session, entry, api_key, model, prompt, max_tokens):
    """Send one prompt, read its streamed answer and return both as `Sent`.

    Raises
    ------
    outcomes.CommandError
        If the prompt is refused, or its answer ends with an error.
    aiohttp.ClientPayloadError
        If its answer isn't whole.
    """
    sent = Sent(entry["name"])
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    sent_at = time.monotonic()
    async with session.post(
        f"{entry['url']}/v1/chat/completions", json=body, headers=_headers(api_key)
    ) as response:
        if response.status != 200:
            raise _refusal_error(await answers.read_json(response), response.status)
        sent.target = response.headers.get("X-Sesamespindle-Target", "")
        async for line in answers.lines(response):
            text = line.decode().strip()
            if text == _LAST_LINE:
                return sent
            _add_line(sent, text, sent_at)
    raise answers.BrokenAnswerError("The answer ended before its last line.")


async def send_call(session, entry, api_key, pool, path, body, key):
    """Make one call to a plain service.

    Parameters
    ----------
    key : str
        The idempotency key; empty for none.

    Returns
    -------
    value : object
        The answer as JSON values.
    replayed : bool
        Whether this is the stored answer of an earlier call with the same key.

    Raises
    ------
    outcomes.CommandError
        If the call is refused.
    """
    headers = _headers(api_key)
    if key:
        headers["Idempotency-Key"] = key
    async with session.post(
        f"{entry['url']}/v1/services/{pool}/{path}", json=body, headers=headers
    ) as response:
        value = await answers.read_json(response)
        if response.status not in _SUCCESSES or "error" in value:
            raise _refusal_error(value, response.status)
        return value, response.headers.get("Idempotent-Replayed") == "true"


async def mint_ticket(session, entry, api_key):
    """Return a new ticket from an entry.

    Raises
    ------
    outcomes.CommandError
        If the entry refuses the request.
    """
    async with session.post(
        f"{entry['url']}/v1/tickets", headers=_headers(api_key)
    ) as response:
        value = await answers.read_json(response)
        if response.status != 201:
            raise _refusal_error(value, response.status)
        return value["ticket"]


def _add_line(sent, line, sent_at):
    if not line.startswith(_DATA_PREFIX):
        return
    value = json.loads(line[len(_DATA_PREFIX) :])
    if "error" in value:
        raise _refusal_error(value, 200)
    sent.usage = value.get("usage") or sent.usage
    for choice in value["choices"]:
        text = choice["delta"].get("content")
        if text and not sent.first_token_seconds:
            sent.first_token_seconds = time.monotonic() - sent_at
        sent.text += text or ""


def _refusal_error(value, status):
    """Return the error for an answer that is no success.

    Parameters
    ----------
    value : object
        The answer's JSON values.
    status : int
        Its HTTP status, which is all that is told if an entry didn't make the answer.
    """
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        return outcomes.CommandError(
            f"No success: HTTP status {status}.", outcomes.Exit.REFUSED
        )
    message = f"{error['code']} ({error['outcome']}): {error['message']}"
    if error["retry_after"]:
        message += f" Retry after {error['retry_after']} s."
    return outcomes.CommandError(message, outcomes.Exit.REFUSED)


def _headers(api_key):
    return {"Authorization": f"Bearer {api_key}"}
