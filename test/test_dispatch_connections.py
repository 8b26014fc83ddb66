"""Connections are reused for a limited time; timers fire when they are due."""

import socket
import time

from hypothesis import given
from hypothesis import strategies as st

from almondglade.deadlines import MIN_CLEANUP_ENTRIES, Deadlines
from almondglade.dispatch.connections import (
    MAX_AGE_SECONDS,
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_SECONDS,
    TargetPool,
)

steps = st.lists(st.floats(0.0, 0.4 * MAX_AGE_SECONDS), min_size=1, max_size=20)


@given(steps)
def test_connections_over_the_age_or_idle_limit_are_not_reused(pauses):
    now = [0.0]
    with socket.create_server(("127.0.0.1", 0), backlog=64) as server:
        address = server.getsockname()
        pool = TargetPool(*address, clock=lambda: now[0])
        for pause in pauses:
            connection = pool.take()
            if connection is not None:
                assert now[0] - connection.opened_at <= MAX_AGE_SECONDS
                assert now[0] - connection.released_at <= MAX_IDLE_SECONDS
            pool.put(connection or pool.connect(1.0))
            now[0] += pause
        pool.close()
        assert pool.take() is None


def test_number_of_idle_connections_is_limited_and_pool_closes_them():
    with socket.create_server(("127.0.0.1", 0), backlog=256) as server:
        pool = TargetPool(*server.getsockname())
        used = [pool.connect(1.0) for _ in range(MAX_IDLE_CONNECTIONS + 9)]
        for connection in used:
            pool.put(connection)
        assert sum(c.sock is not None for c in used) == MAX_IDLE_CONNECTIONS
        late = pool.connect(1.0)
        pool.close()
        pool.put(late)
        assert not any(c.sock for c in (*used, late))


def test_timers_fire_in_order_and_cancelled_ones_are_removed():
    deadlines = Deadlines()
    fired = []
    start = time.monotonic()
    for number in (3, 1, 2):
        deadlines.call_at(start + number * 0.02, lambda n=number: fired.append(n))
    deadlines.call_at(start, lambda: 1 / 0)
    for _ in range(20 * MIN_CLEANUP_ENTRIES):
        deadlines.call_at(start + 3600, lambda: fired.append(0)).cancel()
    while len(fired) < 3 and time.monotonic() < start + 5:
        time.sleep(0.01)
    assert fired == [1, 2, 3]
    assert len(deadlines) <= MIN_CLEANUP_ENTRIES
