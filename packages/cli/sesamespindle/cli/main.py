"""The `sesamespindle` command for operators and callers."""

import asyncio
import json
import pathlib
import sys
import typing

import aiohttp
import cyclopts

from sesamespindle.cli import changes, context, explain, outcomes, sending, timeline
from sesamespindle.declare import documents, findings
from sesamespindle.platform import check
from sesamespindle.wire import head, platform

Json = typing.Annotated[
    bool, cyclopts.Parameter(name="--json", help="Print JSON.", negative="")
]
_POLL_INTERVAL_SECONDS = 0.1

app = cyclopts.App(
    name="sesamespindle",
    help="Declare, apply and operate a sesamespindle fleet.",
    version="0.1.0",
)
app.register_install_completion_command()


@app.command
def validate(folder: pathlib.Path, as_json: Json = False):
    """Check all declarations in a folder and list all errors."""
    entity_by_key = _read_declarations(folder, as_json)
    outcomes.print_result(
        {"findings": [], "documents": len(entity_by_key)},
        as_json,
        f"{len(entity_by_key)} documents, no errors.",
    )


@app.command
def diff(folder: pathlib.Path, as_json: Json = False):
    """Show what applying a folder would change."""
    entity_by_key = _read_declarations(folder, as_json)

    async def run(ctx):
        stored = await head.read(ctx.platform)
        return stored.head

    current = _run(run)
    change = changes.compare(current.digest_by_key, changes.digests(entity_by_key))
    value = {
        "revision": current.revision,
        "added": change.added,
        "changed": change.changed,
        "removed": change.removed,
    }
    text = "\n".join(change.lines()) or "Nothing would change."
    outcomes.print_result(value, as_json, text)


@app.command
def apply(
    folder: pathlib.Path,
    base: pathlib.Path | None = None,
    wait: bool = False,
    timeout: float = 30.0,
    as_json: Json = False,
):
    """Activate the declarations of a folder.

    Parameters
    ----------
    folder
        The folder of YAML files; it contains the complete set.
    base
        A file, kept beside the folder in version control, that records the
        revision that the folder is based on. Updated when the change is accepted.
    wait
        Return only when the new revision is active on all live daemons.
    timeout
        The longest time to wait, in seconds.
    """
    entity_by_key = _read_declarations(folder, as_json)

    async def run(ctx):
        base_head = changes.read_base(base)
        new_head = await changes.apply(ctx.platform, entity_by_key, base_head)
        if base is not None:
            changes.write_base(base, entity_by_key, new_head.revision)
        if wait:
            await _wait_until_active(ctx, new_head.revision, timeout)
        return new_head

    new_head = _run(run)
    outcomes.print_result(
        {"revision": new_head.revision, "waited": wait},
        as_json,
        f"Revision {new_head.revision} is accepted"
        + (" and active on all live daemons." if wait else "."),
    )


@app.command
def status(as_json: Json = False):
    """Show every daemon: its state, revision and requests in flight."""
    answer_by_url = _run(lambda ctx: ctx.ask_daemons("/status"))
    rows = [
        (
            item["name"],
            item["data_centre"],
            "leaving" if item["leaving"] else "live",
            item["revision"],
            item["in_flight"],
            sum(target["usable"] for target in item["targets"]),
        )
        for item in sorted(answer_by_url.values(), key=lambda item: item["name"])
    ]
    headings = ("ENTRY", "DATA CENTRE", "STATE", "REVISION", "IN FLIGHT", "TARGETS")
    outcomes.print_result(
        list(answer_by_url.values()), as_json, outcomes.table(headings, rows)
    )


@app.command
def entries(entry: str = "", as_json: Json = False):
    """Show which entries the account of SESAMESPINDLE_API_KEY should use."""

    async def run(ctx):
        urls = await ctx.entry_urls(entry)
        return await sending.list_entries(ctx.session, urls[0], ctx.api_key)

    value = _run(run)
    rows = [
        (item["name"], item["data_centre"], item["url"]) for item in value["entries"]
    ]
    headings = ("ENTRY", "DATA CENTRE", "URL")
    outcomes.print_result(value, as_json, outcomes.table(headings, rows))


@app.command
def contracts(as_json: Json = False):
    """Show every active contract and the requests that its account runs now."""
    answer_by_url = _run(lambda ctx: ctx.ask_daemons("/status"))
    running = {}
    row_by_name = {}
    for answer in answer_by_url.values():
        for account in answer["accounts"]:
            row_by_name[account["name"]] = account
            used = running.setdefault(account["name"], [0, 0])
            used[0] += account["running_here"]["prompts"]
            used[1] += account["running_here"]["calls"]
    rows = [
        (
            name,
            f"{running[name][0]}/{row['concurrency']}",
            f"{running[name][1]}/{row['call_concurrency']}",
            row["priority"],
        )
        for name, row in sorted(row_by_name.items())
    ]
    value = [
        row | {"prompts_running": running[name][0], "calls_running": running[name][1]}
        for name, row in sorted(row_by_name.items())
    ]
    headings = ("ACCOUNT", "PROMPTS", "CALLS", "PRIORITY")
    outcomes.print_result(value, as_json, outcomes.table(headings, rows))


