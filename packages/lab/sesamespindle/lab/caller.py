"""An HTTP client for tests and load generation.

It returns refusals and broken connections as values, and it can resume a stream that
was interrupted.
"""

import dataclasses
import json
import time

import aiohttp

_DATA = "data: "
_ID = "id: "
_DONE = "data: [DONE]"


@dataclasses.dataclass(frozen=True)
class Reply:
    """An HTTP response.

    Attributes
    ----------
    status : int or None
        The HTTP status, or None if the connection broke before the response.
    value : dict
        The decoded JSON body.
    headers : dict
        The response headers.
    """

    status: int | None
    value: dict
    headers: dict

    @property
    def code(self):
        """Return the error code of a refusal, or an empty string."""
        return self.value.get("error", {}).get("code", "")

    @property
    def outcome(self):
        """Return the `outcome` field of a refusal, or an empty string.

        It says whether the refused request is known not to have run.
        """
        return self.value.get("error", {}).get("outcome", "")


@dataclasses.dataclass
class Streamed:
    """The part of a streamed answer that has been received so far.

    Attributes
    ----------
    tokens : list of str
        The tokens received, in order.
    position : str
        The id of the last event, from which the stream can be resumed.
    whole : bool
        Whether the end mark of the stream was received.
    refusal : Reply or None
        The error, if the request was refused or the stream ended with an error.
    usage : dict
        The token counts that the stream reported.
    first_token_seconds : float
        Seconds from sending the request to its first token; 0 if there was none.
    target : str
        The name of the target that answered.
    """

    tokens: list = dataclasses.field(default_factory=list)
    position: str = ""
    whole: bool = False
    refusal: Reply | None = None
    usage: dict = dataclasses.field(default_factory=dict)
    first_token_seconds: float = 0.0
    target: str = ""

    @property
    def text(self):
        """Return the text received so far."""
        return "".join(self.tokens)


class Caller:
    """A client that sends requests of one client account.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The session to send with; the caller of this class closes it.
    key : str
        The account's API key.
    """

    def __init__(self, session, key):
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}

    async def get(self, url):
        """Return the `Reply` to a GET."""
        return await self._request("GET", url, None, {})

    async def call(self, url, pool, path, body, key=""):
        """Return the `Reply` to a service call, with an idempotency key if given."""
        headers = {"Idempotency-Key": key} if key else {}
        address = f"{url}/v1/services/{pool}/{path}"
        return await self._request("POST", address, body, headers)

    async def ticket(self, url):
        """Return a new ticket."""
        reply = await self._request("POST", f"{url}/v1/tickets", None, {})
        return reply.value["ticket"]

    async def complete(self, url, model, prompt, max_tokens):
        """Return the `Reply` to a prompt that is not streamed."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        return await self._request("POST", f"{url}/v1/completions", body, {})

    async def stream(self, url, model, prompt, max_tokens, streamed=None, watch=None):
        """Stream the answer to a prompt, or resume it, and return it as `Streamed`.

        If the connection breaks, the part that was received is returned.

        Parameters
        ----------
        streamed : Streamed, optional
            The part already received. It is extended in place, and the stream
            resumes after its `position`. If None, a new stream is started.
        watch : callable, optional
            Awaited with the answer so far after each event that carries text.
        """
        is_resumed = streamed is not None
        streamed = streamed or Streamed()
        headers = dict(self._headers)
        if is_resumed:
            headers["Last-Event-ID"] = streamed.position
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        sent_at = time.monotonic()
        try:
            async with self._session.post(
                f"{url}/v1/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    streamed.refusal = await _reply(response)
                    return streamed
                streamed.target = response.headers.get("X-Sesamespindle-Target", "")
                async for line in response.content:
                    has_token = _apply_line(streamed, line.decode().rstrip(), sent_at)
                    if has_token and watch is not None:
                        await watch(streamed)
        except (TimeoutError, aiohttp.ClientError):
            return streamed
        return streamed

    async def _request(self, method, url, body, headers):
        try:
            async with self._session.request(
                method, url, json=body, headers=self._headers | headers
            ) as response:
                return await _reply(response)
        except (TimeoutError, aiohttp.ClientError):
            return Reply(None, {}, {})


async def _reply(response):
    return Reply(response.status, await response.json(), dict(response.headers))


def _apply_line(streamed, line, sent_at):
    """Apply one line of an event stream; return whether it carried a token."""
    if line.startswith(_ID):
        streamed.position = line[len(_ID) :]
    if line == _DONE:
        streamed.whole = True
        return False
    if not line.startswith(_DATA):
        return False
    value = json.loads(line[len(_DATA) :])
    if "error" in value:
        streamed.refusal = Reply(200, value, {})
        return False
    streamed.usage = value.get("usage") or streamed.usage
    texts = [choice["text"] for choice in value["choices"] if choice["text"]]
    streamed.tokens.extend(texts)
    if texts and not streamed.first_token_seconds:
        streamed.first_token_seconds = time.monotonic() - sent_at
    return bool(texts)
