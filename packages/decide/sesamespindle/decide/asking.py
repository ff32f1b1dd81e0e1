"""Asks the keepers of engines for room before a prompt is sent.

The load that this answers: long prompts of many hosts at few engines, see `ledgers`.
Whatever a keeper answers, all that is checked before a send is checked again after it.
"""

import collections
import dataclasses
import datetime
import itertools

from sesamespindle.decide import hashing, ledgers, loadparts, sends, speeds

# The most engines that are asked about for one send. The one with the least expected
# wait is asked about once more if all of them would be late.
_MOST_ASKED = 3
# A keeper that didn't answer is not asked for this time. A host that has ended is
# suspected some seconds later.
_LEFT_ALONE_FOR = datetime.timedelta(seconds=1)
# Prompts are neither asked for nor counted if as many of them as an engine has slots
# fit into the memory that grants leave free. A question costs more than their harm.
_UNCOUNTED_SHARE = 1.0 - ledgers.GRANTED_SHARE
# An engine that was declined for memory is not asked for as much again for this time,
# while there are others.
_FULL_FOR = datetime.timedelta(milliseconds=100)
# The share of the time left that the wait for the first token may take, where the
# route states no goal or all engines are late.
_MAX_WAIT_SHARE = 0.8
_NO_TIME = datetime.timedelta(0)
_FOR_MEMORY = frozenset((ledgers.Reason.MEMORY, ledgers.Reason.URGENCY))


@dataclasses.dataclass(slots=True)
class Asked:
    """What keepers have answered for the next send of a request.

    Attributes
    ----------
    ending : sends.Ending or None
        How the last send ended.
    number : int
        Stands for the request and this send in messages to keepers, so that the end of
        one send never ends what is asked for the next.
    question : sends.AskKeeper or None
        The question that has no answer yet.
    answer_by_incarnation : dict
        The answers that declined, by target incarnation; None where none came.
    kept_at : dict
        The keepers that keep memory free for it, as `flights.Flight.counted`.
    is_last : bool
        Whether the engine with the least wait was asked about once more.
    is_unasked : bool
        Whether it goes to an engine whose keeper doesn't answer.
    permitted : incarnations.TargetIncarnation or None
        The engine that was granted.
    text : str
        What the keeper of that engine has answered, for the log.
    """

    ending: sends.Ending | None
    number: int
    question: sends.AskKeeper | None = None
    answer_by_incarnation: dict = dataclasses.field(default_factory=dict)
    kept_at: dict = dataclasses.field(default_factory=dict)
    is_last: bool = False
    is_unasked: bool = False
    permitted: object | None = None
    text: str = ""


