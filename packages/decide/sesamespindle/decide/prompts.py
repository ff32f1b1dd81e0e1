"""Prompts from arrival to final answer: admission, queueing, sending, recovery."""

import dataclasses
import datetime

from sesamespindle.decide import (
    catalogue,
    commands,
    contexts,
    events,
    hashing,
    incarnations,
    refusals,
    retries,
    routing,
    tables,
    world,
)

_NO_DELAY = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class PromptRow:
    """A prompt that is queued or runs.

    Attributes
    ----------
    ids : tuple of str
        The ids of its KV cache blocks. Each id depends on all text up to the end of its
        block.
    affinity_key : str
        What rendezvous hashing ranks the engines by: the account and the context.
    attempt : int
        The number of the last attempt, counting starts and resumes.
    starts : int
        Attempts that started the generation anew.
    resumes : int
        Attempts to reconnect to the stream since the last start.
    version : str
        The weight version that generated its first token; empty before that.
    resume_target : str
        The target of a stream that another entry began; empty for a prompt that was
        begun here. Text that the other entry delivered isn't known here.
    delivered : int
        Tokens that the caller already has.
    """

    request_id: str
    account: str
    model: str
    pool: str
    ids: tuple[str, ...]
    affinity_key: str
    tokens: int
    arrived_at: datetime.datetime
    deadline: datetime.datetime
    started_at: datetime.datetime | None = None
    attempt: int = 0
    starts: int = 0
    resumes: int = 0
    target: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    resume_target: str = ""
    delivered: int = 0
    version: str = ""
    fingerprint: str = ""
    # The target incarnation that the prompt was last sent to, and when.
    incarnation: incarnations.TargetIncarnation | None = None
    sent_at: datetime.datetime | None = None


