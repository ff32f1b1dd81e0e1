"""The HTTP API for callers: prompts, calls to plain services, and tickets."""

import asyncio
import dataclasses
import datetime
import secrets

import aiohttp.web

from sesamespindle.daemon import (
    arrivals,
    bodies,
    logs,
    prompt_runner,
    replies,
    sinks,
    tokens,
)
from sesamespindle.decide import commands, events, fingerprints, hashing
from sesamespindle.wire import service

_log = logs.part("front")
_MAX_KEY_LENGTH = 2048
# How long a streamed answer goes on after its caller's connection broke, so that the
# caller can resume it at another entry.
_RESUME_GRACE_SECONDS = 3.0
_REPLAYED_HEADER = "Idempotent-Replayed"


class Front:
    """Handles callers' HTTP requests.

    Parameters
    ----------
    parts : sesamespindle.daemon.assembly.Parts
        The components of the daemon.
    """

    def __init__(self, parts):
        self._parts = parts
        self._settings = parts.settings
        self._driver = parts.driver
        self._detached_runs = set()

    def application(self):
        """Return the aiohttp application with all routes and limits."""
        limits = self._settings.limits
        application = aiohttp.web.Application(
            client_max_size=limits.body_bytes,
            middlewares=[self._count_in_flight, self._answer_errors],
        )
        route = application.router
        route.add_get("/healthz", self._healthz)
        route.add_get("/readyz", self._readyz)
        route.add_get("/v1/entries", self._entries)
        route.add_get("/v1/models", self._models)
        route.add_get("/v1/models/{model}", self._model)
        route.add_post("/v1/chat/completions", self._chat)
        route.add_post("/v1/completions", self._completion)
        route.add_post("/v1/tickets", self._ticket)
        route.add_get("/v1/services/{pool}/{path:.*}", self._service_call)
        route.add_post("/v1/services/{pool}/{path:.*}", self._service_call)
        return application

    @aiohttp.web.middleware
    async def _count_in_flight(self, request, handler):
        """Count a request as in flight until its handler returns.

        Guards against a leaving daemon that waits only for the requests that it
        runs itself, and so cuts off a call that it forwarded to another entry, or
        a request whose body it still receives. This counter includes both.
        """
        self._parts.requests_in_flight += 1
        try:
            return await handler(request)
        finally:
            self._parts.requests_in_flight -= 1

    @aiohttp.web.middleware
    async def _answer_errors(self, request, handler):
        """Convert every error into a response in the format of the OpenAI API.

        A leaving daemon also closes the connection after each response whose headers
        have not been sent yet.
        """
        try:
            response = await handler(request)
        except replies.CallerError as error:
            self._parts.metrics.refused(error.code)
            response = error.to_response()
        except aiohttp.web.HTTPException as error:
            code = "method_not_allowed" if error.status == 405 else "not_found"
            response = replies.CallerError(
                error.status, code, f"{request.method} {request.path}: {error.reason}."
            ).to_response()
        except ConnectionError:
            # The caller has disconnected, so no response can be sent.
            raise
        except Exception:
            _log.exception("A request failed with an unexpected error.")
            response = replies.CallerError(
                500,
                "internal",
                "The entry failed with an unexpected error.",
                outcome=commands.Outcome.UNKNOWN,
            ).to_response()
        if self._parts.leaving and not response.prepared:
            response.force_close()
        return response

    async def _healthz(self, request):
        return aiohttp.web.json_response({"status": "ok"})

    async def _readyz(self, request):
        ready = self._parts.declarations.known.is_set() and not self._parts.leaving
        return aiohttp.web.json_response(
            {
                "ready": ready,
                "leaving": self._parts.leaving,
                "revision": self._driver.core.state.revision,
            },
            status=200 if ready else 503,
        )

    async def _entries(self, request):
        """Return the entries that the account should connect to, for some time."""
        account = self._authenticate(request)
        keep_seconds = self._settings.entries_kept_for.total_seconds()
        chosen = self._driver.core.choose_entries(
            account, self._settings.entries_per_account
        )
        return aiohttp.web.json_response(
            {
                "entries": [
                    {
                        "name": entry.name,
                        "url": entry.url,
                        "data_centre": entry.data_centre,
                    }
                    for entry in chosen
                ],
                "keep_seconds": keep_seconds,
            }
        )

    async def _models(self, request):
        account = self._authenticate(request)
        models = self._driver.core.models_of(account)
        return aiohttp.web.json_response(
            {"object": "list", "data": [_model_object(model) for model in models]}
        )

    async def _model(self, request):
        account = self._authenticate(request)
        name = request.match_info["model"]
        for model in self._driver.core.models_of(account):
            if model.name == name:
                return aiohttp.web.json_response(_model_object(model))
        raise replies.CallerError(
            404, commands.Code.UNKNOWN_MODEL, f"There is no model {name!r}."
        )

    async def _chat(self, request):
        return await self._answer_prompt(request, bodies.ChatBody, is_chat=True)

    async def _completion(self, request):
        return await self._answer_prompt(request, bodies.TextBody, is_chat=False)

    async def _answer_prompt(self, request, body_class, is_chat):
        """Answer a prompt, streamed or in one piece.

        Parameters
        ----------
        body_class : type
            The class that validates the body.
        is_chat : bool
            Whether it is a chat completion, rather than a plain completion.
        """
        account = self._authenticate(request)
        body = await bodies.read_validated(request, self._settings.limits, body_class)
        prompt, token = self._prompt_request(request, account, body)
        prompt = dataclasses.replace(prompt, content=await _content_digest(request))
        answer_id = token.answer_id if token else f"cmpl-{prompt.request_id}"
        formatter = replies.AnswerFormatter(
            is_chat, answer_id, body.model, int(self._driver.clock.now().timestamp())
        )
        if token and not body.stream:
            raise replies.CallerError(
                400, "invalid_request", "Only a streamed answer can be resumed."
            )
        sink = sinks.StreamSink(self, request, prompt, formatter, answer_id)
        if not body.stream:
            sink = sinks.NonStreamingSink(self, prompt)
        run = await self._run_prompt(prompt, body, token, sink)
        token_usage = replies.usage(prompt.prompt_tokens, run.delivered, run.started)
        if not body.stream:
            value = formatter.complete_answer(run.text, run.finish_reason, token_usage)
            headers = {"X-Sesamespindle-Target": sink.target}
            return aiohttp.web.json_response(value, headers=headers)
        wants_usage = body.stream_options and body.stream_options.include_usage
        return await sink.finish(run, token_usage if wants_usage else None)

    def _prompt_request(self, request, account, body):
        """Return the prompt, and the token of the stream that it resumes.

        Returns
        -------
        prompt : prompt_runner.PromptRequest
            The prompt.
        token : tokens.StreamToken or None
            From the Last-Event-ID; None for a new answer.

        Raises
        ------
        replies.CallerError
            If the Last-Event-ID is not a position in a stream of this account and
            model.
        """
        text = body.prompt()
        prompt = prompt_runner.PromptRequest(
            self._new_request_id(),
            account,
            body.model,
            text,
            hashing.token_count(text),
            body.max_answer_tokens(),
            self._driver.clock.now() + self._settings.policy.prompt_timeout,
        )
        position = request.headers.get("Last-Event-ID", "")
        if not position:
            return prompt, None
        try:
            token, delivered = self._parts.signer.read_position(position, account)
        except tokens.BadTokenError as error:
            raise _unknown_stream_error() from error
        if token.model != body.model:
            raise _unknown_stream_error()
        resumed = dataclasses.replace(
            prompt, resume_stream=token.stream, delivered=delivered
        )
        return resumed, token

    async def _run_prompt(self, prompt, body, token, sink):
        """Run a prompt and return its `prompt_runner.PromptRun`.

        Raises
        ------
        replies.CallerError
            If it failed before any of the answer was sent; later failures are
            written to the stream.
        """
        exchange = self._driver.open(prompt.request_id)
        run = prompt_runner.PromptRun(
            self._driver, self._parts.engines, exchange, prompt, sink
        )
        resume = None
        if token is not None:
            resume = events.StreamPosition(
                token.target, token.version, prompt.delivered
            )
        try:
            self._driver.feed(
                events.PromptArrived(
                    prompt.request_id,
                    prompt.account,
                    prompt.model,
                    prompt.prompt,
                    prompt.prompt_tokens,
                    prompt.answer_tokens,
                    prompt.deadline,
                    body.prompt_cache_key,
                    resume,
                    prompt.content,
                )
            )
            await run.run()
        except replies.CallerError as error:
            self._end_run(prompt.request_id)
            if not sink.prepared:
                raise
            await sink.finish_with_error(error)
            return run
        except (asyncio.CancelledError, ConnectionError):
            self._detach_run(prompt, run, can_resume=sink.prepared)
            raise
        self._end_run(prompt.request_id)
        return run

    def _end_run(self, request_id):
        self._driver.close(request_id)
        self._driver.feed(events.CallerLeft(request_id))

    def _detach_run(self, prompt, run, can_resume):
        """Cancel a prompt whose caller has disconnected, after a grace time.

        Within the grace time the caller can resume the stream at another entry.
        The prompt keeps its slot of the account's limit until the engine has
        stopped it, so that engines never run more streams of the account than its
        contract allows.
        """
        self._driver.close(prompt.request_id)
        grace = _RESUME_GRACE_SECONDS if can_resume else 0.0
        task = asyncio.create_task(self._cancel_later(prompt.request_id, run, grace))
        self._detached_runs.add(task)
        task.add_done_callback(self._detached_runs.discard)

    async def _cancel_later(self, request_id, run, grace):
        await asyncio.sleep(grace)
        await run.cancel()
        self._driver.feed(events.CallerLeft(request_id))

    async def _ticket(self, request):
        account = self._authenticate(request)
        await bodies.read(request, self._settings.limits)
        if self._parts.leaving:
            raise replies.CallerError(
                503,
                commands.Code.SHUTTING_DOWN,
                "The entry is leaving and issues no more tickets.",
                self._settings.policy.retry_after,
            )
        expires_at = self._driver.clock.now() + self._settings.ticket_lifetime
        ticket = self._parts.signer.mint_ticket(
            account, self._driver.core.state.me, expires_at
        )
        return aiohttp.web.json_response(
            {
                "ticket": ticket,
                "expires_at": expires_at.isoformat(),
                "entry": self._driver.core.state.me.name,
            },
            status=201,
        )

    async def _service_call(self, request):
        """Call a plain service for the caller and return its answer."""
        account = self._authenticate(request)
        raw = await bodies.read(request, self._settings.limits)
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > _MAX_KEY_LENGTH:
            raise replies.CallerError(
                400, "invalid_request", "The Idempotency-Key is too long."
            )
        pool = request.match_info["pool"]
        path = request.match_info["path"]
        if request.query_string:
            path = f"{path}?{request.query_string}"
        call = service.ServiceRequest(
            request.method,
            path,
            request.content_type,
            raw,
            self._new_request_id(),
            key,
        )
        reply = await self._make_call(account, pool, call)
        headers = {_REPLAYED_HEADER: "true"} if reply.replayed else {}
        return aiohttp.web.Response(
            status=reply.answer.status,
            body=reply.answer.body,
            content_type=reply.answer.content_type,
            headers=headers,
        )

    async def _make_call(self, account, pool, call):
        """Make a call, which may be keyed by the caller, by a ticket or not at all."""
        if not call.key.startswith(tokens.TICKET_PREFIX):
            kind = events.KeyKind.CALLER if call.key else events.KeyKind.NONE
            arrival = self._arrival(account, pool, call, kind)
            return await self._parts.calls.run(arrival, call)
        return await self._parts.tickets.call(account, pool, call)

    def _arrival(self, account, pool, call, kind):
        return arrivals.call_arrival(
            self._driver, account, pool, call, kind, self._settings.policy.call_timeout
        )

    def _authenticate(self, request):
        """Return the account of a request's API key.

        Raises
        ------
        replies.CallerError
            If the key is missing or unknown.
        """
        account = self._parts.keyring.account_of(
            request.headers.get("Authorization", "")
        )
        if account is None:
            raise replies.CallerError(401, "invalid_api_key", "The API key is unknown.")
        return account

    def _new_request_id(self):
        return f"{self._settings.name}-{secrets.token_hex(6)}"

    def record_first_token(self, prompt, started, seconds):
        """Record the time to first token of a prompt.

        Parameters
        ----------
        prompt : prompt_runner.PromptRequest
            The prompt.
        started : sesamespindle.wire.engine.Started or None
            What the engine reported at the start; None records no metric.
        seconds : float
            Seconds since the prompt arrived.
        """
        self._driver.event_log.add(
            "first_token", prompt.request_id, f"after {seconds * 1000:.0f} ms"
        )
        if started is not None:
            self._parts.metrics.first_token(prompt.account, seconds * 1000, started)

    @property
    def leaving(self):
        """Whether this entry is leaving."""
        return self._parts.leaving

    @property
    def signer(self):
        """The `tokens.Signer` for positions in streams."""
        return self._parts.signer

    @property
    def clock(self):
        """The `sesamespindle.wire.clock.Clock` of the daemon."""
        return self._driver.clock


async def _content_digest(request):
    """Return the digest by which the same request is recognised when it comes again.

    It covers method, path and body.
    """
    path = request.raw_path.encode("utf-8", "surrogateescape")
    return fingerprints.of_content(request.method.encode(), path, await request.read())


def _unknown_stream_error():
    return replies.CallerError(
        404, "unknown_stream", "The Last-Event-ID identifies no known stream."
    )


def _model_object(model):
    """Return a model in the format of the OpenAI API."""
    return {
        "id": model.name,
        "object": "model",
        "created": int(datetime.datetime(2026, 1, 1).timestamp()),
        "owned_by": "sesamespindle",
    }
