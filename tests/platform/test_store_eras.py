"""The client of the store, while the store comes back from an older copy."""

import asyncio
import contextlib
import datetime

import places
import pytest
import standins
import standinstore

from sesamespindle.decide import revisions
from sesamespindle.platform import objects, storelinks
from sesamespindle.wire import platform

SECOND = datetime.timedelta(seconds=1)


@contextlib.asynccontextmanager
async def client_of_store(era=1):
    """Yield a client and a store that has an object, and tells its era unless it's 0.

    What is written next is lost when the store is restored.
    """
    address = f"127.0.0.1:{standins.free_ports(1)[0]}"
    async with standinstore.Store(address) as store, storelinks.StoreLinks() as links:
        store.era = era
        await store.put("config", "main", {"Version": 1})
        store.keep_copy()
        yield objects.ObjectClient(links, f"http://{address}"), store


def test_an_answer_of_an_earlier_era_is_dropped(go):
    """Guards against late answers that show what the store no longer has."""

    async def play():
        async with client_of_store() as (client, store):
            client.raise_era(2)
            with pytest.raises(objects.LostAnswerError):
                await client.list("config")
            store.restore()
            listing = await client.list("config")
            assert listing.revision == places.at(2, 2)

    go(play())


@pytest.mark.parametrize("status", [404, 409, 410])
def test_every_answer_tells_the_era_whatever_its_status(go, status):
    async def play():
        async with client_of_store() as (client, store):
            [item] = (await client.list("config")).objects
            await store.put("config", "main", {"Version": 2})
            at_copy = item.revision
            store.restore()
            with contextlib.suppress(Exception):
                match status:
                    case 404:
                        await client.get("config", "other")
                    case 409:
                        await client.write("config", "main", {}, revisions.NEVER)
                    case 410:
                        await client.watch("config", places.at(9, 1), SECOND)
            assert client.era == 2
            assert at_copy.era == 1

    go(play())


def test_a_watch_that_waits_across_a_restore_proves_nothing(go):
    """Guards against a watch answered by changes at numbers given out again."""

    async def play():
        async with client_of_store() as (client, store):
            await store.put("config", "main", {"Version": 2})
            known = (await client.list("config")).revision
            waiting = asyncio.create_task(client.watch("config", known, 9 * SECOND))
            async with asyncio.timeout(5):
                while not store.waiting_by_kind["config"]:
                    await asyncio.sleep(0.01)
            store.restore()
            await store.advance(3)
            await store.put("config", "main", {"Version": 3})
            with pytest.raises(objects.EraEndedError):
                await waiting

    go(play())


def test_a_write_at_a_number_given_out_again_is_not_taken_for_done(go):
    """Guards against a condition that other content at the same number fulfils."""

    async def play():
        async with client_of_store() as (client, store):
            await store.put("leases", "rollout", {"holder": "a"})
            found = await client.get("leases", "rollout")
            store.restore()
            await store.put("leases", "rollout", {"holder": "b"})
            with pytest.raises(platform.PlatformUnavailableError):
                await client.write("leases", "rollout", {"holder": "a"}, found.revision)
            with pytest.raises(platform.PlatformUnavailableError):
                await client.write("leases", "rollout", {"holder": "a"}, found.revision)

    go(play())


def test_an_object_created_across_a_restore_is_not_taken_for_created(go):
    async def play():
        async with client_of_store() as (client, store):
            await client.list("config")
            store.restore()
            with pytest.raises(platform.PlatformUnavailableError):
                await client.write("leases", "rollout", {}, revisions.NEVER)

    go(play())


def test_a_list_whose_pages_span_two_eras_is_read_again(go):
    """Guards against a list of which one part is from before a restore."""

    async def play():
        async with client_of_store() as (client, store):
            for number in range(3):
                await store.put("servers", f"desk-{number}", {})
            store.page_size = 2
            pages = []

            def restore_after_the_first_page(response):
                pages.append(response)
                if len(pages) == 1:
                    store.restore()

            store.on_list = restore_after_the_first_page
            listing = await client.list("servers")
            assert listing.objects == ()
            assert listing.revision == places.at(2, 2)

    go(play())


def test_answers_without_an_era_belong_to_the_present_one(go):
    """Guards against a store of earlier pages that no host could read."""

    async def play():
        async with client_of_store(era=0) as (client, _store):
            assert (await client.list("config")).revision == places.at(2)
            client.raise_era(3)
            assert (await client.list("config")).revision == places.at(2, 3)

    go(play())


@pytest.mark.parametrize("told", ["", "-1", "1.5", "x", str(2**40)])
def test_an_invalid_era_changes_nothing(go, told):
    async def play():
        async with client_of_store() as (client, store):
            await client.list("config")
            store.era = told or " "
            assert (await client.list("config")).revision == places.at(2, 1)

    go(play())
