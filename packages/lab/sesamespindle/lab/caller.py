"""A caller as tests and loads need it: every answer, and streams read on."""

import dataclasses
import json
import time

import aiohttp

_DATA = "data: "
_ID = "id: "
_DONE = "data: [DONE]"


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole answer, or None as the status where the connection broke."""

    status: int | None
    value: dict
    headers: dict

    @property
    def code(self):
        """Return our code of a refusal, or an empty string."""
        return self.value.get("error", {}).get("code", "")

    @property
    def outcome(self):
        """Return what a refused caller may rely on, or an empty string."""
        return self.value.get("error", {}).get("outcome", "")


@dataclasses.dataclass
class Streamed:
    """A streamed answer as far as it came.

    Attributes
    ----------
    position : str
        The id of the last event.
    whole : bool
        Whether the end mark came.
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
        """Return the answer."""
        return "".join(self.tokens)


class Caller:
    """One client account's caller.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by somebody else.
    key : str
        The account's key.
    """

    def __init__(self, session, key):
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}

    async def get(self, url):
        """Return the `Reply` to a GET."""
        return await self._request("GET", url, None, {})

    async def call(self, url, pool, path, body, key=""):
        """Return the `Reply` to a call of a plain service."""
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
        """Stream a prompt's answer, or read one on, and return it as `Streamed`.

        Parameters
        ----------
        streamed : Streamed, optional
            What came so far, to be read on.
        watch : callable, optional
            Awaited with the answer so far after each token.
        """
        resumes = streamed is not None
        streamed = streamed or Streamed()
        headers = dict(self._headers)
        if resumes:
            headers["Last-Event-ID"] = streamed.position
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        begun = time.monotonic()
        try:
            async with self._session.post(
                f"{url}/v1/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    streamed.refusal = await _reply(response)
                    return streamed
                streamed.target = response.headers.get("X-Sesamespindle-Target", "")
                async for line in response.content:
                    taken = _take_line(streamed, line.decode().rstrip(), begun)
                    if taken and watch is not None:
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


def _take_line(streamed, line, begun):
    """Take a line of a stream in; return whether it brought a token."""
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
        streamed.first_token_seconds = time.monotonic() - begun
    return bool(texts)
