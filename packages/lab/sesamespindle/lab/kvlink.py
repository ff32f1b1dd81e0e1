"""Export and import of KV cache between the stand-in engine and a store host."""

import hashlib

import aiohttp

_PAYLOAD_BYTES = 32


def payload(block_id):
    """Return the bytes that represent the KV cache of a block."""
    return hashlib.blake2b(block_id.encode(), digest_size=_PAYLOAD_BYTES).digest()


async def export(session, url, ids):
    """Write the blocks that the store host lacks as one segment, then commit it.

    The commit comes last, so that nobody reads a segment that is only partly written.
    Errors end the export without an exception.
    """
    try:
        found = await _post(session, f"{url}/lookup", {"ids": ids})
        missing = list(ids[found["blocks"] :])
        if not missing:
            return
        created = await _post(session, f"{url}/segments", {"ids": missing})
        name = created["name"]
        data = b"".join(payload(block_id) for block_id in missing)
        async with session.put(f"{url}/segments/{name}/data", data=data) as answer:
            answer.raise_for_status()
        checksum = hashlib.sha256(data).hexdigest()
        await _post(session, f"{url}/segments/{name}/commit", {"checksum": checksum})
    except (TimeoutError, aiohttp.ClientError, ValueError):
        return


async def fetch(session, url, ids, reused, compute_blocks_per_second):
    """Fetch the blocks that follow the cached ones from a store host.

    Nothing is fetched if prefill is expected to be faster than the link. Data that
    does not match its length or checksum is not used.

    Parameters
    ----------
    ids : sequence of str
        The block ids of the whole prompt.
    reused : int
        The number of blocks that are already cached.
    compute_blocks_per_second : float
        The engine's prefill rate.

    Returns
    -------
    int
        The number of blocks fetched past the cached ones; 0 after an error.
    """
    try:
        found = await _post(session, f"{url}/lookup", {"ids": ids})
        importable_blocks = found["blocks"] - reused
        if importable_blocks <= 0 or not _link_is_faster(
            found, importable_blocks, compute_blocks_per_second
        ):
            return 0
        blocks = 0
        for segment in found["segments"]:
            blocks += await _fetch_segment(session, url, segment)
        return max(0, min(blocks, found["blocks"]) - reused)
    except (TimeoutError, aiohttp.ClientError, ValueError):
        return 0


def _link_is_faster(found, blocks, compute_blocks_per_second):
    waiting = 1 + found["link_waiting"]
    size = sum(len(item["ids"]) for item in found["segments"]) * found["block_bytes"]
    link_seconds = waiting * size / found["link_bytes_per_second"]
    return link_seconds < blocks / compute_blocks_per_second


async def _fetch_segment(session, url, segment):
    async with session.get(f"{url}/segments/{segment['name']}/data") as answer:
        answer.raise_for_status()
        data = await answer.read()
    is_complete = len(data) == segment["length"]
    if not is_complete or hashlib.sha256(data).hexdigest() != segment["checksum"]:
        raise ValueError("The segment's data does not match its length or checksum.")
    return len(segment["ids"])


async def _post(session, url, value):
    async with session.post(url, json=value) as answer:
        answer.raise_for_status()
        return await answer.json()