class Prompts:
    """Decides where and when each prompt runs, and how it recovers from failures.

    Parameters
    ----------
    state : world.World
        The shared tables.
    admission : admission.Admission
        The prompt slots and the queue of each account.
    crashes : crashes.Crashes
        Receives how attempts end, to detect crashes of targets.
    quarantine : quarantine.Quarantine
        Which prompts are suspected of crashing targets.
    fingerprints : fingerprints.Fingerprints
        Computes the fingerprints of prompts.
    """

    def __init__(self, state, admission, crashes, quarantine, fingerprints):
        self._state = state
        self._admission = admission
        self._crashes = crashes
        self._quarantine = quarantine
        self._fingerprints = fingerprints
        self.rows: tables.Table[PromptRow] = tables.Table("request_id")
        self.contexts = contexts.Contexts()

    def arrive(self, event, now):
        """Queue a new prompt, or refuse it at once.

        Parameters
        ----------
        event : events.PromptArrived
            The prompt.
        now : datetime.datetime
            The current time.
        """
        state = self._state
        model = state.models.get(event.model)
        account = state.accounts.get(event.account)
        if account is None or model is None or not may_use(account, model):
            refusals.refuse_unrun(
                self._state,
                event.request_id,
                commands.Code.UNKNOWN_MODEL,
                f"There is no model {event.model!r}.",
            )
            return
        if event.tokens + event.answer_tokens > model.context_tokens:
            refusals.refuse_unrun(
                self._state,
                event.request_id,
                commands.Code.CONTEXT_TOO_LONG,
                f"The model's context holds {model.context_tokens} tokens, "
                "prompt and answer together.",
            )
            return
        fingerprint = self._fingerprints.of(event.account, event.content)
        refusal = self._quarantine.refusal((fingerprint,), now)
        if refusal is not None:
            refusals.refuse_quarantined(state, event.request_id, refusal)
            return
        if state.departure is not None and state.departure.is_over:
            # Until its departure is over, a leaving host accepts prompts of any
            # duration: one that is cut off can be resumed or sent again at another
            # entry.
            refusals.refuse_leaving(state, event.request_id)
            return
        wait = self._admission.expected_wait(account, now)
        if wait > state.policy.queue_patience:
            refusals.refuse_unrun(
                self._state,
                event.request_id,
                commands.Code.CONCURRENCY,
                "The account already runs as many prompts as its contract allows.",
                wait,
            )
            return
        self.rows.add(_new_row(event, model, fingerprint, now))
        self._admission.push(event.account, event.request_id, now)
        self.drain(now)

    def drain(self, now):
        """Start queued prompts while their accounts have free slots."""
        while True:
            request_id = self._admission.take(now)
            if request_id is None:
                return
            self._start(self.rows.get(request_id), now)

    def tick(self, now):
        """Refuse prompts that were queued too long, and start others if possible."""
        for row in [row for row in self.rows if row.started_at is None]:
            waited_too_long = now - row.arrived_at > self._state.policy.queue_patience
            if waited_too_long or now >= row.deadline:
                self._remove(row, now)
                refusals.refuse_unrun(
                    self._state,
                    row.request_id,
                    commands.Code.CONCURRENCY,
                    "No slot of the account's limit became free in time.",
                    self._state.policy.retry_after,
                )
        self.drain(now)

    def first_token(self, event, now):
        """Record that an answer has begun.

        Its target now holds the KV cache of the prompt, and its weight version
        becomes that of the whole answer.
        """
        row = self.rows.get(event.request_id)
        if row is None:
            return
        target = self._state.targets.get(row.target)
        if target is not None:
            target.sent_by_request.pop(row.request_id, None)
            row.version = row.version or target.version
            catalogue.note_success(target)
        if row.sent_at is not None:
            self._crashes.record_answer(row.incarnation, row.sent_at)
        self.contexts.learn(row.ids, row.target, now)

    def end_attempt(self, event, now):
        """Finish, resume, restart or refuse a prompt after an attempt has ended.

        Parameters
        ----------
        event : events.AttemptEnded
            How the attempt ended; ignored if it isn't the prompt's last attempt.
        now : datetime.datetime
            The current time.
        """
        row = self.rows.get(event.request_id)
        if row is None or row.attempt != event.attempt:
            return
        row.delivered = event.delivered
        self._report_to_crashes(row, event.ending, now)
        target = self._state.targets.get(row.target)
        match event.ending:
            case events.Ending.COMPLETED:
                if target is not None:
                    catalogue.note_success(target)
                self._remove(row, now)
                self.drain(now)
            case events.Ending.NOT_SENT:
                self._note_failure(target, now)
                self._start_elsewhere(row, now)
            case events.Ending.REFUSED:
                self._start_elsewhere(row, now, event.retry_after)
            case events.Ending.LINK_LOST:
                row.may_have_run = True
                self._resume(row, target, now)
            case events.Ending.STREAM_GONE:
                row.may_have_run = True
                self._note_failure(target, now)
                self._start_elsewhere(row, now)
            case events.Ending.TIMED_OUT:
                row.may_have_run = True
                self._give_up(
                    row, commands.Code.DEADLINE, "The deadline has passed.", now
                )

    def _report_to_crashes(self, row, ending, now):
        """Report what an attempt's end shows about whether its target has crashed."""
        if row.sent_at is None:
            return
        match ending:
            case events.Ending.COMPLETED:
                self._quarantine.record_success(row.fingerprint, now)
            case events.Ending.REFUSED:
                self._crashes.record_answer(row.incarnation, row.sent_at)
            case events.Ending.LINK_LOST:
                self._crashes.record_broken_run(
                    row.fingerprint, row.incarnation, row.sent_at, now
                )
            case events.Ending.TIMED_OUT:
                self._crashes.record_abandoned_run(
                    row.fingerprint, row.incarnation, now
                )

    def leave(self, request_id, now):
        """Remove a prompt whose caller has left or has its answer."""
        row = self.rows.get(request_id)
        if row is not None:
            if row.sent_at is not None:
                self._crashes.record_abandoned_run(
                    row.fingerprint, row.incarnation, now
                )
            self._remove(row, now)
            self.drain(now)

    def _start(self, row, now):
        """Start a prompt that has a slot."""
        state = self._state
        account = state.accounts.get(row.account)
        if account is None:
            self._remove(row, now)
            refusals.refuse_unrun(
                self._state,
                row.request_id,
                commands.Code.UNKNOWN_MODEL,
                "The contract has ended.",
            )
            return
        row.started_at = now
        self._admission.begin(account)
        if row.resume_target:
            self._take_over(row, now)
            return
        state.budget_by_pool[row.pool].earn()
        self._send(row, now)

    def _take_over(self, row, now):
        """Resume a stream that another entry began."""
        target = self._state.targets.get(row.resume_target)
        if target is None or not target.url:
            self._refuse_taken_over(row, now)
            return
        row.target = target.name
        target.running_here += 1
        self._resume(row, target, now)

    def _refuse_taken_over(self, row, now):
        """Refuse to continue an answer that another entry began.

        Guards against an answer of two different generations: the text delivered so
        far isn't known here, so no target can be asked to continue it, and the rest
        of a new generation would not fit.
        """
        self._give_up(
            row,
            commands.Code.STREAM_LOST,
            "The stream is gone. Send the prompt again for a whole answer.",
            now,
        )

    def _send(self, row, now, retry_after=None):
        """Send a prompt to a target, or refuse it if none can start it in time."""
        state = self._state

        def permitted_targets(targets):
            return self._quarantine.permitted_targets((row.fingerprint,), targets, now)

        place = routing.choose(
            state, row, self.contexts, now, row.tried, permitted_targets
        )
        if place is None:
            self._give_up(
                row,
                commands.Code.NO_TARGET,
                "No target of the pool can accept the prompt now.",
                now,
                retry_after,
            )
            return
        timeout = state.policy.first_token_patience.total_seconds()
        if place.expected_seconds > timeout:
            self._give_up(
                row,
                commands.Code.OVERLOADED,
                "The pool has too much queued work to start the prompt in time.",
                now,
                datetime.timedelta(seconds=place.expected_seconds / 2),
            )
            return
        self._send_to(row, place, now)

    def _send_to(self, row, place, now):
        target = place.target
        self._release_target(row)
        row.attempt += 1
        row.starts += 1
        row.resumes = 0
        row.target = target.name
        row.tried.add(target.name)
        row.incarnation, row.sent_at = self._crashes.incarnation_of(target), now
        target.running_here += 1
        target.sent_by_request[row.request_id] = world.SentWork(
            now, row.tokens - place.reused_tokens
        )
        account = self._state.accounts.get(row.account)
        version = self._required_version(row, target)
        salt = hashing.salt(row.account, row.model, version)
        self._state.emit(
            commands.SendPrompt(
                row.request_id,
                row.attempt,
                target.name,
                target.url,
                account.contract.priority if account else 1,
                salt.hex(),
                version,
                self._nearest_store_url(target, now),
            )
        )

    def _required_version(self, row, target):
        """Return the weight version that a prompt requires of a target.

        Guards against KV cache of one weight version being used with another while
        weights change, which would give wrong answers. The salt of the blocks
        includes the version that the target last reported, and a target refuses
        the prompt if it runs another version by then. A continued answer keeps the
        version that it began on.
        """
        model = self._state.models.get(row.model)
        return row.version or target.version or (model.version if model else "")

    def _nearest_store_url(self, target, now):
        """Return the URL of the store host nearest to a target, or an empty string.

        Only usable stores of the target's pool count.
        """
        pool = self._state.pools.get(target.pool)
        stores = [
            store
            for store in self._state.targets.where("pool", pool.store if pool else "")
            if store.usable(now)
        ]
        store = min(
            stores,
            key=lambda row: (row.data_centre != target.data_centre, row.name),
            default=None,
        )
        return store.url if store else ""

    def _resume(self, row, target, now):
        """Reconnect to the same stream, so that no token is generated twice.

        The first reconnection is immediate, later ones are delayed.
        """
        policy = self._state.policy
        if target is None or row.resumes >= policy.resume_attempts:
            self._note_failure(target, now)
            self._start_elsewhere(row, now)
            return
        row.resumes += 1
        row.attempt += 1
        delay = retries.backoff(row.resumes + 1, self._state.random)
        self._state.emit(
            commands.ResumeStream(
                row.request_id,
                row.attempt,
                target.name,
                target.url,
                delay if row.resumes > 1 else _NO_DELAY,
            )
        )

    def _start_elsewhere(self, row, now, retry_after=None):
        """Start a prompt at another target, or refuse it where that isn't allowed."""
        policy = self._state.policy
        if now >= row.deadline:
            self._give_up(row, commands.Code.DEADLINE, "The deadline has passed.", now)
        elif row.resume_target:
            self._refuse_taken_over(row, now)
        elif (
            row.may_have_run
            and self._quarantine.possible_crash_count((row.fingerprint,)) > 1
        ):
            self._give_up(
                row,
                commands.Code.SUSPECTED,
                "Targets crashed while they ran the prompt.",
                now,
            )
        elif row.starts >= policy.max_attempts:
            self._give_up(
                row,
                commands.Code.OVERLOADED,
                "Several targets failed or refused the prompt.",
                now,
                retry_after,
            )
        elif not self._state.budget_by_pool[row.pool].spend():
            self._give_up(
                row,
                commands.Code.RETRY_BUDGET,
                "The retry budget of the pool is spent.",
                now,
                retry_after,
            )
        else:
            self._send(row, now, retry_after)

    def _give_up(self, row, code, message, now, retry_after=None):
        """Refuse a prompt; the outcome is "not run" only if that is certain."""
        refuse = refusals.refuse_unknown if row.may_have_run else refusals.refuse_unrun
        self._remove(row, now)
        wait = retry_after or self._state.policy.retry_after
        refuse(self._state, row.request_id, code, message, wait)

    def _note_failure(self, target, now):
        if target is not None:
            catalogue.note_failure(self._state, target, now)

    def _remove(self, row, now):
        """Remove a prompt and free its slot."""
        self.rows.remove(row.request_id)
        self._admission.remove(row.account, row.request_id)
        self._release_target(row)
        if row.started_at is not None:
            self._admission.end(row.account, now - row.started_at)

    def _release_target(self, row):
        """Stop counting a prompt against its target."""
        target = self._state.targets.get(row.target)
        if target is not None:
            target.running_here = max(0, target.running_here - 1)
            target.sent_by_request.pop(row.request_id, None)
        row.target = ""


def may_use(account, model):
    """Return whether an account's contract covers the pool of a model."""
    pools = account.contract.pools
    return not pools or model.pool in pools


def _new_row(event, model, fingerprint, now):
    salt = hashing.salt(event.account, model.name, model.version)
    ids = hashing.chain(salt, event.text)
    hint = event.cache_hint or (ids[0] if ids else event.request_id)
    row = PromptRow(
        event.request_id,
        event.account,
        model.name,
        model.pool,
        ids,
        f"{event.account}/{hint}",
        event.tokens,
        now,
        event.deadline,
        fingerprint=fingerprint,
    )
    if event.resume is not None:
        row.may_have_run = True
        row.resume_target = event.resume.target
        row.version = event.resume.version
        row.delivered = event.resume.delivered
    return row