class Asking:
    """Decides which keepers are asked for a prompt, and what they are told.

    Parameters
    ----------
    state : world.World
        The shared tables.
    engine_keepers : keepers.Keepers
        Which host keeps which engine.

    Attributes
    ----------
    count_by_result : collections.Counter
        Questions by result: ``asked``, ``unanswered``, ``left_alone`` for those that
        weren't asked as the keeper is silent, or the name of a `ledgers.Reason`.
    """

    def __init__(self, state, engine_keepers):
        self._state = state
        self._keepers = engine_keepers
        self.count_by_result = collections.Counter()
        self._rounds = itertools.count()
        self._silent_until_by_host = {}
        # Tokens that were declined for memory, and until when, by incarnation.
        self._full_by_incarnation = {}

    def is_on(self):
        """Return whether the deployment asks for keepers."""
        return self._state.load_parts.is_on(loadparts.Part.KEEPERS)

    def keeper(self, row):
        """Return the `world.EntryRow` of an engine's keeper, or None if none lives."""
        return self._keepers.keeper(row)

    def narrow(self, flight, rows, now):
        """Return the engines that a prompt may go to, or be asked for, by the answers.

        Parameters
        ----------
        flight : flights.Flight
            The prompt.
        rows : list of world.TargetRow
            The engines that may get it by all else.
        now : datetime.datetime
            The current time.
        """
        if not self.is_on():
            return rows
        asked = flight.asked
        if asked is None:
            return self._preferred(flight, rows, now)
        if asked.permitted is not None:
            permitted = [row for row in rows if row.incarnation == asked.permitted]
            if permitted:
                return permitted
            asked.permitted = None
        answers = asked.answer_by_incarnation
        untried = [row for row in rows if row.incarnation not in answers]
        if len(answers) < _MOST_ASKED:
            heard = self._preferred(flight, untried, now)
            if heard:
                return heard
        return self._soonest(asked, rows) or self._without_word(asked, rows, now)

    def question(self, flight, choice, engines, now, ending):
        """Return the question to the keeper of the engine chosen for a prompt.

        Returns
        -------
        question : sends.AskKeeper or None
            None if the prompt is to be sent at once.
        """
        if not self._is_counted(flight, choice.row, engines):
            return None
        asked = flight.asked
        if asked is None:
            asked = flight.asked = Asked(ending, self._number(flight))
        if asked.permitted == choice.row.incarnation:
            return None
        keeper = self._keepers.keeper(choice.row)
        if keeper is None:
            return None
        if self._is_silent(choice.row, now):
            self.count_by_result["left_alone"] += 1
            asked.text = f"Keeper {keeper.name} is silent."
            return None
        self.count_by_result["asked"] += 1
        asked.question = sends.AskKeeper(
            flight.request.request_id,
            keeper.name,
            keeper.peer_address,
            self._ask(flight, choice, engines, now),
        )
        return asked.question

    def note_answer(self, flight, answer, now):
        """Take note of a keeper's `ledgers.Answer`, or of None if it didn't answer.

        Returns
        -------
        ending : sends.Ending or None
            How the last send of the request ended.
        """
        asked = flight.asked
        question, asked.question = asked.question, None
        incarnation = question.ask.incarnation
        if answer is None:
            self.count_by_result["unanswered"] += 1
            self._silent_until_by_host[question.keeper] = now + _LEFT_ALONE_FOR
            asked.text = f"Keeper {question.keeper} didn't answer."
        else:
            self.count_by_result[answer.reason.name.lower()] += 1
            asked.text = _describe(question.keeper, answer)
            row = self._state.target_in(incarnation)
            if row is not None and answer.speed != loadparts.USUAL_SPEED:
                speeds.of(row).note_speed(answer.speed, now, is_stated_here=False)
        if answer is None or answer.reason is ledgers.Reason.GRANTED:
            # A question whose answer was lost may have been counted too.
            flight.counted[incarnation] = question.address, asked.number
        if answer is not None and answer.reason is ledgers.Reason.GRANTED:
            asked.permitted = incarnation
            return asked.ending
        asked.answer_by_incarnation[incarnation] = answer
        if answer is None:
            return asked.ending
        if answer.reason in _FOR_MEMORY:
            full = question.ask.held_tokens, now + _FULL_FOR
            self._full_by_incarnation[incarnation] = full
            asked.kept_at[incarnation] = question.address, asked.number
        return asked.ending

    def sent(self, flight, row, engines):
        """Take note that a request is sent to an engine; return the log's text.

        Keepers that may count it at other engines are told that it isn't there.
        """
        if not self.is_on():
            return ""
        if engines is not None and self._is_counted(flight, row, engines):
            keeper = self._keepers.keeper(row)
            if keeper is not None and row.incarnation not in flight.counted:
                counted = keeper.peer_address, self._number(flight)
                flight.counted[row.incarnation] = counted
        asked, flight.asked = flight.asked, None
        kept = flight.counted.pop(row.incarnation, None)
        if asked is not None:
            flight.counted.update(asked.kept_at)
        self._tell_ended(flight)
        if kept is not None:
            flight.counted[row.incarnation] = kept
        return f" {asked.text}" if asked is not None and asked.text else ""

    def begun(self, flight, row, prompt_tokens, now):
        """Tell the keeper that the first byte of an answer has come."""
        if not flight.counted:
            return
        waited = now - flight.sent_at
        speeds.of(row).note_reading(prompt_tokens, _tokens_before(row), waited, now)
        counted = flight.counted.get(row.incarnation)
        if counted is not None:
            stage = ledgers.Stage.BEGUN
            self._tell(counted, flight, row.incarnation, stage, now, waited)

    def release(self, flight):
        """Tell keepers that a request has ended, or isn't sent.

        Guards against memory that is held for a caller who left during a question.
        """
        asked, flight.asked = flight.asked, None
        if asked is not None and asked.question is not None:
            question = asked.question
            counted = question.address, asked.number
            flight.counted[question.ask.incarnation] = counted
        if flight.counted:
            self._tell_ended(flight)

    def tick(self, now):
        """Forget what is no longer valid."""
        self._silent_until_by_host = {
            host: until
            for host, until in self._silent_until_by_host.items()
            if now < until
        }
        self._full_by_incarnation = {
            incarnation: full
            for incarnation, full in self._full_by_incarnation.items()
            if now < full[1]
        }

    def _tell_ended(self, flight):
        counted, flight.counted = flight.counted, {}
        for engine, place in counted.items():
            self._tell(place, flight, engine, ledgers.Stage.ENDED)

    def _tell(self, counted, flight, incarnation, stage, now=None, waited=None):
        address, number = counted
        row = self._state.target_in(incarnation)
        speed = None
        if now is not None and row is not None and row.learned is not None:
            speed = row.learned.stated_speed(now)
        request = flight.request
        self._state.emit(
            sends.TellKeeper(
                address,
                ledgers.Tell(
                    self._state.me.peer_address,
                    number,
                    incarnation,
                    stage,
                    request.prompt_tokens,
                    request.held_tokens,
                    flight.until - now if now is not None else _NO_TIME,
                    waited or _NO_TIME,
                    row.reported_load if row is not None else None,
                    speed,
                ),
            )
        )

    def _ask(self, flight, choice, engines, now):
        request, row, left = flight.request, choice.row, flight.until - now
        goal = flight.route.latency_goal
        wait = left * _MAX_WAIT_SHARE
        if goal > _NO_TIME and not flight.asked.is_last:
            transfer = datetime.timedelta(seconds=choice.effort.transfer_seconds)
            wait = min(wait, goal - (now - flight.arrived_at) - transfer)
        return ledgers.Ask(
            self._state.me.peer_address,
            flight.asked.number,
            row.incarnation,
            choice.effort.prefill_tokens,
            request.held_tokens,
            engines.kv_capacity,
            row.slots,
            flight.urgency,
            max(wait, _NO_TIME),
            left,
        )

    def _number(self, flight):
        return hashing.number(f"{flight.request.request_id}/{next(self._rounds)}")

    def _is_counted(self, flight, row, engines):
        if not self.is_on():
            return False
        tokens = flight.request.held_tokens * max(row.slots, 1)
        return tokens > _UNCOUNTED_SHARE * engines.kv_capacity

    def _is_silent(self, row, now):
        """Return whether an engine's keeper didn't answer lately."""
        if not self._silent_until_by_host:
            return False
        keeper = self._keepers.keeper(row)
        until = self._silent_until_by_host.get(keeper.name) if keeper else None
        return until is not None and now < until

    def _preferred(self, flight, rows, now):
        """Leave out engines of which no good word is expected, if others remain.

        Those are engines that were just declined for memory, and those whose keeper is
        silent. Guards against prompts that all hosts pile up at the latter, until the
        next keeper in rank is known.
        """
        heard = [row for row in rows if not self._is_silent(row, now)] or rows
        if not self._full_by_incarnation:
            return heard
        tokens = flight.request.held_tokens

        def may_have_room(row):
            full = self._full_by_incarnation.get(row.incarnation)
            return full is None or tokens < full[0] or now >= full[1]

        return [row for row in heard if may_have_room(row)] or heard

    def _soonest(self, asked, rows):
        """Return the engine with memory and the least expected wait, if any, once."""
        if asked.is_last:
            return []
        asked.is_last = True
        answers = asked.answer_by_incarnation
        late = [
            row
            for row in rows
            if (answer := answers.get(row.incarnation)) is not None
            and answer.reason is ledgers.Reason.LATE
        ]
        late.sort(key=lambda row: answers[row.incarnation].wait)
        return late[:1]

    def _without_word(self, asked, rows, now):
        """Return engines whose keepers don't answer; one gets the prompt unasked."""
        if asked.is_unasked:
            return []
        asked.is_unasked = True
        return [row for row in rows if self._is_silent(row, now)]


def _tokens_before(row):
    """Return the tokens sent to an engine from here whose first token is awaited."""
    return sum(work.tokens for work in row.sent_by_request.values())


def _describe(keeper, answer):
    age = "never"
    if answer.age is not None:
        age = f"{answer.age.total_seconds() * 1000:.0f} ms ago"
    return (
        f"Keeper {keeper} expected the first token in "
        f"{answer.wait.total_seconds() * 1000:.0f} ms at speed {answer.speed}%, "
        f"and heard of its load {age}."
    )
