"""Working the measures out of a replay, and judging them."""

import dataclasses

import hdrh.histogram
import yaml

_HIGHEST_MS = 600_000
_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Summary:
    """The measures of one replay, or of one account in it.

    Attributes
    ----------
    share_computed : float
        Prompt tokens computed, of all prompt tokens.
    never_seen, evicted, moved : float
        The same, split by why they were computed.
    """

    name: str
    prompts: int
    answered: int
    refused_tries: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    share_computed: float
    never_seen: float
    evicted: float
    moved: float
    link_peak: float
    seconds_over_90: float
    calls_p95_ms: float
    requests_ratio: float


def histogram(seconds):
    """Return an HDR histogram of times, in milliseconds."""
    made = hdrh.histogram.HdrHistogram(1, _HIGHEST_MS, _DIGITS)
    for value in seconds:
        made.record_value(max(1, min(_HIGHEST_MS, round(value * 1000))))
    return made


def summarize(run, account=""):
    """Return the `Summary` of a replay, or of one account in it."""
    outcomes = [
        item for item in run.outcomes if not account or item.arrival.account == account
    ]
    prompts = [item for item in outcomes if item.arrival.kind == "prompt"]
    calls = [item for item in outcomes if item.arrival.kind == "call"]
    answered = [item for item in prompts if item.answered]
    times = histogram(item.first_token_seconds for item in answered)
    call_times = histogram(item.first_token_seconds for item in calls)
    total = sum(item.arrival.prompt_tokens for item in answered) or 1
    split = _split(answered)
    return Summary(
        account or run.name,
        len(prompts),
        len(answered),
        sum(item.tries for item in prompts) - len(prompts),
        times.get_value_at_percentile(50),
        times.get_value_at_percentile(95),
        times.get_value_at_percentile(99),
        sum(item.computed_tokens for item in answered) / total,
        split["never_seen"] / total,
        split["evicted"] / total,
        split["moved"] / total,
        max((item.share for item in run.links), default=0.0),
        _longest_over(run.links, 0.9),
        call_times.get_value_at_percentile(95) if calls else 0.0,
        run.target_requests / (len(prompts) or 1),
    )


def floor(run, prefill_rate):
    """Return the `Summary` that the trace alone allows: nothing computed twice."""
    prompts = [item for item in run.outcomes if item.arrival.kind == "prompt"]
    times = histogram(item.never_seen_tokens / prefill_rate for item in prompts)
    total = sum(item.arrival.prompt_tokens for item in prompts) or 1
    fresh = sum(item.never_seen_tokens for item in prompts) / total
    return Summary(
        "floor",
        len(prompts),
        len(prompts),
        0,
        times.get_value_at_percentile(50),
        times.get_value_at_percentile(95),
        times.get_value_at_percentile(99),
        fresh,
        fresh,
        0.0,
        0.0,
        0.0,
        0.0,
        0.0,
        1.0,
    )


def judge(path, summary_by_name):
    """Return (outcome, measured, held) of each outcome stated in a file.

    An outcome names a measure of one run, may divide it by another run's, and
    states a bound.
    """
    stated = yaml.safe_load(path.read_text("utf-8"))["outcomes"]
    return [_judge_one(item, summary_by_name) for item in stated]


def _judge_one(item, summary_by_name):
    measured = getattr(summary_by_name[item["of"]], item["measure"])
    if "relative_to" in item:
        base = getattr(summary_by_name[item["relative_to"]], item["measure"])
        measured = measured / base if base else float("inf")
    held = measured <= item["at_most"] if "at_most" in item else True
    if "at_least" in item:
        held = held and measured >= item["at_least"]
    return item, measured, held


def _split(answered):
    """Split computed tokens by why: never seen, evicted, or moved elsewhere."""
    split = {"never_seen": 0, "evicted": 0, "moved": 0}
    last_target = {}
    for item in answered:
        context = item.arrival.context
        fresh = min(item.never_seen_tokens, item.computed_tokens)
        split["never_seen"] += fresh
        again = item.computed_tokens - fresh
        moved = last_target.get(context, item.target) != item.target
        split["moved" if moved else "evicted"] += again
        last_target[context] = item.target
    return split


def _longest_over(links, bound):
    """Return the longest unbroken time that any link was used beyond a bound."""
    longest = 0.0
    for name in {item.store_host for item in links}:
        since = None
        for item in (sample for sample in links if sample.store_host == name):
            if item.share <= bound:
                since = None
                continue
            since = item.at if since is None else since
            longest = max(longest, item.at - since)
    return longest
