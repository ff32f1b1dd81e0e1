"""Traces of requests: their format, and two generated from a seed."""

import dataclasses
import json
import random

_BYTES_PER_TOKEN = 4
# Mean delay, in seconds, of a prompt after the start of its rush (a high load).
_MEAN_RUSH_DELAY = 900.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    at : float
        Seconds from the start of the trace.
    kind : str
        ``prompt`` or ``call``.
    account : str
        The client account that sends it.
    target : str
        The model of a prompt, the service pool of a call.
    context : str
        The context that the prompt continues; for a call, its booking reference.
    turn : int
        The number of the prompt within its context, from 1.
    prompt_tokens : int
        Tokens of the whole prompt, the context included; 0 for a call.
    answer_tokens : int
        Tokens of the answer; 0 for a call.
    event : str
        The declared event that it belongs to, or an empty string.
    """

    at: float
    kind: str
    account: str
    target: str
    context: str
    turn: int
    prompt_tokens: int
    answer_tokens: int
    event: str = ""


@dataclasses.dataclass(frozen=True)
class Shape:
    """The parameters of a generated trace.

    Attributes
    ----------
    model : str
        The model that all prompts use.
    accounts : dict
        The share of the contexts that each account has, by the account's name.
    contexts : int
        The number of contexts.
    context_tokens : tuple of int
        The smallest and the largest size of a context, in tokens.
    turn_tokens : int
        Tokens that each turn adds to the prompt.
    turns : int
        Prompts of each context.
    answer_tokens : int
        Tokens of each answer.
    seconds : float
        The length of the trace.
    rushes : tuple
        The start of each period of high load, in seconds, and its declared event.
    call_account, call_pool : str
        The account that sends the calls, and the service pool that they use.
    calls : int
        The number of calls.
    """

    model: str
    accounts: dict
    contexts: int
    context_tokens: tuple[int, int]
    turn_tokens: int
    turns: int
    answer_tokens: int
    seconds: float
    rushes: tuple[tuple[float, str], ...]
    call_account: str
    call_pool: str
    calls: int


UMOJA = Shape(
    model="glossary",
    accounts={
        "interpreters": 0.4,
        "ministry-of-health": 0.2,
        "parliament": 0.2,
        "delegates": 0.2,
    },
    contexts=48,
    context_tokens=(6_000, 16_000),
    turn_tokens=40,
    turns=9,
    answer_tokens=16,
    seconds=7_200.0,
    rushes=((300.0, "morning-session"), (3_600.0, "plenary-opening")),
    call_account="bookings-desk",
    call_pool="bookings",
    calls=60,
)
KLANTSTEM = Shape(
    model="thread",
    accounts={
        "ombudsman-liaison": 0.5,
        "waterbedrijf": 0.2,
        "energie-noord": 0.2,
        "telecom-zuid": 0.1,
    },
    contexts=40,
    context_tokens=(8_000, 24_000),
    turn_tokens=400,
    turns=8,
    answer_tokens=24,
    seconds=28_800.0,
    rushes=((600.0, "morning-shift"), (21_600.0, "complaint-deadline")),
    call_account="waterbedrijf",
    call_pool="tags",
    calls=60,
)
SHAPE_BY_NAME = {"umoja": UMOJA, "klantstem": KLANTSTEM}


def make(shape, seed):
    """Return the arrivals of a generated trace, in order of time.

    About half of the prompts arrive in the minutes after a rush starts, the others at
    any time, so that contexts return after gaps of minutes to hours.
    """
    generator = random.Random(seed)
    arrivals = []
    names = list(shape.accounts)
    weights = list(shape.accounts.values())
    for number in range(shape.contexts):
        (account,) = generator.choices(names, weights)
        arrivals += _turns(shape, generator, f"context-{number}", account)
    for number in range(shape.calls):
        at = generator.uniform(0, shape.seconds)
        arrivals.append(
            Arrival(
                at,
                "call",
                shape.call_account,
                shape.call_pool,
                f"call-{number}",
                1,
                0,
                0,
            )
        )
    return sorted(arrivals, key=lambda item: item.at)


def _turns(shape, generator, context, account):
    base_tokens = generator.randint(*shape.context_tokens)
    times = [_arrival_time(shape, generator) for _ in range(shape.turns)]
    for turn, (at, event) in enumerate(sorted(times), start=1):
        yield Arrival(
            at,
            "prompt",
            account,
            shape.model,
            context,
            turn,
            base_tokens + turn * shape.turn_tokens,
            shape.answer_tokens,
            event,
        )


def _arrival_time(shape, generator):
    if generator.random() < 0.5:
        rush_start, event = generator.choice(shape.rushes)
        return rush_start + generator.expovariate(1 / _MEAN_RUSH_DELAY), event
    return generator.uniform(0, shape.seconds), ""


def text(arrival):
    """Return the text of a prompt; it starts with the text of each earlier turn."""
    size = arrival.prompt_tokens * _BYTES_PER_TOKEN
    words = []
    length = 0
    number = 0
    while length < size:
        word = f"{arrival.context}.{number} "
        words.append(word)
        length += len(word)
        number += 1
    return "".join(words)[:size]


def never_seen_tokens(arrivals):
    """Return how many tokens of each prompt no earlier one of its context had."""
    seen_by_context = {}
    token_counts = []
    for arrival in arrivals:
        if arrival.kind != "prompt":
            token_counts.append(0)
            continue
        seen_tokens = seen_by_context.get(arrival.context, 0)
        token_counts.append(max(0, arrival.prompt_tokens - seen_tokens))
        seen_by_context[arrival.context] = max(seen_tokens, arrival.prompt_tokens)
    return token_counts


def write(path, arrivals):
    """Write arrivals to a file as lines of JSON."""
    lines = (json.dumps(dataclasses.asdict(item)) for item in arrivals)
    path.write_text("\n".join(lines) + "\n", "utf-8")


def read(path):
    """Return the arrivals from a file of lines of JSON."""
    lines = path.read_text("utf-8").splitlines()
    return [Arrival(**json.loads(line)) for line in lines if line]
