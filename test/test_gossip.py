"""Encoding and decoding of the gossip messages."""

import math
from dataclasses import replace

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.errors import PeerError
from almondglade.gossip.codec import FORMAT_VERSION, decode, encode
from almondglade.gossip.messages import (
    BookedReturn,
    CrashEvidence,
    ExpectedWait,
    Grant,
    Grants,
    Member,
    MemberList,
    NamedLimit,
    NamedLimits,
    OriginQuery,
    OriginReport,
    Report,
    ReportRequest,
    SharedState,
    SuspectEvidence,
    SuspectReport,
    WaitingRequest,
)
from almondglade.placement.allowance import Scope
from almondglade.placement.cells import Cell
from almondglade.placement.health import TargetStats
from almondglade.placement.outlook import CellLoad

NAMES = st.text(min_size=1, max_size=12)
SECONDS = st.integers(0, 10**6).map(lambda value: value / 1000)
WAITING = st.builds(
    WaitingRequest,
    st.integers(0, 2**31),
    NAMES,
    st.tuples(st.integers(0, 15), st.integers(0, 15)),
    SECONDS,
    st.lists(NAMES, max_size=2).map(tuple),
    NAMES,
    st.integers(0, 3000).map(float),
    SECONDS,
    NAMES,
    st.integers(0, 2**64 - 1),
    st.sampled_from(["", "v2"]),
    st.sampled_from(["", "w1", "w2"]),
    st.integers(0, 2**40),
    st.just(math.inf) | st.integers(-(10**6), 10**6).map(lambda value: value / 1000),
    st.integers(0, 2**32 - 1),
)
BOOKED_RETURNS = st.builds(
    BookedReturn,
    st.integers(0, 2**31),
    NAMES,
    st.tuples(st.integers(0, 15), st.integers(0, 15)),
    st.integers(0, 2**32 - 1),
    SECONDS,
)
COUNTS = st.integers(0, 10**9)
LOADS = st.builds(CellLoad, st.builds(Cell, NAMES, NAMES), COUNTS, COUNTS, SECONDS)
SHARED_STATES = st.builds(
    SharedState,
    st.integers(0, 2**60),
    SECONDS,
    st.sampled_from(Scope),
    st.dictionaries(NAMES, COUNTS.map(float), max_size=3),
    st.lists(LOADS, max_size=3).map(tuple),
    st.integers(0, 2**60),
    st.tuples(st.integers(0, 2**60), st.integers(0, 2**60)),
)
STATS = st.builds(
    TargetStats,
    st.integers(0, 99).map(lambda value: value / 1000),
    st.integers(0, 9999).map(lambda value: value / 100),
    COUNTS,
    COUNTS,
)
REPORTS = st.builds(
    Report,
    NAMES,
    NAMES,
    st.integers(0, 2**60),
    st.integers(0, 2**31),
    st.booleans(),
    st.dictionaries(
        NAMES, st.dictionaries(st.integers(0, 9), st.integers(1, 99), max_size=3)
    ),
    st.lists(WAITING, max_size=3).map(tuple),
    st.dictionaries(NAMES, st.integers(0, 2**62), max_size=2),
    st.lists(NAMES, max_size=3).map(tuple),
    st.none() | SHARED_STATES,
    st.none() | st.dictionaries(NAMES, STATS, max_size=3),
    st.dictionaries(
        NAMES, st.lists(st.integers(1, 2**64 - 1), max_size=2).map(tuple), max_size=2
    ),
    st.lists(BOOKED_RETURNS, max_size=2).map(tuple),
    st.none() | SECONDS,
)
WAITS = st.builds(
    ExpectedWait,
    NAMES,
    NAMES,
    st.tuples(st.integers(0, 15), st.integers(0, 15)),
    SECONDS,
)
GRANTS = st.builds(
    Grants,
    NAMES,
    st.lists(
        st.builds(Grant, st.integers(0, 2**62), st.integers(0, 2**31), NAMES),
        max_size=3,
    ).map(tuple),
    st.lists(WAITS, max_size=3).map(tuple),
)
MEMBERS = st.builds(
    Member,
    NAMES,
    NAMES,
    NAMES,
    COUNTS.map(lambda value: value / 100),
    SECONDS,
    st.booleans(),
)
MEMBER_LISTS = st.builds(
    MemberList, NAMES, st.lists(MEMBERS, max_size=5).map(tuple), st.booleans()
)
REQUESTS = st.builds(ReportRequest, NAMES)
CRASHES = st.builds(CrashEvidence, NAMES, st.integers(0, 2**60), SECONDS, SECONDS)
SUSPECTS = st.builds(
    SuspectEvidence,
    st.integers(0, 2**64 - 1),
    st.lists(CRASHES, max_size=3).map(tuple),
    st.none() | SECONDS,
)
SUSPECT_REPORTS = st.builds(
    SuspectReport, NAMES, st.lists(SUSPECTS, max_size=3).map(tuple)
)

