"""What an instance reads by itself is held to the same form and limits as answers.

Engines, the store, peers and load reports were read by a lenient parser. It kept bytes
without end, and waited for as long as one arrived now and then.
"""

import asyncio
import itertools
import threading
import time
from types import SimpleNamespace

import orjson
import pytest

from almondglade.dispatch.call import CallLimits
from almondglade.dispatch.fetching import Fetcher
from almondglade.errors import AlmondgladeError, TargetError
from almondglade.gateway.peerstate import PeerStateReader
from almondglade.loads import LoadPoller
from almondglade.platform.connection import StoreConnection
from almondglade.platform.engines import EngineClient

from .support.targets import Cut, FakeTarget
from .test_malformed_heads import (
    FRAMINGS,
    ODD_LINES,
    ODD_STATUS_LINES,
    STATUS,
    make_answer,
)

DOCUMENT = orjson.dumps(
    {"born": 1, "held": [], "at": 1, "era": 1, "revision": 1, "items": [], "events": []}
)
PIECE = b"x" * (64 << 10)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# First bytes of an answer, the bytes that follow without end, and the seconds between.
ENDLESS_BY_NAME = {
    "no protocol": (b"", PIECE, 0.0),
    "long header": (OK + b"X-Long: ", PIECE, 0.0),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, 0.0),
    "huge length": (OK + b"Content-Length: 999999999999999\r\n\r\n", PIECE, 0.0),
    "chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n", 0.0),
    "compressed": (
        OK + b"Content-Encoding: gzip\r\nContent-Length: 99999999999\r\n\r\n",
        PIECE,
        0.0,
    ),
    "body": (OK + b"\r\n", PIECE, 0.0),
    "trickle of a head": (OK, b"X-Many: 1\r\n", 0.05),
    "trickle of a body": (OK + b"\r\n", b"x", 0.05),
}
# What a faulty process sends before it gives up.
MAX_SENT_BYTES = 48 << 20
MAX_SENT_SECONDS = 6.0
LIMITS = CallLimits(connect=1.0, first_byte=1.0, between_bytes=1.0, total=2.0)
MAX_SECONDS = LIMITS.total + 0.5


class Kind:
    """A kind of service whose load report is taken as it is."""

    load_path = "/load"

    @staticmethod
    def parse_load(text):
        return text


def record_of(url):
    host, _, port = url.removeprefix("http://").partition(":")
    return SimpleNamespace(id="t1", host=host, port=int(port), started_at=0)


def read_from_peer(url):
    record = record_of(url)
    settings = SimpleNamespace(
        address="127.0.0.1", data_centre="north", peer_port=record.port
    )
    registry = SimpleNamespace(catalogue=None, position=(0, 0))

    async def read():
        reader = PeerStateReader(
            settings, registry, lambda items, era: items, *[None] * 4
        )
        return reader._decode(reader._request(record.host))

    return asyncio.run(read())


READERS = {
    "start of an engine": lambda url: EngineClient().read_start(record_of(url)),
    "parts of an engine": lambda url: EngineClient().read_parts(record_of(url)),
    "item of the store": lambda url: StoreConnection(url).read_item("k"),
    "page of the store": lambda url: StoreConnection(url).read_range("p"),
    "watch of the store": lambda url: StoreConnection(url).watch("p", 1, 0.5, 0),
    "state of a peer": read_from_peer,
    "load report": lambda url: LoadPoller(None, None)._fetch_load(Kind, url),
    "any": lambda url: Fetcher(8 << 20).get(url, "/", LIMITS),
}


def make_document(line, framing, place):
    """Return a response with the document and a line in its head."""
    head = make_answer(line, framing, place).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    if framing == "chunked":
        return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(DOCUMENT), DOCUMENT)
    return head.replace(b"th: 15\r", b"th: %d\r" % len(DOCUMENT)) + DOCUMENT


@pytest.mark.parametrize("reader", READERS)
def test_sound_documents_are_read(reader):
    with FakeTarget(None) as target:
        for framing in FRAMINGS:
            answer = make_document(b"X-Sound: 1", framing, 0)
            target.answer = lambda _, a=answer: a
            READERS[reader](target.url)


@pytest.mark.parametrize("reader", READERS)
def test_a_document_whose_head_is_malformed_is_not_read(reader):
    heads = [
        *(make_document(ODD_LINES[name], "connection", 2) for name in ODD_LINES),
        *(
            make_document(b"X-Sound: 1", "connection", 0).replace(STATUS, line, 1)
            for line in ODD_STATUS_LINES
        ),
    ]
    read = []
    with FakeTarget(None) as target:
        for answer in heads:
            target.answer = lambda _, a=answer: a
            try:
                READERS[reader](target.url)
            except AlmondgladeError:
                continue
            read.append(answer)
    assert not read


class EndlessDocument:
    """A response that is sent until the connection is closed, or much was sent."""

    def __init__(self, first, rest, pause):
        self.first, self.rest, self.pause = first, rest, pause
        self.was_cut = threading.Event()

    def __iter__(self):
        end = time.monotonic() + MAX_SENT_SECONDS
        sent = 0
        try:
            yield self.first
            while sent < MAX_SENT_BYTES and time.monotonic() < end:
                yield self.rest
                sent += len(self.rest)
                time.sleep(self.pause)
        except GeneratorExit:
            self.was_cut.set()
            raise

    def __getitem__(self, index):
        return b"close"


@pytest.mark.parametrize(
    ("reader", "name"),
    [
        pair
        for pair in itertools.product(READERS, ENDLESS_BY_NAME)
        # A page may take longer to arrive on a slow link.
        if pair[1] != "trickle of a body" or "of " not in pair[0] or "engine" in pair[0]
    ],
)
def test_a_document_without_end_is_cut(reader, name):
    document = EndlessDocument(*ENDLESS_BY_NAME[name])
    with FakeTarget(lambda _: document) as target:
        started = time.monotonic()
        with pytest.raises(AlmondgladeError):
            READERS[reader](target.url)
        assert time.monotonic() - started < MAX_SECONDS
        assert document.was_cut.wait(1.0)


def test_a_document_that_a_reset_cuts_is_not_read():
    with FakeTarget(None) as target:
        target.answer = lambda _: OK + b"Content-Length: 9\r\n\r\n{}"
        target.cut = Cut(after_written=1 << 10, reset=True)
        with pytest.raises(TargetError):
            Fetcher(1 << 20).get(target.url, "/", LIMITS)


def test_connections_are_kept_for_the_next_document():
    fetcher = Fetcher(1 << 20)
    with FakeTarget(lambda _: make_document(b"X-Sound: 1", "length", 0)) as target:
        bodies = [fetcher.get(target.url, "/", LIMITS).body for _ in range(3)]
    assert bodies == [DOCUMENT] * 3
    assert target.connections == 1
