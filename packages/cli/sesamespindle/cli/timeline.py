"""Merging all daemons' event logs into one ordered timeline."""

import datetime
import html

# A stamp of the hybrid logical clock is a time in milliseconds, followed by a counter
# of this many bits.
_COUNTER_BITS = 16
_PAGE = """<!doctype html>
<meta charset="utf-8">
<title>sesamespindle timeline</title>
<style>
body {{ font: 13px sans-serif; margin: 1.5em; }}
table {{ border-collapse: collapse; }}
td, th {{ border-bottom: 1px solid #ddd; padding: 2px 10px; text-align: left; }}
td.at {{ font-family: monospace; white-space: nowrap; }}
tr.marked td {{ background: #fff3e0; }}
</style>
<h1>Timeline</h1>
<p>{count} events of {daemons} daemons, in causal order.
Filter: <input id="f" oninput="filter()"></p>
<table><thead><tr><th>at (UTC)</th>{headings}</tr></thead>
<tbody>
{rows}
</tbody></table>
<script>
function filter() {{
  const wanted = document.getElementById("f").value;
  for (const row of document.querySelectorAll("tbody tr"))
    row.hidden = !row.textContent.includes(wanted);
}}
</script>
"""
_HIGHLIGHTED_KINDS = {
    "refuse",
    "resume",
    "entry_dead",
    "target_failed",
    "target_leaving",
}


def merge(logs):
    """Return the events of several logs in causal order, without duplicates."""
    event_by_key = {
        (item["stamp"], item["daemon"]): item for log in logs for item in log
    }
    return [event_by_key[key] for key in sorted(event_by_key)]


def time_of(event):
    """Return the wall-clock time of an event in UTC, from its stamp."""
    seconds = (event["stamp"] >> _COUNTER_BITS) / 1000
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC)


def as_text(merged):
    """Return the timeline as text, one line for each event."""
    lines = [
        f"{time_of(item):%H:%M:%S.%f} {item['daemon']:<12} {item['kind']:<16} "
        f"{item['subject']} {item['detail']}".rstrip()
        for item in merged
    ]
    return "\n".join(lines)


def as_page(merged):
    """Return the timeline as an HTML page with one column for each daemon."""
    daemons = sorted({item["daemon"] for item in merged})
    headings = "".join(f"<th>{html.escape(name)}</th>" for name in daemons)
    rows = "\n".join(_page_row(item, daemons) for item in merged)
    return _PAGE.format(
        count=len(merged),
        daemons=len(daemons),
        headings=headings,
        rows=rows,
    )


def _page_row(item, daemons):
    text = html.escape(f"{item['kind']} {item['subject']} {item['detail']}")
    cells = "".join(
        f"<td>{text if name == item['daemon'] else ''}</td>" for name in daemons
    )
    marked = " class=marked" if item["kind"] in _HIGHLIGHTED_KINDS else ""
    at = f"{time_of(item):%H:%M:%S.%f}"
    return f"<tr{marked}><td class=at>{at}</td>{cells}</tr>"