@app.command
def drain(name: str, as_json: Json = False):
    """Take a target or an entry out of service; requests in flight are completed."""

    async def run(ctx):
        answer_by_url = await ctx.ask_daemons("/status")
        for url, answer in answer_by_url.items():
            if answer["name"] == name:
                return await ctx.ask_daemon(url, "/drain", method="POST")
        path = f"/targets/{name}/drain"
        for url in answer_by_url:
            drained = await ctx.ask_daemon(url, path, method="POST")
            if drained:
                return drained
        raise outcomes.CommandError(
            f"There is no entry or target {name!r}.", outcomes.Exit.FINDINGS
        )

    value = _run(run)
    outcomes.print_result(value, as_json, f"{name} is leaving.")


@app.command
def send(
    model: str,
    prompt: str,
    max_tokens: int = 64,
    entry: str = "",
    as_json: Json = False,
):
    """Send one prompt as a caller does, and show the answer."""

    async def run(ctx):
        urls = await ctx.entry_urls(entry)
        chosen = await sending.choose_entry(ctx.session, urls, ctx.api_key)
        return await sending.send_prompt(
            ctx.session, chosen, ctx.api_key, model, prompt, max_tokens
        )

    sent = _run(run)
    value = {
        "entry": sent.entry,
        "target": sent.target,
        "text": sent.text,
        "first_token_seconds": sent.first_token_seconds,
        "usage": sent.usage,
    }
    outcomes.print_result(value, as_json, sent.text)


@app.command(name="timeline")
def show_timeline(page: pathlib.Path | None = None, as_json: Json = False):
    """Merge the event logs of all daemons into one ordered timeline.

    Parameters
    ----------
    page
        Write the timeline as an HTML page to this file.
    """
    answer_by_url = _run(lambda ctx: ctx.ask_daemons("/timeline"))
    merged = timeline.merge(answer["events"] for answer in answer_by_url.values())
    if page is not None:
        page.write_text(timeline.as_page(merged), "utf-8")
        return
    outcomes.print_result(merged, as_json, timeline.as_text(merged))


async def _wait_until_active(ctx, revision, timeout):
    try:
        async with asyncio.timeout(timeout):
            while not await _is_active(ctx, revision):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    except TimeoutError as error:
        raise outcomes.CommandError(
            f"Revision {revision} is accepted, but not yet active on all live daemons.",
            outcomes.Exit.TIMED_OUT,
        ) from error


async def _is_active(ctx, revision):
    """Return whether all live daemons themselves report at least a revision."""
    answer_by_url = await ctx.ask_daemons("/status")
    active_revision_by_name = {
        item["name"]: item["revision"] for item in answer_by_url.values()
    }
    live = {
        row["name"]
        for item in answer_by_url.values()
        for row in item["entries"]
        if row["state"] == "live"
    }
    return bool(active_revision_by_name) and all(
        active_revision_by_name.get(name, 0) >= revision
        for name in live | active_revision_by_name.keys()
    )


@app.command(name="explain")
def explain_request(request: str, logs: list[pathlib.Path], as_json: Json = False):
    """Show the daemons' decisions on a request and the likely cause of its outcome.

    Parameters
    ----------
    request
        The request's id, or its beginning.
    logs
        Log files of any daemons; other lines in them are skipped.
    """
    try:
        lines = explain.read(logs)
    except OSError as error:
        outcomes.fail(outcomes.CommandError(error, outcomes.Exit.USAGE))
    explanation = explain.explain(lines, request)
    value = {
        "request": explanation.request,
        "decisions": [str(line) for line in explanation.decisions],
        "beside": [str(line) for line in explanation.nearby],
        "cause": explanation.cause,
    }
    outcomes.print_result(value, as_json, str(explanation))
    if not explanation.decisions:
        sys.exit(int(outcomes.Exit.FINDINGS))


@app.command(name="check-deploy")
def check_deploy(
    settings: pathlib.Path | None = None,
    configuration: pathlib.Path | None = None,
    deploy: pathlib.Path | None = None,
    parts: pathlib.Path | None = None,
):
    """Check a host's settings, a configuration and what is deployed with them.

    Parameters
    ----------
    settings
        The settings file that the platform writes for a process.
    configuration
        The operator's configuration, as JSON.
    deploy
        The deploy file, as TOML.
    parts
        The operator's choice of parts for hard load, as YAML.
    """
    found = check.check(settings, configuration, deploy, parts)
    for finding in found:
        print(finding)
    if found:
        sys.exit(int(outcomes.Exit.FINDINGS))
    print("No errors found.")


def _read_declarations(folder, as_json):
    try:
        return documents.read_folder(folder)
    except findings.FindingsError as error:
        if as_json:
            items = [
                {
                    "file": item.file,
                    "line": item.line,
                    "column": item.column,
                    "code": item.code,
                    "message": item.message,
                }
                for item in error.findings
            ]
            print(json.dumps({"findings": items}, indent=2))
        else:
            print(error)
        sys.exit(int(outcomes.Exit.FINDINGS))


def _run(function):
    """Run a command's coroutine; on an error, print one line and exit."""

    async def run():
        async with context.open_context() as ctx:
            return await function(ctx)

    try:
        return asyncio.run(run())
    except outcomes.CommandError as error:
        outcomes.fail(error)
    except (platform.PlatformUnavailableError, aiohttp.ClientError) as error:
        outcomes.fail(outcomes.CommandError(f"No answer. {error}", outcomes.Exit.AWAY))


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
