"""Gateways of the former release and of this one side by side, replaced one by one."""

import io
import signal
import subprocess
import tarfile
import threading
import time
from pathlib import Path

import pytest

from .storefleet import APPLY_SECONDS, REVOKE_SECONDS, StoreFleet, make_target

# Last commit of the former release.
FORMER_RELEASE = "d3b1d3f"
REPOSITORY = Path(__file__).parent.parent
COUNT = 4
STOP_SECONDS = 10.0


@pytest.fixture(scope="module")
def former_source(tmp_path_factory):
    """Extract the former release; fails where the history does not have it."""
    command = ["git", "archive", FORMER_RELEASE, "almondglade", "almondgladeplug"]
    archive = subprocess.run(command, cwd=REPOSITORY, capture_output=True, check=False)
    assert archive.returncode == 0, (
        f"the history lacks {FORMER_RELEASE}; a shallow clone does not suffice: "
        f"{archive.stderr.decode()}"
    )
    folder = tmp_path_factory.mktemp("former")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return folder


class Load:
    """Callers that send one request after the other to gateways that are ready.

    Attributes
    ----------
    statuses : list of int
    excluded : set of str
        Gateways that stop.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.key = "key-of-w1"
        self.statuses = []
        self.excluded = set()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(address,), daemon=True)
            for address in fleet.addresses
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self, address):
        while not self._stopped.wait(0.02):
            if address not in self.excluded:
                response = self.fleet.call("/look/1", address, key=self.key)
                self.statuses.append(response.status)


def replace_gateway(fleet, load, index):
    """Stop a gateway and start it with this build."""
    address = fleet.addresses[index]
    load.excluded.add(address)
    time.sleep(0.2)
    process = fleet.processes[index]
    process.send_signal(signal.SIGTERM)
    process.wait(STOP_SECONDS)
    fleet.source_by_address.pop(address, None)
    fleet.processes[index] = fleet._start(address)
    fleet.wait_until_ready()
    load.excluded.discard(address)


def test_a_fleet_keeps_its_promises_while_its_build_is_replaced(
    tmp_path, former_source
):
    with StoreFleet(tmp_path, count=COUNT) as fleet, make_target() as target:
        former = fleet.addresses[:3]
        fleet.source_by_address = dict.fromkeys(former, former_source)
        fleet.list_target("t1", target, slots=8)
        keys = ["key-of-w1", "revoked"]
        fleet.configure_routes(1, keys=keys)
        fleet.start()
        with Load(fleet) as load:
            for index in range(3):
                version = index + 2
                fleet.configure_routes(version, added=[version], keys=keys)
                path = f"/added{version}/1"
                assert fleet.wait_for_statuses(path, 200, APPLY_SECONDS)
                replace_gateway(fleet, load, index)
            cut = fleet.addresses[0]
            fleet.turn_away(cut)
            fleet.configure_routes(9, added=[9], keys=keys[:1])
            revoked_at = time.monotonic()
            assert fleet.wait_for_statuses("/added9/1", 200, REVOKE_SECONDS)
            time.sleep(max(0.0, revoked_at + REVOKE_SECONDS - time.monotonic()))
            seen = [
                fleet.call("/look/1", address, key="revoked").status
                for address in fleet.addresses
            ]
        assert set(seen) <= {401, 503}
        failed = [status for status in load.statuses if status != 200]
        assert len(failed) <= len(load.statuses) / 100, failed
        assert all("malformed" not in fleet.log(a) for a in fleet.addresses)
