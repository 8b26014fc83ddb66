"""When a gateway reads the published state from a peer."""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace

import pytest

from almondglade.catalogue import Catalogue
from almondglade.errors import PeerError
from almondglade.gateway.discovery import MAX_COALESCE_SECONDS
from almondglade.gateway.peerstate import (
    PEER_MARGIN_SECONDS,
    STATE_HEADER,
    PeerStateReader,
    ReaderState,
    parse_state_request,
)


@dataclass
class FakeRegistry:
    """What a gateway has read."""

    catalogue: Catalogue
    position: tuple[int, int]


class RecordingReader(PeerStateReader):
    """Records from which peers it would read."""

    def __init__(self, *args):
        super().__init__(*args)
        self.read_from = []

    def _read(self, position, address):
        self.read_from.append(position.peer)
        self._read_at, self._is_scheduled = self.clock(), False


def play(scenario, is_store_reachable):
    """Run a scenario with a gateway at version 4; return whom it reads from."""

    async def run():
        loop = asyncio.get_running_loop()
        peers = [
            SimpleNamespace(instance=name, address="10.0.0.1", data_centre=data_centre)
            for name, data_centre in (("far", "south"), ("near", "north"))
        ]
        reader = RecordingReader(
            SimpleNamespace(address="10.0.0.9", peer_port=1, data_centre="north"),
            FakeRegistry(Catalogue(4), (1, 10)),
            None,
            lambda: peers,
            lambda: is_store_reachable,
            None,
            loop.time,
        )
        await scenario(reader)
        return reader.read_from

    return asyncio.run(run())


async def wait_long():
    await asyncio.sleep(MAX_COALESCE_SECONDS + 2 * PEER_MARGIN_SECONDS)


def test_a_version_that_the_store_tells_in_time_is_not_read_from_a_peer():
    # In a large fleet readings of the store are up to a pause apart, and every instance
    # would fetch each document from a peer.
    async def scenario(reader):
        for version in range(5, 12):
            reader.record("far", version, (1, 20))
            await asyncio.sleep(MAX_COALESCE_SECONDS / 2)
            reader.registry.catalogue = Catalogue(version)

    assert play(scenario, is_store_reachable=True) == []


def test_a_version_that_the_store_does_not_tell_is_read_from_a_peer():
    async def scenario(reader):
        reader.record("far", 5, (1, 20))
        await wait_long()

    assert play(scenario, is_store_reachable=True) == ["far"]


def test_a_peer_in_the_same_data_centre_is_asked_first():
    async def scenario(reader):
        reader.record("far", 5, (1, 20))
        reader.record("near", 5, (1, 20))
        await wait_long()

    assert play(scenario, is_store_reachable=False) == ["near"]


@pytest.mark.parametrize(("is_reachable", "count"), [(True, 0), (False, 1)])
def test_changes_of_targets_are_read_only_without_the_store(is_reachable, count):
    async def scenario(reader):
        reader.record("near", 4, (1, 20))
        await wait_long()
        reader.record("near", 4, (1, 10))
        await wait_long()

    assert len(play(scenario, is_reachable)) == count


def test_a_later_era_is_ahead_whatever_its_revision():
    async def scenario(reader):
        reader.record("near", 4, (2, 1))
        await wait_long()

    assert play(scenario, is_store_reachable=False) == ["near"]


@pytest.mark.parametrize("text", ["", "1", "1,2", "1,2,x", "1,2,3,4"])
def test_a_malformed_state_of_a_reader_is_refused(text):
    with pytest.raises(PeerError):
        parse_state_request([(STATE_HEADER, text)])


def test_the_state_of_a_reader_is_read_as_it_was_written():
    state = ReaderState((2, 30), 7)
    assert parse_state_request([(STATE_HEADER.lower(), state.encode())]) == state
    assert parse_state_request([("Host", "a")]) is None
