"""A benchmark that replays one trace under several routing policies."""

import pathlib

from sesamespindle.lab import fleet, measures, replay, report, traces

ROUTINGS = ("round_robin", "affinity", "least_load", "expected_first_token")
_SEED = 20261207
_PREFILL_RATE = 30_000.0
_REPLAY_SPEED_BY_EXAMPLE = {"umoja": 240.0, "klantstem": 1200.0}
_LINK_BYTES_PER_SECOND_BY_EXAMPLE = {"umoja": 400_000_000.0, "klantstem": 100_000_000.0}
_ENGINES_BY_EXAMPLE = {"umoja": 5, "klantstem": 9}
_FOLDER = pathlib.Path(".run")


async def run(example, routings, show):
    """Replay an example's trace under each routing policy and write the report.

    The stated outcomes of the example are checked only if `routings` contains every
    policy of `ROUTINGS`, as they compare policies with each other.

    Parameters
    ----------
    example : str
        The name of an example, a key of `traces.SHAPE_BY_NAME`.
    routings : sequence of str
        The routing policies, each replayed on a new fleet.
    show : callable
        Receives each line of progress.

    Returns
    -------
    bool
        Whether all outcomes that were checked were met.
    """
    arrivals = traces.make(traces.SHAPE_BY_NAME[example], _SEED)
    runs = []
    for routing in routings:
        runs.append(await _replay(example, routing, arrivals, show))
    summaries = [measures.summarize(item) for item in runs]
    summaries.append(measures.floor(runs[-1], _PREFILL_RATE))
    summary_by_name = {item.name: item for item in summaries}
    outcomes = pathlib.Path("examples") / "outcomes" / f"{example}.yaml"
    checked_outcomes = []
    if set(routings) == set(ROUTINGS):
        checked_outcomes = measures.judge(outcomes, summary_by_name)
    show(f"{example}, seed {_SEED}, {len(arrivals)} arrivals:")
    print(report.text_table(summaries))
    for item, measured, held in checked_outcomes:
        print(f"{'held  ' if held else 'MISSED'} {item['name']}: {measured:.2f}")
    page = _FOLDER / f"bench-{example}.html"
    page.write_text(report.page(example, runs, summaries, checked_outcomes), "utf-8")
    show(f"The report is in {page}.")
    return all(held for _, _, held in checked_outcomes)


async def _replay(example, routing, arrivals, show):
    link_bytes_per_second = _LINK_BYTES_PER_SECOND_BY_EXAMPLE[example]
    plan = fleet.Plan(
        example=pathlib.Path("examples") / example,
        folder=_FOLDER / f"bench-{routing}",
        engines=_ENGINES_BY_EXAMPLE[example],
        store_hosts=2,
        services=5,
        data_centres=3,
        engine_options=[
            "--prefill-rate",
            str(_PREFILL_RATE),
            "--cache-blocks",
            "1200",
        ],
        store_options=["--link-bytes-per-second", str(link_bytes_per_second)],
        settings={"policy": {"routing": routing}},
    )
    async with fleet.Fleet(plan) as running:
        trace_replay = replay.Replay(
            running, arrivals, _REPLAY_SPEED_BY_EXAMPLE[example], link_bytes_per_second
        )
        return await trace_replay.run(routing, show)
