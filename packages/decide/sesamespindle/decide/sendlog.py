"""Texts that explain the choice of a target, for the log and for callers."""

from sesamespindle.decide import placement


def explain(configuration, flight, row, place, replaced, limit, now):
    """Return the inputs of the choice of a target, for the log.

    Parameters
    ----------
    configuration : routes.Configuration
        The active configuration.
    flight : flights.Flight
        The request.
    row : world.TargetRow
        The target that was chosen.
    place : promptplacement.Place or None
        The placement of a prompt; None for a call to a plain service.
    replaced : weights.Replacement or None
        What superseded the weights that the prompt is to run on.
    limit : str
        The limit that the target has named, as text.
    now : datetime.datetime
        The current time.
    """
    text = (
        f"Configuration {configuration.version}, route {flight.route.name}, "
        f"reported load {row.reported_load}, {limit}, "
        f"{row.running_here} in flight from here, "
        f"fingerprint {flight.fingerprint or 'unknown'}"
    )
    if place is None:
        return text + "."
    request = flight.request
    fetched = sum(
        part.tokens
        for part, address in zip(
            request.prompt, place.transfers.fetch_from, strict=False
        )
        if address
    )
    saved = sum(address is not None for address in place.transfers.save_to)
    queued = placement.queue_seconds(row, now) * 1000
    return (
        f"{text}, parts {' '.join(flight.parts) or 'none'}, "
        f"context {request.affinity or 'none'}, "
        f"{'the preferred engine' if place.at_preferred_engine else 'another engine'}, "
        f"{_describe_version(flight.version, replaced, now)}, "
        f"{request.prompt_tokens} tokens, "
        f"{fetched} to fetch, {saved} parts to save, {queued:.0f} ms expected wait."
    )


def explain_repeat(flight):
    """Return what a send that isn't the first of its request follows, for the log."""
    if flight.last_ending is None:
        return ""
    return f" Sent again after {flight.last_ending.value}."


def describe_targets(rows, entries, limited, resting, now):
    """Return a summary of a service's targets, for the message of a refusal.

    Parameters
    ----------
    rows : list of world.TargetRow
        The targets of the service.
    entries : int
        The number of live entry hosts.
    limited : int
        How many of the targets name a limit.
    resting : int
        How many of them rest.
    now : datetime.datetime
        The current time.
    """
    usable = sum(row.usable(now) for row in rows)
    heard = [now - row.heard_at for row in rows if row.heard_at is not None]
    last_heard = f"{min(heard).total_seconds():.2f} s ago" if heard else "never"
    running = sum(row.running_here for row in rows)
    return (
        f"Of {len(rows)} targets {usable} may be used, "
        f"{limited} name a limit, {resting} rest, any was last heard {last_heard}; "
        f"{running} requests are in flight from here, {entries} entries are live."
    )


def _describe_version(version, replaced, now):
    """Return a send's weight version, and how long ago it was superseded."""
    text = f"version {version}"
    if replaced is None:
        return text
    return f"{text}, replaced by {replaced.version} {replaced.describe_age(now)} ago"