LIMITS = st.none() | st.integers(0, 9999).map(lambda value: value / 10)
NAMED_LIMITS = st.builds(
    NamedLimits,
    NAMES,
    st.lists(
        st.builds(
            NamedLimit,
            NAMES,
            st.integers(0, 2**60),
            LIMITS,
            SECONDS,
            LIMITS,
            SECONDS,
            SECONDS,
        ),
        max_size=3,
    ).map(tuple),
)
ORIGINS = st.one_of(
    st.builds(OriginReport, NAMES, NAMES, NAMES, NAMES, SECONDS),
    st.builds(OriginQuery, NAMES, NAMES),
)


@given(
    st.one_of(
        REPORTS,
        GRANTS,
        MEMBER_LISTS,
        REQUESTS,
        SUSPECT_REPORTS,
        ORIGINS,
        NAMED_LIMITS,
    )
)
def test_a_decoded_message_equals_the_encoded_one(message):
    assert decode(encode(message)) == message


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_raises_only_peer_errors(data):
    try:
        decode(data)
    except PeerError:
        return


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb(7),
        msgpack.packb([]),
        msgpack.packb([FORMAT_VERSION + 1, 0, "e1"]),
        msgpack.packb([FORMAT_VERSION, 99, "e1"]),
        msgpack.packb([FORMAT_VERSION, 0, "e1"]),
        msgpack.packb([FORMAT_VERSION, 0, "e1", "n", 1, 1, 0, {}, [], {}, [], 0, 7, 7]),
        msgpack.packb(
            [FORMAT_VERSION, 0, "e1", "n", 1, 1, 0, {}, [], {}, [], None, 7, {}]
        ),
        msgpack.packb([FORMAT_VERSION, 4, "e1", [[7, "t1", None]]]),
    ],
)
def test_malformed_messages_raise_peer_errors(data):
    with pytest.raises(PeerError):
        decode(data)


def test_fields_of_later_releases_are_ignored():
    waiting = (WaitingRequest(1, "s", (0, 1), 0.5, workspace="w1", tokens=900),)
    report = Report("e1", "north", 1, 1, waiting=waiting)
    fields = msgpack.unpackb(encode(report))
    further = next(field for field in fields if field and type(field) is dict)
    further[""]["unknown"] = [1, {}]
    assert decode(msgpack.packb(fields)) == report
    del further[""]
    assert decode(msgpack.packb(fields)).waiting == (
        replace(waiting[0], workspace="", tokens=0),
    )


def test_shared_state_of_an_earlier_release_names_no_version():
    state = SharedState(7, 0.5, version=3, store_position=(2, 9))
    fields = msgpack.unpackb(encode(Report("e1", "north", 1, 1, shared_state=state)))
    shared_state = next(field for field in fields if field and type(field) is list)
    assert shared_state[2] == [3, 2, 9]
    shared_state[2] = 0
    decoded = decode(msgpack.packb(fields)).shared_state
    assert decoded == replace(state, version=0, store_position=(0, 0))
