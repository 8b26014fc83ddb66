"""Events of a stream are told apart however its bytes arrive."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.dispatch.events import MAX_EVENT_BYTES, EventSplitter, last_event_id

LINE_ENDS = (b"\n", b"\r\n", b"\r")
# Processor time that a long event may cost in all, however small the pieces are.
MAX_SPLITTING_SECONDS = 0.5


def split(stream, sizes):
    splitter, events, start = EventSplitter(), [], 0
    for size in sizes:
        events.append(splitter.feed(stream[start : start + size]))
        start += size
    events.append(splitter.feed(stream[start:]))
    return events, splitter


@given(st.sampled_from(LINE_ENDS), st.lists(st.integers(1, 9), max_size=20))
def test_whole_events_are_passed_on_at_any_split(line_end, sizes):
    lines = [b"id: 1", b"data: a", b"", b"id: 2", b"data: b", b""]
    stream = line_end.join(lines) + line_end
    events, splitter = split(stream, sizes)
    assert b"".join(events) + splitter.flush() == stream
    assert last_event_id(b"".join(events)) == "2"
    assert not splitter.is_within_event


@pytest.mark.parametrize(
    ("end", "is_within_event"),
    [
        (b"", False),
        (b"\n", False),
        (b": keep-alive\n", False),
        (b": keep", True),
        (b"data: x\n", True),
        (b": keep-alive\nda", True),
    ],
)
def test_only_blank_lines_and_comments_may_follow_the_last_event(end, is_within_event):
    splitter = EventSplitter()
    assert splitter.feed(b"data: x\n\n" + end) == b"data: x\n\n"
    assert splitter.is_within_event is is_within_event


def test_a_long_event_in_small_pieces_costs_little_processor_time():
    splitter = EventSplitter()
    started = time.process_time()
    for _ in range(MAX_EVENT_BYTES // 64):
        assert not splitter.feed(b"x" * 64)
    assert time.process_time() - started < MAX_SPLITTING_SECONDS
    with pytest.raises(ValueError, match="too long"):
        splitter.feed(b"x")
