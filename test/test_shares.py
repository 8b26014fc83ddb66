"""Shares of a limit for every partition of a fleet."""

from hypothesis import given
from hypothesis import strategies as st

from almondglade.coordinator.shares import share


@st.composite
def partitions(draw):
    sides = draw(st.lists(st.integers(0, 40), min_size=1, max_size=6))
    return sides, sum(sides) + draw(st.integers(0, 10))


@given(st.lists(st.integers(0, 300), min_size=6, max_size=6), partitions())
def test_partitions_never_exceed_the_highest_limit_even_if_their_limits_differ(
    limits, partition
):
    sides, published = partition
    shares = [
        share(limit, side, published)
        for limit, side in zip(limits, sides, strict=False)
    ]
    assert sum(shares) <= max(limits)
    assert all(0 <= one_share for one_share in shares)


@given(st.integers(1, 300), st.integers(1, 40))
def test_the_whole_fleet_uses_the_whole_limit(limit, members):
    assert share(limit, members, members) == limit


@given(st.integers(0, 300), partitions(), st.integers(1, 40))
def test_a_share_does_not_decrease_when_an_entry_joins(limit, partition, connected):
    published = sum(partition[0]) + partition[1]
    assert share(limit, connected, published) <= share(limit, connected + 1, published)
