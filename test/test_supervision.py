"""What one request holds does not end a task of an instance."""

import asyncio

import pytest

from almondglade.gossip.codec import decode, encode
from almondglade.gossip.messages import Report, WaitingRequest
from almondglade.platform.front import MAX_COUNT, parse_caller_headers
from almondglade.supervision import keep_running


def test_a_task_that_fails_or_ends_is_started_again():
    starts = []

    async def run():
        starts.append(1)
        if len(starts) == 1:
            raise OverflowError
        if len(starts) > 2:
            await asyncio.sleep(60.0)

    async def play():
        task = asyncio.create_task(keep_running("task", run, pause=0.0))
        while len(starts) < 3:
            await asyncio.sleep(0.001)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(asyncio.wait_for(play(), 5.0))
    assert len(starts) == 3


@pytest.mark.parametrize("text", [str(2**64), "9" * 5000, "0" * 20 + str(2**70)])
def test_a_number_of_a_header_is_one_that_peers_can_be_told(text):
    names = ("X-Length-Hint", "X-Deadline-Ms")
    headers = parse_caller_headers([(name, text) for name in names])
    assert headers.expected_tokens == MAX_COUNT
    assert headers.time_limit == MAX_COUNT / 1000.0
    waiting = WaitingRequest(
        1, "s", (0, 0), 0.0, expected_events=headers.expected_tokens
    )
    assert decode(encode(Report("e1", "north", 1, 1, waiting=(waiting,))))


@pytest.mark.parametrize("text", ["", "-1", "1.5", "\u00b2", "\u0664"])
def test_a_header_without_a_number_gives_none(text):
    headers = parse_caller_headers([("X-Length-Hint", text), ("X-Deadline-Ms", text)])
    assert (headers.expected_tokens, headers.time_limit) == (None, None)


def test_small_numbers_of_headers_are_kept():
    headers = parse_caller_headers(
        [("X-Length-Hint", "0120"), ("X-Deadline-Ms", "0"), ("X-Prompt-Prefix", "a:7")]
    )
    assert (headers.expected_tokens, headers.time_limit) == (120, 0.0)
    assert headers.last_part_tokens == 7
