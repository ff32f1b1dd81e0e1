"""The report of replays, as a table for the terminal and as an HTML page."""

import html

from sesamespindle.cli import outcomes
from sesamespindle.lab import measures

_HEADINGS = (
    "ROUTING", "PROMPTS", "ANSWERED", "REFUSED", "P50 MS", "P95 MS", "P99 MS",
    "COMPUTED", "NEVER SEEN", "EVICTED", "MOVED", "LINK PEAK", "S OVER 90%",
    "CALLS P95", "REQUESTS",
)  # fmt: skip
_COLOURS = ("#c0392b", "#e67e22", "#8e44ad", "#2471a3", "#117a65")
# Size of a plot, in pixels.
_WIDTH, _HEIGHT = 720, 260
_PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
_PAGE = """<!doctype html>
<meta charset="utf-8">
<title>sesamespindle bench: {title}</title>
<style>
body {{ font: 14px sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; margin: 1em 0; }}
td, th {{ border-bottom: 1px solid #ccc; padding: 3px 10px; text-align: right; }}
.missed {{ color: #c0392b; }}
</style>
<h1>{title}</h1>
<h2>Side by side</h2>
{summaries}
<h2>Stated outcomes</h2>
{judged}
<h2>Time to first token by percentile</h2>
{percentiles}
<h2>Use of the store hosts' links over time, last run</h2>
{links}
<h2>By account, last run</h2>
{accounts}
"""


def text_table(summaries):
    """Return `measures.Summary` objects as an aligned text table."""
    return outcomes.table(_HEADINGS, [_cells(item) for item in summaries])


def page(title, runs, summaries, judged):
    """Return the report as one HTML page that loads nothing else.

    Parameters
    ----------
    title : str
        The name of the example.
    runs : list of replay.Run
        The replays, one for each routing policy.
    summaries : list of measures.Summary
        The rows of the comparison.
    judged : list of tuple
        The checked outcomes, as `measures.judge` returns them.
    """
    accounts = sorted({item.arrival.account for item in runs[-1].outcomes})
    by_account = [measures.summarize(runs[-1], name) for name in accounts]
    return _PAGE.format(
        title=html.escape(title),
        summaries=_html_table(_HEADINGS, [_cells(item) for item in summaries]),
        judged=_outcome_list(judged),
        percentiles=_percentile_plot(runs),
        links=_link_plot(runs[-1]),
        accounts=_html_table(_HEADINGS, [_cells(item) for item in by_account]),
    )


def _cells(item):
    return (
        item.name,
        item.prompts,
        item.answered,
        item.refused_tries,
        f"{item.p50_ms:.0f}",
        f"{item.p95_ms:.0f}",
        f"{item.p99_ms:.0f}",
        f"{item.share_computed:.1%}",
        f"{item.never_seen:.1%}",
        f"{item.evicted:.1%}",
        f"{item.moved:.1%}",
        f"{item.link_peak:.0%}",
        f"{item.seconds_over_90:.1f}",
        f"{item.calls_p95_ms:.0f}",
        f"{item.requests_ratio:.2f}",
    )


def _html_table(headings, rows):
    head = "".join(f"<th>{html.escape(str(cell))}</th>" for cell in headings)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _outcome_list(judged):
    rows = [
        f"<li{'' if held else ' class=missed'}>{html.escape(item['name'])}: "
        f"{measured:.2f}, {'held' if held else 'missed'}</li>"
        for item, measured, held in judged
    ]
    return f"<ul>{''.join(rows)}</ul>"


def _percentile_plot(runs):
    series = []
    for run in runs:
        time_histogram = measures.histogram(
            item.first_token_seconds
            for item in run.outcomes
            if item.answered and item.arrival.kind == "prompt"
        )
        values = [time_histogram.get_value_at_percentile(at) for at in _PERCENTILES]
        series.append((run.name, list(enumerate(values))))
    return _plot(series, "ms, at percentiles " + ", ".join(map(str, _PERCENTILES)))


def _link_plot(run):
    names = sorted({item.store_host for item in run.links})
    series = [
        (
            name,
            [
                (item.at, item.share * 100)
                for item in run.links
                if item.store_host == name
            ],
        )
        for name in names
    ]
    return _plot(series, "percent of the link, over seconds")


def _plot(series, label):
    points = [point for _, line in series for point in line]
    if not points:
        return "<p>No data to plot.</p>"
    max_x = max(x for x, _ in points) or 1
    max_y = max(y for _, y in points) or 1
    lines = []
    for index, (name, line) in enumerate(series):
        colour = _COLOURS[index % len(_COLOURS)]
        path = " ".join(
            f"{40 + x / max_x * (_WIDTH - 60):.1f},"
            f"{_HEIGHT - 20 - y / max_y * (_HEIGHT - 40):.1f}"
            for x, y in line
        )
        lines.append(
            f'<polyline points="{path}" fill="none" stroke="{colour}"/>'
            f'<text x="50" y="{20 + 16 * index}" fill="{colour}">'
            f"{html.escape(name)}</text>"
        )
    return (
        f'<svg width="{_WIDTH}" height="{_HEIGHT}">{"".join(lines)}'
        f'<text x="0" y="14">{max_y:.0f}</text></svg><p>{html.escape(label)}</p>'
    )
