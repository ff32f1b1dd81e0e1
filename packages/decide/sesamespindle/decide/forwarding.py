"""Forwarding of requests: choice of target, retries, and the final answer."""

import datetime

from sesamespindle.decide import (
    arrivalchecks,
    commands,
    endings,
    firstbytes,
    flights,
    kvstores,
    placement,
    routes,
    sendlog,
    sends,
    waitingroom,
    world,
)

# A request with less time left than this is not sent: no target answers that
# quickly, so the work would be wasted.
_MIN_TIME_LEFT = datetime.timedelta(milliseconds=20)
# A request is refused at once if its expected queueing time exceeds this share of
# the time that it has left, since the target would then answer too late.
_MAX_WAIT_SHARE = 0.8
# The most sends of one request, including those that targets turned away without
# running it; after that it is refused.
_MAX_SENDS = 4
# A send that needs at least this many tokens of prefill is announced to peers at
# the next tick. It occupies an engine for 40 ms or more, and in that time peers
# that don't know of it would send the same engine another prompt.
_ANNOUNCED_AT_ONCE_TOKENS = 2000
# A request that may be repeated is withdrawn from a service that has been unreached for
# this long, and carried by a peer. Sound targets may be silent for a second.
_WITHDRAWN_AFTER = datetime.timedelta(milliseconds=1500)


