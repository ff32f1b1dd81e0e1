"""What the log and callers are told of a choice, with the inputs that decided it."""

from sesamespindle.decide import placement


def explain(configuration, flight, row, place, replaced, now):
    """Return the inputs of a choice, for the log.

    Parameters
    ----------
    configuration : routes.Configuration
        The one in force.
    row : world.TargetRow
        The target that was chosen.
    place : promptplacing.Place or None
        None for a call to a plain service.
    replaced : weights.Replacement or None
        What has replaced the weights that the prompt is to run on.
    """
    text = (
        f"Configuration {configuration.version}, route {flight.route.name}, "
        f"load {row.reported_load}, {row.running_here} from here, "
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
        f"{text}, context {request.affinity or 'none'}, "
        f"{'at home' if place.at_home else 'away from home'}, "
        f"{_describe_version(flight.version, replaced, now)}, "
        f"{request.prompt_tokens} tokens, "
        f"{fetched} to fetch, {saved} parts to save, {queued:.0f} ms queued."
    )


def describe_targets(rows, entries, now):
    """Return what is known of a service's targets, for the caller's log."""
    usable = sum(row.usable(now) for row in rows)
    running = sum(row.running_here for row in rows)
    return (
        f"Of {len(rows)} targets {usable} may be used; "
        f"{running} requests run from here, {entries} entries."
    )


def _describe_version(version, replaced, now):
    """Return what weights a send is to run on, and since when they're replaced."""
    text = f"version {version}"
    if replaced is None:
        return text
    return f"{text}, replaced by {replaced.version} {replaced.describe_age(now)} ago"
