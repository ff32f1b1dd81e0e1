"""Callers' request bodies: read within limits, then checked."""

import asyncio
import json
import typing

import aiohttp.web
import pydantic

from sesamespindle.daemon import replies

DEFAULT_ANSWER_TOKENS = 256


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TextPart(_Body):
    """A part of a message's content."""

    type: typing.Literal["text"]
    text: str


class Message(_Body):
    """One message of a chat."""

    role: typing.Literal["system", "developer", "user", "assistant"]
    content: str | list[TextPart]
    name: str | None = None

    def text(self):
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(_Body):
    """What a stream carries besides the answer."""

    include_usage: bool = False
    include_obfuscation: bool = False


class _Completion(_Body):
    model: str
    stream: bool = False
    stream_options: StreamOptions | None = None
    prompt_cache_key: str = ""
    user: str | None = None
    # Sampling is the engines' matter; the values are checked and passed over.
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    n: typing.Literal[1] | None = None


class ChatBody(_Completion):
    """The body of a chat completion."""

    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(None, ge=1)

    def prompt(self):
        """Return the messages as one text; a longer chat begins with it."""
        turns = [f"<|{item.role}|>{item.text()}<|end|>" for item in self.messages]
        return "".join(turns) + "<|assistant|>"

    def answer_tokens(self):
        """Return the most tokens that the answer may have."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_ANSWER_TOKENS


class TextBody(_Completion):
    """The body of a plain completion."""

    prompt_text: str = pydantic.Field(alias="prompt")
    max_tokens: int = pydantic.Field(DEFAULT_ANSWER_TOKENS, ge=1)

    def prompt(self):
        """Return the prompt."""
        return self.prompt_text

    def answer_tokens(self):
        """Return the most tokens that the answer may have."""
        return self.max_tokens


async def read(request, limits):
    """Return the raw body of a request.

    Guards against callers that send without end or too slowly, which would
    hold memory and connections: the size is bounded by the server, the time
    here.

    Raises
    ------
    replies.CallerError
        If the body is too large or too slow.
    """
    try:
        async with asyncio.timeout(limits.body_timeout.total_seconds()):
            return await request.read()
    except TimeoutError as error:
        raise replies.CallerError(
            408, "body_too_slow", "The body did not come in time."
        ) from error
    except aiohttp.web.HTTPRequestEntityTooLarge as error:
        raise replies.CallerError(
            413, "body_too_large", f"A body may have {limits.body_bytes} bytes."
        ) from error


async def read_model(request, limits, model):
    """Return the checked model of a request's JSON body.

    Raises
    ------
    replies.CallerError
        With the first thing that is wrong and where.
    """
    value = _parse(await read(request, limits), limits)
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise replies.CallerError(
            400, "invalid_request", f"{where}: {first['msg']}.", param=where or None
        ) from error


def _parse(raw, limits):
    try:
        value = json.loads(raw)
    except RecursionError as error:
        raise _too_deep(limits) from error
    except ValueError as error:
        raise replies.CallerError(
            400, "invalid_json", f"The body is not JSON: {error}."
        ) from error
    if not isinstance(value, dict):
        raise replies.CallerError(400, "invalid_json", "The body is not an object.")
    if _is_deeper(value, limits.json_depth):
        raise _too_deep(limits)
    return value


def _is_deeper(value, depth):
    level = [value]
    for _ in range(depth):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return False
    return True


def _too_deep(limits):
    message = f"The body is nested over {limits.json_depth} levels."
    return replies.CallerError(400, "json_too_deep", message)
