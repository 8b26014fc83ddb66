"""Shares of a limit over all ways to split a fleet."""

from hypothesis import given
from hypothesis import strategies as st

from almondglade.coordinator.shares import share


@st.composite
def splits(draw):
    sides = draw(st.lists(st.integers(0, 40), min_size=1, max_size=6))
    return sides, sum(sides) + draw(st.integers(0, 10))


@given(st.lists(st.integers(0, 300), min_size=6, max_size=6), splits())
def test_sides_never_exceed_the_limit_together_even_with_limits_of_their_own(
    limits, split
):
    sides, published = split
    used = [
        share(limit, side, published)
        for limit, side in zip(limits, sides, strict=False)
    ]
    assert sum(used) <= max(limits)
    assert all(0 <= part for part in used)


@given(st.integers(1, 300), st.integers(1, 40))
def test_the_whole_fleet_uses_the_whole_limit(limit, members):
    assert share(limit, members, members) == limit


@given(st.integers(0, 300), splits(), st.integers(1, 40))
def test_a_share_does_not_fall_when_an_entry_comes(limit, split, connected):
    published = sum(split[0]) + split[1]
    assert share(limit, connected, published) <= share(limit, connected + 1, published)
