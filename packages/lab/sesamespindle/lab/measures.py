"""Measures of a replay, and checks of them against stated outcomes."""

import dataclasses

import hdrh.histogram
import yaml

# Range and precision of the histograms of times.
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Summary:
    """The measures of one replay, or of one account in it.

    Attributes
    ----------
    name : str
        The routing policy, the account, or ``floor``.
    prompts, answered : int
        Prompts sent, and those that got a complete answer.
    refused_tries : int
        Attempts beyond the first of each prompt.
    p50_ms, p95_ms, p99_ms : float
        Percentiles of the time to first token of answered prompts, in ms.
    share_computed : float
        Prefilled tokens as a share of all prompt tokens, over answered prompts.
    never_seen, evicted, moved : float
        The parts of `share_computed` by cause: tokens that no earlier prompt of the
        context had; tokens evicted from the cache; tokens of a context that was sent
        to another engine than before.
    link_peak : float
        The highest share of a store host's link in use in one sample.
    seconds_over_90 : float
        The longest time without interruption, in seconds, that a store host's link
        was in use by more than 90%.
    calls_p95_ms : float
        The 95th percentile of the duration of calls, in ms; 0 without calls.
    requests_ratio : float
        Requests that the engines received per prompt.
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
    """Return an HDR histogram, in milliseconds, of times in seconds."""
    time_histogram = hdrh.histogram.HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
    for value in seconds:
        time_histogram.record_value(max(1, min(_MAX_MS, round(value * 1000))))
    return time_histogram


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
    computed_by_cause = _computed_by_cause(answered)
    return Summary(
        account or run.name,
        len(prompts),
        len(answered),
        sum(item.attempts for item in prompts) - len(prompts),
        times.get_value_at_percentile(50),
        times.get_value_at_percentile(95),
        times.get_value_at_percentile(99),
        sum(item.computed_tokens for item in answered) / total,
        computed_by_cause["never_seen"] / total,
        computed_by_cause["evicted"] / total,
        computed_by_cause["moved"] / total,
        max((item.share for item in run.links), default=0.0),
        _longest_above(run.links, 0.9),
        call_times.get_value_at_percentile(95) if calls else 0.0,
        run.target_requests / (len(prompts) or 1),
    )


def floor(run, prefill_rate):
    """Return the best possible `Summary`: no token of a context is computed twice.

    `prefill_rate` is in tokens per second.
    """
    prompts = [item for item in run.outcomes if item.arrival.kind == "prompt"]
    times = histogram(item.never_seen_tokens / prefill_rate for item in prompts)
    total = sum(item.arrival.prompt_tokens for item in prompts) or 1
    never_seen = sum(item.never_seen_tokens for item in prompts) / total
    return Summary(
        "floor",
        len(prompts),
        len(prompts),
        0,
        times.get_value_at_percentile(50),
        times.get_value_at_percentile(95),
        times.get_value_at_percentile(99),
        never_seen,
        never_seen,
        0.0,
        0.0,
        0.0,
        0.0,
        0.0,
        1.0,
    )


def judge(path, summary_by_name):
    """Check the outcomes that a YAML file states.

    An outcome names a measure of one run and its bounds, ``at_most`` and ``at_least``.
    With ``relative_to`` the measure is divided by the same measure of another run.

    Returns
    -------
    list of tuple
        The outcome, the measured value, and whether it is within the bounds.
    """
    stated = yaml.safe_load(path.read_text("utf-8"))["outcomes"]
    return [_check_outcome(item, summary_by_name) for item in stated]


def _check_outcome(item, summary_by_name):
    measured = getattr(summary_by_name[item["of"]], item["measure"])
    if "relative_to" in item:
        base = getattr(summary_by_name[item["relative_to"]], item["measure"])
        measured = measured / base if base else float("inf")
    held = measured <= item["at_most"] if "at_most" in item else True
    if "at_least" in item:
        held = held and measured >= item["at_least"]
    return item, measured, held


def _computed_by_cause(answered):
    """Return the computed tokens by cause.

    ``never_seen``: no earlier prompt of the context had them. ``moved``: the context
    was last at another target. ``evicted``: all others.
    """
    computed_by_cause = {"never_seen": 0, "evicted": 0, "moved": 0}
    last_target = {}
    for item in answered:
        context = item.arrival.context
        never_seen = min(item.never_seen_tokens, item.computed_tokens)
        computed_by_cause["never_seen"] += never_seen
        recomputed = item.computed_tokens - never_seen
        moved = last_target.get(context, item.target) != item.target
        computed_by_cause["moved" if moved else "evicted"] += recomputed
        last_target[context] = item.target
    return computed_by_cause


def _longest_above(links, threshold):
    """Return the longest time, in seconds, that a link stayed above a share of use."""
    longest = 0.0
    for name in {item.store_host for item in links}:
        above_since = None
        for item in (sample for sample in links if sample.store_host == name):
            if item.share <= threshold:
                above_since = None
                continue
            above_since = item.at if above_since is None else above_since
            longest = max(longest, item.at - above_since)
    return longest
