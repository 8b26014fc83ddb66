"""Entries of other writers among those of the targets, all at once."""

import signal
import time

import orjson
import pytest

from almondglade.errors import PlatformError
from almondglade.platform.wire import decode_target

from .storefleet import APPLY_SECONDS, StoreFleet, make_target

ENTRY = {
    "service": "plain",
    "address": "10.0.0.1:8000",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1,
}
NESTED = b"[" * 200_000 + b"]" * 200_000
ODD_FIELDS = [
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:٣"},
    {"address": "10.0.0.1:" + "9" * 5000},
    {"address": "999.1.1.1:80"},
    {"address": "0.0.0.0:80"},
    {"address": "224.0.0.1:80"},
    {"address": "255.255.255.255:80"},
    {"address": "10.0.0.1"},
    {"coldRemainingMs": "nan"},
    {"coldRemainingMs": "inf"},
    {"coldRemainingMs": -1},
    {"coldRemainingMs": 1e300},
    {"slots": 1 << 62},
    {"slots": 0},
    {"slots": True},
    {"sequence": 1 << 63},
    {"sequence": -1},
    {"born": 1 << 63},
    {"service": "x" * 300_000},
    {"zone": "x" * 300_000},
    {"version": "x" * 300_000},
    {"state": "resting"},
    {"zone": None},
]
ODD_BYTES = [
    NESTED,
    b'{"a":' * 100_000,
    b"\xff\xfe\x00",
    b"",
    b"null",
    b"[]",
    orjson.dumps(ENTRY)[:-1] + b',"sequence":' + b"9" * 5000 + b"}",
    orjson.dumps(ENTRY)[:-1] + b',"coldRemainingMs":1e999}',
    orjson.dumps(ENTRY)[:-1] + b',"extra":' + NESTED + b"}",
]


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda fields: str(fields)[:40])
def test_an_entry_beyond_what_targets_write_names_no_target(fields):
    with pytest.raises(PlatformError):
        decode_target("servers/t1", orjson.dumps(ENTRY | fields), 0.0)


@pytest.mark.parametrize("document", ODD_BYTES, ids=lambda document: str(document[:20]))
def test_bytes_that_are_no_entry_name_no_target(document):
    with pytest.raises(PlatformError):
        decode_target("servers/t1", document, 0.0)


def test_a_target_may_have_any_port():
    for port in (1, 65_535):
        entry = ENTRY | {"address": f"10.0.0.1:{port}"}
        assert decode_target("servers/t1", orjson.dumps(entry), 0.0).port == port


def test_odd_entries_stop_neither_the_service_nor_the_reading_of_the_list(tmp_path):
    # Written, replaced and removed all at once, beside a sound target.
    with StoreFleet(tmp_path, count=2) as fleet, make_target() as target:
        fleet.list_target("t1", target)
        fleet.configure_routes(1)
        fleet.start()
        documents = [*ODD_BYTES, *(orjson.dumps(ENTRY | odd) for odd in ODD_FIELDS)]
        for number, document in enumerate(documents):
            fleet.put_bytes(f"servers/odd{number}", document)
            fleet.put_bytes(f"op/evacuate/odd{number}", document)
        fleet.put_bytes("servers/", b"{}")
        fleet.turn_away(fleet.addresses[1])
        fleet.configure_routes(2, added=[2])
        assert fleet.wait_for_statuses("/added2/1", 200, 2 * APPLY_SECONDS)
        for number in range(len(documents)):
            fleet.remove(f"servers/odd{number}")
        fleet.let_in(fleet.addresses[1])
        fleet.configure_routes(3, added=[3])
        assert fleet.wait_for_statuses("/added3/1", 200, APPLY_SECONDS)
        for index in range(len(fleet.processes)):
            assert fleet.processes[index].poll() is None
            fleet.stop(index)
        end = time.monotonic() + 10.0
        codes = [process.wait(end - time.monotonic()) for process in fleet.processes]
        assert set(codes) <= {0, -signal.SIGTERM}
        assert all("Traceback" not in fleet.log(a) for a in fleet.addresses)