class Forwarding:
    """Decides where each request is sent, and what follows when a send ends.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        The announced weight version of each model.
    budgets : budgets.SharedBudgets
        The retry budgets.
    crashes : crashes.Crashes
        Receives how sends end, to detect crashes of targets.
    quarantine : quarantine.Quarantine
        Which requests are suspected of crashing targets.
    fingerprints : fingerprints.Fingerprints
        Computes the fingerprints of requests.
    prompt_placement : promptplacement.PromptPlacement
        Selects the engines of prompts.
    target_limits : targetlimits.TargetLimits
        Which targets limit the requests from all hosts together.
    held_targets : heldtargets.HeldTargets
        Which targets told this host that they leave, or want a rest.
    found_candidates : candidates.Candidates
        Finds the targets that a request may be sent to.
    service_reach : reach.Reach
        Which services this host reaches.
    peer_carriers : carriers.Carriers
        Which peers carry requests to services that this host doesn't reach.
    brittle_targets : brittle.BrittleTargets
        Which targets fall over if they have to turn away too many requests.
    stream_origins : streamorigins.StreamOrigins
        Which software versions began the streams that callers take up again.
    keeper_asking : asking.Asking
        Which keepers of engines are asked for a prompt.
    target_learning : learning.Learning
        What is learned of the speed of targets.
    """

    def __init__(
        self,
        state,
        weights,
        budgets,
        crashes,
        quarantine,
        fingerprints,
        prompt_placement,
        target_limits,
        held_targets,
        found_candidates,
        service_reach,
        peer_carriers,
        brittle_targets,
        stream_origins,
        keeper_asking,
        target_learning,
    ):
        self._state = state
        self._weights = weights
        self._prompt_placement = prompt_placement
        self._budgets = budgets
        self._crashes = crashes
        self._quarantine = quarantine
        self._fingerprints = fingerprints
        self._target_limits = target_limits
        self._held_targets = held_targets
        self._candidates = found_candidates
        self._reach = service_reach
        self._carriers = peer_carriers
        self._brittle = brittle_targets
        self._endings = endings.Endings(
            state, weights, crashes, service_reach, brittle_targets
        )
        self._origins = stream_origins
        self._asking = keeper_asking
        self._learning = target_learning
        self.waiting_room = waitingroom.WaitingRoom(
            state, self._send, self._refuse_waiting, self._pay
        )
        self._checks = arrivalchecks.ArrivalChecks(state, peer_carriers)
        self.configuration = None
        self.flight_by_request = {}

    def check_head(self, request, now):
        """Return what is known of a request whose body has not arrived yet.

        Returns
        -------
        admitted : arrivalchecks.Admitted or commands.Refuse
            A refusal if it would be refused whatever its body is.
        """
        return self._checks.check(self.configuration, request, now)

    def refuse_unread(self, request, code, message):
        """Return the refusal of a request whose body was not read to its end."""
        return self._checks.refuse(request, code, message)

    def begin(self, request, now):
        """Return what to do with a new request.

        Parameters
        ----------
        request : flights.Request
            The request.
        now : datetime.datetime
            The current time.

        Returns
        -------
        command : sends.Forward, sends.Wait or commands.Refuse
        """
        admitted = self._checks.check(self.configuration, request, now)
        if isinstance(admitted, commands.Refuse):
            return admitted
        route, account, until = admitted.route, admitted.account, admitted.until
        account_name = account.name if account is not None else ""
        fingerprint = self._fingerprints.of(account_name, request.content)
        parts = self._fingerprints.of_parts(account_name, request.prompt)
        keys = (fingerprint, *parts) if fingerprint else parts
        refusal = self._quarantine.refusal(keys, now)
        if refusal is not None:
            return commands.Refuse(
                request.request_id,
                refusal.code,
                commands.Outcome.NOT_RUN,
                refusal.message,
                refusal.retry_after,
            )
        if self._origins.must_refuse(request, route, now):
            return self._refuse(
                request,
                commands.Code.ORIGIN_UNKNOWN,
                "It isn't known which software version began the stream, or whether "
                "there are several.",
                earliest=self._origins.earliest_return(),
            )
        begun_by, software = None, request.software
        if request.origin is not None:
            begun_by, software = request.origin.service, request.origin.software
        able = self._candidates.services_at(route, software) if software else ()
        service = route.draw_service(self._state.random, begun_by, able)
        flight = flights.Flight(
            request, route, service, account, now, until, fingerprint, parts
        )
        self.flight_by_request[request.request_id] = flight
        flight.software = software
        if request.origin is None and request.takes_up and request.passport is None:
            flight.software = self._origins.only_version(route, now)
        if request.passport is None:
            self._budgets.earn(flight.service, now)
        else:
            flight.runs = request.passport.runs
            self._carriers.carried_here += 1
        waiting = self.waiting_room.begin(flight, flight.urgency, now)
        return waiting or self._send(flight, now)

    def ended(self, request_id, ending, now):
        """Return what follows a send that ended without an answer to relay.

        Parameters
        ----------
        request_id : str
            The request, which must be in flight.
        ending : sends.Ending
            How its last send ended.
        now : datetime.datetime
            The current time.

        Returns
        -------
        command : sends.Forward, sends.PassOn, sends.Wait or commands.Refuse
        """
        flight = self.flight_by_request[request_id]
        row = self._state.target_in(flight.incarnation)
        self._endings.report_to_crashes(flight, ending, now)
        self._carriers.note_end(flight, ending, now)
        self._endings.note(flight, row, ending, now)
        self.waiting_room.note_ending(flight, row, ending, now)
        self._release(flight)
        flight.end_send(ending)
        maybe_ran = ending in sends.MAYBE_RAN
        if maybe_ran:
            flight.runs += 1
        if self._may_retry(flight, ending, maybe_ran, now):
            return self._send(flight, now, ending)
        if ending is sends.Ending.TURNED_AWAY:
            code = commands.Code.OVERLOADED
            return self._without_room(flight, ending, now, code)
        return self._final_answer(flight, ending, now)

    def resumed(self, request_id, now):
        """Return what follows the wait of a request, which must be in flight.

        It ended by a `sends.Resume` or because its time is over.
        """
        flight = self.flight_by_request[request_id]
        command = self.waiting_room.take_decided(request_id)
        code = self.waiting_room.leave(flight, now)
        if command is None:
            return self._final_answer(flight, None, now, code)
        if flight.sent_at is not None and flight.until - now < _MIN_TIME_LEFT:
            self._release(flight)
            return self._final_answer(flight, None, now)
        return command

    def arrivals_of(self, request_id):
        """Return how many ended sends of a request may have reached a target."""
        flight = self.flight_by_request.get(request_id)
        return flight.arrivals if flight is not None else 0

    def ends_silent(self, request_id, now):
        """Return whether a send to a silent target ends, as another may follow it.

        Guards against requests that fail at sound targets which are only slow, once
        the retry budget is spent.
        """
        flight = self.flight_by_request.get(request_id)
        if flight is None:
            return False
        row = self._state.target_in(flight.incarnation)
        if row is not None:
            self._reach.note_failure(row, now)
        # Paid here, as several sends may end before what follows the first is decided.
        if flight.retry_paid_at is None and self._budgets.spend(flight.service, now):
            flight.retry_paid_at = now
        return flight.retry_paid_at is not None

    def heard(self, request_id, now):
        """Record that the target of a request sent something."""
        flight = self.flight_by_request.get(request_id)
        row = self._state.target_in(flight.incarnation) if flight is not None else None
        if row is not None and flight.sent_at is not None:
            self._reach.note_heard(row, now)
        elif flight is not None and flight.carrier:
            flight.has_carrier_answered = True
            self._reach.note_carried(flight.service, now)

    def first_byte(self, request_id, now):
        """Record that the answer to a request has begun."""
        flight = self.flight_by_request.get(request_id)
        if flight is None:
            return
        flight.begun_at = now
        self.waiting_room.note_through(flight, now)
        row = self._state.target_in(flight.incarnation)
        if row is None:
            return
        if flight.sent_at is not None:
            self._crashes.record_answer(flight.incarnation, flight.sent_at)
        sent = row.sent_by_request.pop(request_id, None)
        if sent is not None and flight.sent_at is not None:
            self._asking.begun(flight, row, sent.tokens, now)
        endings.note_result(row, False)
        if not flight.route.streaming and flight.sent_at is not None:
            firstbytes.note_service_time(row, now - flight.sent_at)
            self._learning.note_call(flight, now)

    def stream_begun(self, request_id, software="", *, now):
        """Record that the caller gets the first event of a stream.

        Parameters
        ----------
        software : str
            The software version that writes it, as a carrying peer tells it; empty if
            a target answers this host.

        Returns
        -------
        software : str
            The version to tell the peer for which this host carries the stream; empty
            if the caller is this host's own.
        """
        flight = self.flight_by_request.get(request_id)
        if flight is None:
            return ""
        flight.software = flight.software or software or flight.sent_software
        self._origins.begun(flight, now)
        return flight.software if flight.request.passport is not None else ""

    def tick(self, now):
        """Withdraw sends whose answer can't begin in time, and resume waits."""
        self.waiting_room.tick(now)
        for flight in self.flight_by_request.values():
            if flight.has_begun:
                self._note_passed(flight, now)
            if flight.has_begun or flight.sent_at is None:
                continue
            reason = self._withdrawal_reason(flight, now)
            if reason:
                self._state.emit(
                    sends.Withdraw(flight.request.request_id, flight.sends, reason)
                )

    def _note_passed(self, flight, now):
        """Record that the parts of a prompt don't crash its target, if that is known.

        A part that crashes targets does so as they begin to write the answer.
        """
        if flight.has_passed:
            return
        is_direct = flight.sent_at is not None
        if is_direct and now - flight.begun_at >= endings.BEGINS_WELL_AFTER:
            self._note_parts_passed(flight)

    def _note_success(self, flight, now):
        """Record that a target's complete answer clears the request and its parts.

        Guards against a suspect that is cleared, and a quarantine that is lifted, by
        the answer of a peer that carried the request and says that its run was lost.
        """
        if flight.sent_at is None:
            return
        self._quarantine.record_success(flight.fingerprint, now)
        if flight.has_begun:
            self._note_parts_passed(flight)

    def _note_parts_passed(self, flight):
        flight.has_passed = True
        for part in flight.parts:
            self._quarantine.record_success(part, flight.begun_at)

    def _withdrawal_reason(self, flight, now):
        """Return why a send is to be withdrawn; empty if it isn't."""
        if self._is_stuck(flight, now):
            return f"{flight.service} isn't reached from here"
        replacement = self._replacement(flight)
        if replacement is None or now < replacement.begun_by:
            return ""
        # Guards against runs that begin on weights superseded too long ago: a prompt is
        # sent in time, but waits at its engine longer than expected, for memory or for
        # more urgent prompts. Engines drop a request when its connection closes.
        return (
            f"not begun on version {flight.version}, {replacement.describe_age(now)} "
            f"after version {replacement.version} was announced"
        )

    def _is_stuck(self, flight, now):
        """Return whether a request waits in vain and may be sent through a peer.

        Guards against callers that wait until their time is over for an answer on a
        connection that stays open but carries nothing.
        """
        return (
            flight.route.repeats is not routes.Repeats.ONCE
            and flight.request.passport is None
            and flight.runs + 1 < flight.route.max_attempts
            and self._reach.unreached_for(flight.service, now) >= _WITHDRAWN_AFTER
            and self._carriers.has_any(flight.service, now)
        )

    def services_of(self, request):
        """Return the services that a request may go to."""
        configuration = self.configuration
        if configuration is None:
            return ()
        route = configuration.match(request.host, request.path)
        if route is None:
            return ()
        return tuple(share.service for share in route.shares)

    def _replacement(self, flight):
        """Return what superseded the weights of a send in flight, or None.

        Returns
        -------
        replacement : weights.Replacement or None
            None also for calls to plain services, which have no weights.
        """
        if flight.sent_at is None or flight.version is None:
            return None
        return self._weights.replacement(flight.version, flight.request.model)

    def close(self, request_id, now):
        """Remove a request that has its final answer or whose caller has left."""
        flight = self.flight_by_request.pop(request_id, None)
        if flight is None:
            return
        if flight.retry_paid_at is not None:
            self._budgets.refund(flight.service, flight.retry_paid_at)
        if flight.request.passport is not None:
            self._carriers.carried_here -= 1
        is_unsent = self.waiting_room.close(flight, now)
        if flight.sent_at is not None and not is_unsent:
            for key in endings.suspect_keys(flight, now):
                self._crashes.record_abandoned_run(key, flight.incarnation, now)
        self._release(flight)
        self.waiting_room.wake(flight.service, now)

    def served(self, request_id, now):
        """Record that a caller has received a target's complete answer."""
        flight = self.flight_by_request.get(request_id)
        if flight is not None:
            self._note_success(flight, now)
            self._release(flight)
            self.waiting_room.note_served(flight, now)

    def answer_broken(self, request_id, now):
        """Record that an answer broke off and can't be continued."""
        flight = self.flight_by_request.get(request_id)
        if flight is not None:
            self._endings.report_to_crashes(flight, sends.Ending.LOST, now)
            self._release(flight)

    def note_signals(self, request_id, signals, now):
        """Record what a target says of itself with its answer to a request.

        Parameters
        ----------
        request_id : str
            The request.
        signals : targetsignals.TargetSignals
            What the target says.
        now : datetime.datetime
            The current time.
        """
        flight = self.flight_by_request.get(request_id)
        if flight is None or flight.sent_at is None:
            return
        for heard_by in (self._target_limits, self._held_targets, self._brittle):
            heard_by.note_answer(
                flight.incarnation, signals, request_id, flight.sent_at, now
            )
        row = self._state.target_in(flight.incarnation)
        if row is None:
            return
        if signals.load is not None:
            row.reported_load = signals.load
        self._learning.note_stated(row, signals, now)
        if signals.weight_version is not None and flight.request.model:
            model = flight.request.model
            self._weights.note_seen(row, model, signals.weight_version)

    def _count_live_entries(self):
        """Return the number of live entry hosts, at least 1."""
        return max(len(self._state.live_entries()), 1)

    def _send(self, flight, now, ending=None):
        """Choose a target and return the send, or the final answer if none fits."""
        if flight.until - now < _MIN_TIME_LEFT:
            return self._final_answer(flight, ending, now)
        carried = self._carriers.carry(flight, now)
        if carried is not None:
            return carried
        if self._must_decline(flight):
            return self._final_answer(flight, ending, now, commands.Code.NOT_REACHED)
        service = self.configuration.service_by_name.get(flight.service)
        rows = self._candidates.find(
            flight, service, self._connection_limit(service), now
        )
        if not rows:
            code = self._candidates.code_without(flight, now)
            self._asking.release(flight)
            return self._without_room(flight, ending, now, code)
        rows = self.waiting_room.with_room(rows, now)
        if not rows:
            return self._without_room(flight, ending, now, commands.Code.OVERLOADED)
        if not flight.is_engine_prompt(service):
            here = self._state.me.data_centre
            usual = self._learning.service_seconds(flight.service, now)
            row = placement.choose_service_target(rows, here, now, usual)
            return self._start(flight, row, None, now)
        return self._send_prompt(flight, service.engines, rows, now, ending)

    def _send_prompt(self, flight, engines, rows, now, ending):
        if not engines.can_hold(flight.request.prompt_tokens):
            code = commands.Code.PROMPT_TOO_LARGE
            return self._final_answer(flight, ending, now, code)
        rows = self._asking.narrow(flight, rows, now)
        choice = self._prompt_placement.choose(flight, engines, rows, now)
        if choice is None:
            self._asking.release(flight)
            return self._without_room(flight, ending, now, commands.Code.OVERLOADED)
        question = self._asking.question(flight, choice, engines, now, ending)
        if question is not None:
            return question
        place = self._prompt_placement.settle(flight, engines, choice, now)
        if flight.asked is None and self._would_wait_too_long(flight, place.row, now):
            return self._without_room(flight, ending, now, commands.Code.OVERLOADED)
        return self._start(flight, place.row, place, now, engines)

    def keeper_answered(self, request_id, answer, now):
        """Return what to do with a prompt after an answer of an engine's keeper.

        Parameters
        ----------
        request_id : str
            The request, which must be in flight.
        answer : ledgers.Answer or None
            The answer; None if none came in time.
        now : datetime.datetime
            The current time.

        Returns
        -------
        command : sends.Forward, sends.AskKeeper, sends.PassOn or commands.Refuse
        """
        flight = self.flight_by_request[request_id]
        ending = self._asking.note_answer(flight, answer, now)
        departure = self._state.departure
        if departure is not None and departure.is_over:
            code = commands.Code.SHUTTING_DOWN
            return self._final_answer(flight, ending, now, code)
        return self._send(flight, now, ending)

    def _without_room(self, flight, ending, now, code):
        """Return what follows where no target has room for a request now."""
        waiting = None
        if not self._reach.is_unreached(flight.service):
            waiting = self.waiting_room.lacks_room(flight, flight.urgency, code, now)
        return waiting or self._final_answer(flight, ending, now, code)

    def _refuse_waiting(self, flight, code, now):
        return self._final_answer(flight, None, now, code)

    def _must_decline(self, flight):
        """Return whether a peer's request goes back, as this host is cut off too."""
        if flight.request.passport is None:
            return False
        is_in_doubt = flight.failed_from is not None and not self._reach.heard_since(
            flight.service, flight.failed_from
        )
        return is_in_doubt or self._reach.is_unreached(flight.service)

    def _connection_limit(self, service):
        """Return the most requests in flight from here to one target, or None."""
        if service is None or not service.max_connections:
            return None
        return max(1, service.max_connections // self._count_live_entries())

    def _start(self, flight, row, place, now, engines=None):
        """Record a send at its target, and return it."""
        request = flight.request
        self._budgets.note_repeat(flight)
        flight.incarnation = row.incarnation
        flight.version = place.version if place else None
        flight.sent_software = row.software
        flight.begin_send()
        flight.sent_at = now
        flight.begun_at = None
        flight.tried.add(row.incarnation)
        row.running_here += 1
        self._reach.note_sent(row, now)
        self.waiting_room.note_sent(flight, now)
        self._candidates.note_sent(row, request.request_id, now)
        if place:
            sent = world.SentWork(now, place.prefill_tokens)
            row.sent_by_request[request.request_id] = sent
            held_tokens = engines.most_held(request.held_tokens)
            row.held_by_request[request.request_id] = held_tokens
            if place.prefill_tokens >= _ANNOUNCED_AT_ONCE_TOKENS:
                self._state.must_announce_pending = True
        account = flight.account
        keeper_text = self._asking.sent(flight, row, engines)
        return sends.Forward(
            request.request_id,
            flight.sends,
            row.name,
            row.url,
            flight.until,
            flight.urgency,
            account.name if account is not None else None,
            flight.route.repeats,
            flight.route.streaming,
            flight.version,
            place.salt if place else None,
            place.transfers if place else kvstores.NO_TRANSFERS,
            firstbytes.timeout(flight, row),
            sendlog.explain(
                self.configuration,
                flight,
                row,
                place,
                self._replacement(flight),
                self._target_limits.describe(row, now),
                now,
            )
            + keeper_text
            + sendlog.explain_repeat(flight),
            row.born,
        )

    def _would_wait_too_long(self, flight, row, now):
        """Return whether the queue at a target is too long for the time left."""
        time_left = flight.until - now
        wait = datetime.timedelta(seconds=placement.queue_seconds(row, now))
        return wait > time_left * _MAX_WAIT_SHARE

    def _may_retry(self, flight, ending, maybe_ran, now):
        """Return whether a request may be sent to a target once more.

        Guards against a call that takes effect twice, such as a booking. Once a byte
        may have reached a target, and the target did not say that it hasn't run the
        request, only idempotent requests and resumable streams are sent again.

        Also guards against a request that crashes one target after the other. Once
        two targets may have crashed under it, it gets a final answer, and is sent
        again only if its caller retries it.
        """
        if maybe_ran and flight.route.repeats is routes.Repeats.ONCE:
            return False
        if maybe_ran and self._quarantine.possible_crash_count(flight.keys) > 1:
            return False
        departure = self._state.departure
        if departure is not None and departure.is_over:
            return False
        if maybe_ran and flight.runs >= flight.route.max_attempts:
            return False
        if flight.sends - flight.forgiven_sends >= _MAX_SENDS:
            return False
        if flight.until - now < _MIN_TIME_LEFT:
            return False
        return self._pay(flight, now)

    def _pay(self, flight, now):
        """Return whether the next send of a request is within the retry budget.

        It is taken from the budget, unless it is already, or nothing of the request
        has reached a target yet.
        """
        if flight.owes_retry and self._budgets.spend(flight.service, now):
            flight.retry_paid_at = now
        return not flight.owes_retry

    def _release(self, flight):
        """Release the connection and memory accounted to a send at its target."""
        self._asking.release(flight)
        row = self._state.target_in(flight.incarnation)
        if row is not None and flight.sent_at is not None:
            self._brittle.note_ended(row.incarnation, flight.request.request_id)
            row.running_here = max(0, row.running_here - 1)
            row.sent_by_request.pop(flight.request.request_id, None)
            row.held_by_request.pop(flight.request.request_id, None)
            self._reach.note_released(row)
        flight.sent_at = None
        self._carriers.release(flight)

    def _final_answer(self, flight, ending, now, code=None):
        """Return the final answer of a request that is not sent again.

        The outcome is "not run" only if no send can have run the request.
        """
        request = flight.request
        if ending is sends.Ending.FAILED:
            return sends.PassOn(request.request_id)
        if flight.runs == 0:
            refuse = self._refuse(
                request,
                code or commands.Code.OVERLOADED,
                self._describe_targets(flight, now),
                earliest=self._candidates.rest_left(flight.service, now),
            )
            rank = flight.urgency
            return self.waiting_room.schedule_return(refuse, flight, rank, now)
        code = commands.Code.TARGET_FAILED
        if now >= flight.until:
            code = commands.Code.TIMEOUT
        message = "The target gave no complete answer."
        if ending is sends.Ending.WITHDRAWN:
            message = "It was withdrawn from the target before that answered."
        return self._refuse(request, code, message, commands.Outcome.UNKNOWN)

    def _describe_targets(self, flight, now):
        rows = list(self._state.targets.where("pool", flight.service))
        limited = sum(self._target_limits.is_limited(row) for row in rows)
        resting = sum(self._held_targets.is_resting(row, now) for row in rows)
        return sendlog.describe_targets(
            rows, self._count_live_entries(), limited, resting, now
        )

    def timed_out(self, request_id, now, sent):
        """Return the final answer of a request whose time limit has passed.

        Parameters
        ----------
        request_id : str
            The request, which must be in flight.
        now : datetime.datetime
            The current time.
        sent : bool
            Whether any byte of its last send may have reached a target.
        """
        flight = self.flight_by_request[request_id]
        outcome = commands.Outcome.UNKNOWN
        if not sent and flight.runs == 0:
            outcome = commands.Outcome.NOT_RUN
        return self._refuse(
            flight.request,
            commands.Code.TIMEOUT,
            "The time limit of the request has passed.",
            outcome,
        )

    def refuse_shutting_down(self, request_id, sent=True):
        """Return the final answer of a request in flight when the host shuts down.

        Parameters
        ----------
        sent : bool
            Whether it is at a target; if not, it waits here.
        """
        flight = self.flight_by_request[request_id]
        is_unrun = not sent and flight.runs == 0
        return self._refuse(
            flight.request,
            commands.Code.SHUTTING_DOWN,
            "The host shuts down before the target has answered.",
            commands.Outcome.NOT_RUN if is_unrun else commands.Outcome.UNKNOWN,
        )

    def _refuse(
        self, request, code, message, outcome=commands.Outcome.NOT_RUN, earliest=None
    ):
        return self._checks.refuse(request, code, message, outcome, earliest)
