"""The configuration version never decreases, and only valid documents are in force."""

import asyncio
import gc
import itertools
import time

import orjson
import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from almondglade.configuration import MAX_RECENT_DOCUMENTS, ConfigurationStore
from almondglade.declarations import parse_declarations
from bench.fleet import sample_declarations

INVALID_DOCUMENT = b"plans: 7"


def document(number):
    declarations = sample_declarations()
    declarations["data_centres"][f"dc-{number}"] = {}
    return orjson.dumps(declarations)


OFFERS = st.lists(
    st.tuples(st.integers(1, 9), st.booleans(), st.sampled_from(["platform", "peer"]))
)


@given(OFFERS)
def test_the_newest_valid_version_is_in_force_for_any_sequence_of_offers(offers):
    store, versions = ConfigurationStore(), []
    store.subscribe(lambda update: versions.append(update.version))
    newest = rejected = 0
    for version, valid, source in offers:
        text = document(version) if valid else INVALID_DOCUMENT
        store.offer(version, text, source)
        if version > max(newest, rejected):
            newest, rejected = (version, rejected) if valid else (newest, version)
        assert store.version == newest
        assert store.rejected_version == rejected
        if newest:
            assert f"dc-{newest}" in store.declarations.data_centres
    assert versions == sorted(set(versions))
    assert len(store._recent_documents) <= MAX_RECENT_DOCUMENTS


def test_a_rejected_document_and_an_older_platform_version_are_in_the_snapshot():
    store = ConfigurationStore()
    store.offer(5, document(5), "platform")
    store.offer(6, INVALID_DOCUMENT, "platform")
    assert store.snapshot()["rejected_version"] == 6
    assert store.snapshot()["problems"]
    store.offer(2, document(2), "platform")
    assert store.snapshot()["platform_behind_at"] == 2
    assert store.version == 5
    store.offer(5, document(1), "platform")
    assert "two documents" in store.snapshot()["problems"][0]


async def _offer_concurrently(store, versions):
    await asyncio.gather(
        *(store.offer_in_thread(v, document(v), "peer") for v in versions)
    )


def test_concurrent_offers_leave_the_newest_version_in_force():
    for versions in itertools.permutations((3, 4, 5)):
        store = ConfigurationStore()
        asyncio.run(_offer_concurrently(store, versions))
        assert store.version == 5


@pytest.mark.parametrize(
    "serialise", [orjson.dumps, lambda raw: yaml.dump(raw).encode()]
)
def test_parsing_time_grows_no_faster_than_document_size(serialise):
    def parse_seconds(count):
        raw = sample_declarations()
        raw["workspaces"] = {f"ws-{n}": {"plan": "gold"} for n in range(count)}
        text = serialise(raw)
        gc.collect()
        gc.disable()
        try:
            started = time.process_time()
            parse_declarations(text)
            return time.process_time() - started
        finally:
            gc.enable()

    small, large = (min(parse_seconds(n) for _ in range(5)) for n in (500, 8_000))
    assert large < 16 * 3 * small
