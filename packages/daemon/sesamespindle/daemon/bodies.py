"""Reading and validation of request bodies, within limits of size, time and depth."""

import asyncio
import datetime
import json
import random
import typing

import aiohttp.web
import pydantic

from sesamespindle.daemon import callerprotocol, replies
from sesamespindle.wire import jsonvalues

DEFAULT_ANSWER_TOKENS = 256
# The shortest time after which a caller may come back that gave way to others.
_OVERLOADED_RETRY_AFTER = datetime.timedelta(seconds=1)


class _FirstFault(pydantic.FailFast):
    """Has the first faulty item of a list reported alone.

    Guards against a body of a million faulty values, each of which takes a kilobyte
    once it is described. Types in a union have to be hashable.
    """

    __hash__ = object.__hash__


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TextPart(_Body):
    """One part of the content of a chat message; only text is accepted."""

    type: typing.Literal["text"]
    text: str


class Message(_Body):
    """One message of a chat."""

    role: typing.Literal["system", "developer", "user", "assistant"]
    content: str | typing.Annotated[list[TextPart], _FirstFault()]
    name: str | None = None

    def text(self):
        """Return the content as one string."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(_Body):
    """Options of a streamed answer.

    Attributes
    ----------
    include_usage : bool
        Whether a chunk with the token usage ends the stream.
    include_obfuscation : bool
        Accepted for compatibility, but has no effect.
    """

    include_usage: bool = False
    include_obfuscation: bool = False


class _Completion(_Body):
    """Fields that chat and plain completions have in common."""

    model: str
    stream: bool = False
    stream_options: StreamOptions | None = None
    prompt_cache_key: str = ""
    user: str | None = None
    # How to sample is up to the engines. These values are validated, then ignored.
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | typing.Annotated[list[str], _FirstFault()] | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    n: typing.Literal[1] | None = None


class ChatBody(_Completion):
    """The body of a request for a chat completion."""

    messages: typing.Annotated[list[Message], _FirstFault()] = pydantic.Field(
        min_length=1
    )
    max_tokens: int | None = pydantic.Field(None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(None, ge=1)

    def prompt(self):
        """Return the messages as the text of one prompt.

        The prompt of the chat's next turn starts with this text, so the KV cache of
        this turn can be reused.
        """
        turns = [f"<|{item.role}|>{item.text()}<|end|>" for item in self.messages]
        return "".join(turns) + "<|assistant|>"

    def max_answer_tokens(self):
        """Return the most tokens that the answer may have."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_ANSWER_TOKENS


class TextBody(_Completion):
    """The body of a request for a plain completion."""

    prompt_text: str = pydantic.Field(alias="prompt")
    max_tokens: int = pydantic.Field(DEFAULT_ANSWER_TOKENS, ge=1)

    def prompt(self):
        """Return the text of the prompt."""
        return self.prompt_text

    def max_answer_tokens(self):
        """Return the most tokens that the answer may have."""
        return self.max_tokens


async def read(request, limits):
    """Return the raw body of a request.

    Guards against callers whose body is endless or very slow. Each would occupy a
    connection and memory without limit. The HTTP server bounds the size, this function
    the time, and the quota of all callers what is held.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    limits : sesamespindle.declare.settings.Limits
        The limits of bodies.

    Returns
    -------
    raw : bytes
        The body.

    Raises
    ------
    replies.CallerError
        If the body is too large, is not received in time, or gives way to others.
    """
    ends_at = asyncio.get_running_loop().time() + limits.body_timeout.total_seconds()
    try:
        async with callerprotocol.reading(request, ends_at):
            return await request.read()
    except callerprotocol.GaveWayError as error:
        raise replies.CallerError(
            503,
            error.code,
            "This entry holds all that it may for its callers.",
            _OVERLOADED_RETRY_AFTER * (1 + random.random()),
        ) from error
    except TimeoutError as error:
        raise replies.CallerError(
            408, "body_too_slow", "The body was not received within the time limit."
        ) from error
    except aiohttp.web.HTTPRequestEntityTooLarge as error:
        raise replies.CallerError(
            413, "body_too_large", f"The body exceeds {limits.body_bytes} bytes."
        ) from error


async def read_validated(request, limits, body_class):
    """Return the validated JSON body of a request.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    limits : sesamespindle.declare.settings.Limits
        The limits of bodies.
    body_class : type
        The class that validates the body, such as `ChatBody`.

    Returns
    -------
    body : pydantic.BaseModel
        An instance of the class.

    Raises
    ------
    replies.CallerError
        If the body can't be read or is invalid; it names the first invalid field.
    """
    value = _parse_object(await read(request, limits), limits)
    try:
        return body_class.model_validate(_with_few_faults(value, body_class))
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise replies.CallerError(
            400,
            "invalid_request",
            f"{field}: {first_error['msg']}.",
            param=field or None,
        ) from error


def _with_few_faults(value, body_class):
    """Return the object of a body with one unknown field of each object at most.

    Guards, as `_FirstFault` does, against a fault for each of very many fields.
    """
    value = _with_few_fields(value, body_class)
    messages = value.get("messages")
    if isinstance(messages, list):
        trimmed = [_with_few_fields(item, Message) for item in messages]
        value = value | {"messages": trimmed}
    return value


def _with_few_fields(value, model_class):
    names = {field.alias or name for name, field in model_class.model_fields.items()}
    if not isinstance(value, dict) or len(value) <= len(names) + 1:
        return value
    unknown = next(name for name in value if name not in names)
    known = {name: value[name] for name in value if name in names}
    return known | {unknown: value[unknown]}


def _parse_object(raw, limits):
    try:
        value = json.loads(raw)
    except RecursionError as error:
        raise _too_deep_error(limits) from error
    except ValueError as error:
        raise replies.CallerError(
            400, "invalid_json", f"The body is not JSON: {error}."
        ) from error
    if not isinstance(value, dict):
        raise replies.CallerError(400, "invalid_json", "The body is not a JSON object.")
    if jsonvalues.is_nested_deeper(value, limits.json_depth):
        raise _too_deep_error(limits)
    return value


def _too_deep_error(limits):
    message = f"The body is nested more than {limits.json_depth} levels deep."
    return replies.CallerError(400, "json_too_deep", message)
