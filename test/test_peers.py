"""Configuration documents, freshness, membership, credentials and the outbox."""

import asyncio
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.configuration import ConfigurationStore
from almondglade.errors import PeerError
from almondglade.peers import auth
from almondglade.peers.codec import decode_batch, encode_batch
from almondglade.peers.currency import MAX_EVIDENCE_AGE_SECONDS, ConfigurationFreshness
from almondglade.peers.documents import PART_BYTES, Assembler, make_parts
from almondglade.peers.link_pb2 import Batch
from almondglade.peers.membership import MAX_RELAYS, Instance, Membership, rank
from almondglade.peers.outbox import Outbox

SECRET = "a secret for these tests only"


class Clock:
    """A clock that the tests advance."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


# Documents


@given(st.binary(max_size=300), st.binary(max_size=300), st.binary(max_size=40))
def test_difference_restores_the_document(start, end, change):
    base, document = start + end, start + change + end
    parts = make_parts(2, document, 1, base)
    updates = [
        update for p in parts if (update := _encode_and_add(Assembler(), p, base))
    ]
    assert updates[-1:] == [m.ConfigurationUpdate(2, document)] or len(parts) > 1


def _encode_and_add(assembler, part, base):
    (decoded,) = decode_batch(encode_batch([part]))
    return assembler.add(decoded, base)


def test_large_document_needs_several_parts_and_a_small_change_one():
    document = random.Random(7).randbytes(1 << 20)
    parts, assembler = make_parts(1, document), Assembler()
    assert all(len(part.data) <= PART_BYTES for part in parts)
    updates = [_encode_and_add(assembler, part, b"") for part in parts]
    assert updates[-1].document == document
    changed = document[:500_000] + b"x" + document[500_001:]
    (part,) = make_parts(2, changed, 1, document)
    assert len(part.data) < 100
    assert _encode_and_add(assembler, part, document).document == changed
    assert _encode_and_add(assembler, part, None) is None


@given(st.data())
def test_damaged_parts_are_rejected_or_ignored(data):
    parts = make_parts(3, random.Random(1).randbytes(3 * PART_BYTES))
    wire = bytearray(encode_batch(parts).SerializeToString())
    for _ in range(data.draw(st.integers(1, 3))):
        wire[data.draw(st.integers(0, len(wire) - 1))] ^= data.draw(st.integers(1, 255))
    assembler = Assembler()
    try:
        messages = decode_batch(Batch.FromString(bytes(wire)))
        updates = [assembler.add(part, b"") for part in messages]
    except Exception as error:
        assert isinstance(error, PeerError) or "DecodeError" in type(error).__name__
    else:
        whole = make_parts(3, random.Random(1).randbytes(3 * PART_BYTES))
        assert all(u is None or u.document for u in updates) and whole


# Freshness of the configuration


def make_ping(clock, version, confirmed_age=math.inf, majority_age=math.inf, echo=None):
    echo = clock() if echo is None else echo
    return m.Ping(0.0, echo, version, confirmed_age, majority_age)


def make_freshness(relays=("a", "b", "c"), own="e", version=1):
    clock, store = Clock(), ConfigurationStore()
    store.version = version
    freshness = ConfigurationFreshness(own, store, clock)
    freshness.set_relays(relays)
    return clock, store, freshness


@given(st.data())
def test_no_dispatch_without_recent_evidence(data):
    """Evidence is dated no later than the contact that it came from."""
    clock, store, freshness = make_freshness()
    evidence_at = -math.inf
    for _ in range(data.draw(st.integers(1, 30))):
        clock.now += data.draw(st.floats(0, 3))
        match data.draw(st.sampled_from(["peer", "old", "service", "wait"])):
            case "peer":
                age = data.draw(st.floats(0, 3))
                freshness.record_ping("x", make_ping(clock, 1, confirmed_age=age))
                evidence_at = max(evidence_at, clock() - age)
            case "old":
                freshness.record_ping("x", make_ping(clock, 0, confirmed_age=0.0))
            case "service":
                asked = clock() - data.draw(st.floats(0, 3))
                freshness.confirm(asked)
                evidence_at = max(evidence_at, asked)
        if freshness.is_current():
            assert clock() - evidence_at <= MAX_EVIDENCE_AGE_SECONDS


def test_old_heartbeats_received_after_a_pause_are_no_recent_evidence():
    clock, store, freshness = make_freshness()
    for name in "abc":
        freshness.record_ping(name, make_ping(clock, 1, 0.0, 0.0))
    assert freshness.is_current()
    sent = clock()
    clock.now += 60
    freshness.record_ping("a", make_ping(clock, 1, 0.0, 0.0, echo=sent))
    assert not freshness.is_current()


def test_synchronisation_waits_for_every_reachable_relay():
    clock, store, freshness = make_freshness()
    freshness.confirm(clock())  # a stale read of the service
    freshness.record_ping("a", make_ping(clock, 1, 0.0, 0.0))  # a peer as outdated
    freshness.record_ping("b", make_ping(clock, 1, 0.0, 0.0))
    assert not freshness.is_current()
    freshness.record_ping("c", make_ping(clock, 2, 0.0, 0.0))
    assert not freshness.is_current()
    clock.now += 2.1
    freshness.confirm(clock())
    assert not freshness.is_current()  # the newer document has not arrived
    store.version = 2
    assert freshness.is_current()


def test_synchronisation_does_not_wait_for_unreachable_relays():
    clock, store, freshness = make_freshness()
    for name in "ab":
        freshness.record_ping(name, make_ping(clock, 1))
    assert not freshness.is_current()
    freshness.record_unreachable("c")
    assert freshness.is_current()


@pytest.mark.parametrize(
    "connected_relays, allowed", [("ab", True), ("a", False), ("", False)]
)
def test_without_the_configuration_service_a_majority_of_relays_is_needed(
    connected_relays, allowed
):
    clock, store, freshness = make_freshness(own="e")
    for _ in range(20):
        clock.now += 0.5
        for name in connected_relays:
            freshness.record_ping(name, make_ping(clock, 1))
        freshness.is_current()
    assert freshness.is_current() == allowed


def test_single_instance_needs_no_other_evidence():
    clock, store, freshness = make_freshness(relays=("e",))
    clock.now += 3600
    assert freshness.is_current()


def test_new_work_stops_when_a_newer_document_does_not_arrive():
    clock, store, freshness = make_freshness(relays=("e",))
    assert freshness.is_current()
    freshness.record_ping("x", make_ping(clock, 2, 0.0, 0.0))
    assert freshness.is_current()
    clock.now += 1.6
    assert not freshness.is_current()
    store.rejected_version = 2
    assert freshness.is_current()


# Membership


def members(*names, leaving=()):
    return [Instance(n, "127.0.0.1", 1, "dc", n in leaving) for n in names]


def membership(*names):
    own = Membership(members(names[0])[0], Clock())
    own.update(members(*names))
    own.trust(names[0])
    return own


NAMES = [f"e{number}" for number in range(9)]


@given(
    st.sets(st.sampled_from(NAMES)),
    st.sets(st.sampled_from(NAMES)),
    st.sets(st.sampled_from(NAMES)),
)
def test_coordinators_are_ranked_trusted_instances_in_service(
    suspects, leaving, reported_leaving
):
    fleet = membership(*NAMES)
    fleet.update(members(*NAMES, leaving=leaving))
    for name in suspects:
        fleet.suspect(name)
    for name in reported_leaving:
        fleet.set_leaving(name, True)
    serving = [n for n in NAMES if n not in leaving | reported_leaving] or NAMES
    expected = [n for n in rank("drafts", serving) if n not in suspects]
    assert fleet.coordinators("drafts") == (expected or [NAMES[0]])
    best = rank("drafts", serving)[0]
    suspect_best = {best} & suspects - {NAMES[0]}
    assert suspect_best <= fleet.required_links(["drafts"])
    assert fleet.published == len(NAMES)


def test_instance_listed_later_is_chosen_only_once_trusted():
    fleet = membership(*NAMES[:4])
    before = fleet.coordinators("drafts")[0]
    fleet.update(members(*NAMES))
    assert fleet.coordinators("drafts")[0] == before
    for name in NAMES:
        fleet.trust(name)
    assert fleet.coordinators("drafts")[0] == rank("drafts", NAMES)[0]


def test_number_of_relays_and_links_is_bounded_in_a_large_fleet():
    names = [f"i{number}" for number in range(330)]
    listed = [
        Instance(name, "127.0.0.1", 1, f"dc{number % 24}")
        for number, name in enumerate(names)
    ]
    relay_count, link_counts = 0, []
    for instance in listed:
        fleet = Membership(instance, Clock())
        fleet.update(listed)
        relay_count += fleet.is_relay()
        link_counts.append(len(fleet.required_links([])))
    assert relay_count <= MAX_RELAYS * 25
    assert max(link_counts) <= MAX_RELAYS


# Credentials and outbox


def test_credential_is_bound_to_both_sides_and_accepted_once():
    verifier = auth.Verifier(SECRET, "b")
    credential = auth.sign(SECRET, "a", "b", "nonce")
    assert verifier.verify(credential) == auth.Credential("a", "nonce")
    assert verifier.verify(credential) is None
    for wrong in (
        auth.sign(SECRET, "a", "c"),
        auth.sign("another secret of length", "a", "b"),
        auth.sign(SECRET, "a", "b", now=1),
        auth.sign(SECRET, "a", "b").replace("a:", "z:", 1),
        None,
        "",
        ":::",
        "a:" + "9" * 5000 + ":n:d",
    ):
        assert verifier.verify(wrong) is None
    assert auth.is_valid_proof(SECRET, "b", "n", auth.prove(SECRET, "b", "n"))
    assert not auth.is_valid_proof(SECRET, "b", "n", auth.prove(SECRET, "b", "m"))


@given(st.text(max_size=200))
def test_random_text_is_rejected_as_a_credential(text):
    assert auth.Verifier(SECRET, "b").verify(text) is None


async def _frames(outbox, count):
    return [await outbox.take() for _ in range(count)]


def test_other_messages_precede_document_parts_and_the_queue_is_bounded():
    outbox = Outbox(limit=2)
    outbox.replace_parts(make_parts(1, random.Random(2).randbytes(PART_BYTES * 3)))
    outbox.put(m.Leave("p"))
    (first, second) = asyncio.run(_frames(outbox, 2))
    assert first[0] == m.Leave("p") and len(first) == 2 and len(second) == 1
    for _ in range(3):
        outbox.put(m.Leave("p"))
    with pytest.raises(PeerError):
        asyncio.run(_frames(outbox, 1))


def test_message_kinds_of_a_newer_protocol_are_ignored():
    frame = encode_batch([m.Leave("p")])
    # Field 200 of an envelope, with a length-delimited value.
    frame.envelopes.add().MergeFromString(b"\xc2\x0c\x02\x08\x01")
    assert decode_batch(frame) == [m.Leave("p")]
