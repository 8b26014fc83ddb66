"""Chunks whose end is not certain are never delivered as a complete answer."""

import pytest

from .support.entries import Entry
from .support.targets import FakeTarget


@pytest.mark.parametrize(
    "end",
    [
        b"",
        b"0",
        b"0\r\n",
        b"0\r\nX-Trailer: 1\r\n",
        b"-3\r\n",
        b"0x0\r\n\r\n",
        b" 0\r\n\r\n",
    ],
)
def test_chunks_that_end_with_their_connection_are_not_complete(end):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    with (
        FakeTarget(lambda _: head + b"3\r\nabc\r\n" + end) as target,
        Entry({"b1": target.url}) as entry,
    ):
        answer = entry.call("GET", "/bookings/stock")
    assert not (answer.status == 200 and answer.whole)


def test_a_chunk_that_is_longer_than_its_size_is_not_complete():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    with (
        FakeTarget(lambda _: head + b"3\r\nabcde0\r\n\r\n") as target,
        Entry({"b1": target.url}) as entry,
    ):
        answer = entry.call("GET", "/bookings/stock")
    assert not (answer.status == 200 and answer.whole)
