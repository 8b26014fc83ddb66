"""Keep room for refused callers until the time at which they are told to return.

Load pattern: for some seconds, half as many requests again arrive as the targets can
serve. Refused callers return when they are told to, at any instance and with what is
left of their time, while first arrivals still take all the room. So a refusal names a
time for which room is booked. Bookings are paced by the rate at which requests of the
tier get slots, so that they can be kept, and returns go before the first arrivals of
their tier, but not of more urgent ones.
"""

import itertools
from collections import deque
from dataclasses import dataclass

from .grantrates import GrantRates

# A caller honours a Retry-After up to this share of the time that it has left, as the
# description of the callers' protocol states.
USABLE_SHARE = 1 / 3
# Bookings take at most this share of the slots that the requests of a tier get; the
# rest is left to first arrivals.
BOOKED_SHARE = 0.5
# Shortest time, in seconds, for which a caller is sent away: several times what a
# booking takes to reach the coordinators.
MIN_RETURN_SECONDS = 0.25
# Bookings may overlap by this much, in seconds, as sums of times are not exact.
OVERLAP_SECONDS = 0.001
# A return may come sooner than told by this much; clocks and timers are not exact.
EARLY_SECONDS = 0.05
# A return waits for at most this share of the time that its caller has left; the rest
# is for the response.
MAX_WAIT_SHARE = 0.5
# A return that comes later than this after the time told counts as late, in seconds.
LATE_SECONDS = 0.25
# A booking expires this long after the time told: callers allow a second for a new
# connection.
EXPIRY_SECONDS = 1.0
# New requests find the room taken that is booked for the next so many seconds, about
# the longest time that they themselves may wait.
AHEAD_SECONDS = 0.5
# The count of those is used for this long, in seconds.
COUNT_CACHE_SECONDS = 0.03
NEVER = float("-inf")
# Most open bookings that one instance makes, and that it keeps for its peers.
MAX_OPEN_HERE = 128
MAX_OPEN_OF_PEERS = 4096
# A booking is part of all reports for this long, in seconds, and at most so many in
# one report, which keeps a report within one datagram.
TOLD_SECONDS = 0.3
MAX_TOLD = 24


@dataclass
class Booking:
    """Room for one caller that was told when to return.

    Parameters
    ----------
    service : str
    tier : tuple of int
        Tier of the workspace, then tier of the route.
    workspace : str
        Only known on the instance that made the booking.
    fingerprint : int
        What the request and its repeat have in common.
    work : int
        Tokens that the request is expected to take on an engine; 1 if not known, as
        also for those that a peer has booked.
    due_at : float
        Monotonic time at which the caller was told to return.
    owner : str
        Instance that made the booking.
    number : int
        Number of the booking on that instance.
    booked_at : float
        Monotonic time at which it was made.

    Attributes
    ----------
    claim : object
        What identifies the return that it was used for; None before.
    """

    service: str
    tier: tuple[int, ...]
    workspace: str
    fingerprint: int
    work: int
    due_at: float
    owner: str
    number: int
    booked_at: float
    claim: object = None


@dataclass(frozen=True)
class ReturnTime:
    """When a refused caller should return.

    Parameters
    ----------
    seconds : float
        Time until then.
    is_booked : bool
        Whether room is booked; if not, none is expected that the caller can use.
    is_early : bool
        Whether it was booked before, for a caller that has come too early.
    """

    seconds: float
    is_booked: bool
    is_early: bool = False


class ReturnCalendar:
    """Bookings of one instance, and those that its peers have told of.

    Not thread-safe; the caller holds a lock.

    Parameters
    ----------
    instance : str
        This instance.
    number_base : int
        Bookings are numbered from the next number on.
    """

    def __init__(self, instance, number_base=0):
        self.instance = instance
        self.rates = GrantRates()
        self._bookings_by_key: dict[tuple[str, int], list[Booking]] = {}
        self._own: deque[Booking] = deque()
        self._known_numbers_by_owner: dict[str, dict[int, Booking]] = {}
        self._recent_counts: dict[tuple[str, tuple[int, ...]], tuple[int, float]] = {}
        self._numbers = itertools.count(number_base + 1)

    def book(self, ticket, earliest_seconds, now):
        """Book room for a refused request, if there is some that its caller can use.

        Parameters
        ----------
        ticket : Ticket
            The request; its `return_fingerprint` identifies the return.
        earliest_seconds : float
            Time before which no room is expected.

        Returns
        -------
        ReturnTime or None
            None if it is not known when slots become free.
        """
        pending = self._pending(ticket, now)
        if pending is not None:
            return ReturnTime(pending.due_at - now, True, True)
        pace = self.rates.seconds_per_token(ticket.service, ticket.tier, now)
        if pace is None:
            return None
        due_at = self._next_free(
            ticket,
            now + max(MIN_RETURN_SECONDS, earliest_seconds),
            pace / BOOKED_SHARE,
        )
        usable_until = now + USABLE_SHARE * (ticket.deadline - now)
        if due_at > usable_until or len(self._own) >= MAX_OPEN_HERE:
            return ReturnTime(due_at - now, False)
        booking = Booking(
            ticket.service,
            ticket.tier,
            ticket.workspace,
            ticket.return_fingerprint,
            _work(ticket),
            due_at,
            self.instance,
            next(self._numbers),
            now,
        )
        self._own.append(booking)
        self._add(booking)
        return ReturnTime(due_at - now, True)

    def _pending(self, ticket, now):
        """Return the booking for which a request has come too early, or None.

        One with its full time left is another caller's first try of the same request.
        """
        if not ticket.may_be_return:
            return None
        key = (ticket.service, ticket.return_fingerprint)
        return next(
            (
                booking
                for booking in self._bookings_by_key.get(key, ())
                if booking.claim is None and booking.due_at - EARLY_SECONDS > now
            ),
            None,
        )

    def _next_free(self, ticket, earliest_at, seconds_per_token):
        """Return the next time at which a tier has room that is not booked.

        A booking takes room for as long as the work of the request takes at the pace
        of the tier. A workspace with bookings leaves room between them for each other
        one that has some, so that none takes all the room that callers can use.
        """
        of_tier = sorted(
            (
                booking
                for booking in self._own
                if (booking.service, booking.tier) == (ticket.service, ticket.tier)
                and booking.claim is None
            ),
            key=lambda booking: booking.due_at,
        )
        workspaces = {booking.workspace for booking in of_tier} | {ticket.workspace}
        due_at = earliest_at
        for booking in of_tier:
            is_same = booking.workspace == ticket.workspace
            seconds = seconds_per_token * (len(workspaces) if is_same else 1)
            ends_at = booking.due_at + seconds * booking.work
            starts_at = booking.due_at - seconds * _work(ticket)
            if starts_at + OVERLAP_SECONDS < due_at < ends_at - OVERLAP_SECONDS:
                due_at = ends_at
        return due_at

    def record(self, bookings):
        """Add bookings that a peer has made; those known already are skipped."""
        for booking in bookings:
            known = self._known_numbers_by_owner.setdefault(booking.owner, {})
            count = sum(map(len, self._known_numbers_by_owner.values()))
            if booking.number not in known and count < MAX_OPEN_OF_PEERS:
                known[booking.number] = booking
                self._add(booking)

    def _add(self, booking):
        key = (booking.service, booking.fingerprint)
        self._bookings_by_key.setdefault(key, []).append(booking)

    def claim(self, ticket, claim, now):
        """Return the booking whose time has come for a request, or None.

        Parameters
        ----------
        claim : object
            Identifies the request, which may ask again; another one with the same
            fingerprint needs a booking of its own.
        """
        if not ticket.return_fingerprint:
            return None
        key = (ticket.service, ticket.return_fingerprint)
        due = [
            booking
            for booking in self._bookings_by_key.get(key, ())
            if booking.claim in (None, claim)
            and booking.due_at - EARLY_SECONDS <= now
            and (booking.claim or now <= booking.due_at + EXPIRY_SECONDS)
        ]
        if not due:
            return None
        booking = min(due, key=lambda entry: (entry.claim is None, entry.due_at))
        booking.claim = claim
        ticket.is_return = True
        ticket.due_at = booking.due_at
        return booking

    def open_ahead(self, service, tier, now):
        """Return how many returns are due soon that go before a new request."""
        count, counted_at = self._recent_counts.get((service, tier), (0, NEVER))
        if now - counted_at > COUNT_CACHE_SECONDS:
            count = sum(
                booking.claim is None
                and booking.service == service
                and booking.tier <= tier
                and now <= booking.due_at <= now + AHEAD_SECONDS
                for bookings in self._bookings_by_key.values()
                for booking in bookings
            )
            self._recent_counts[service, tier] = (count, now)
        return count

    def count_open(self):
        """Return the number of this instance's bookings that have not expired."""
        return len(self._own)

    def told(self, now):
        """Return the bookings made here lately, which peers must hear of."""
        recent = itertools.takewhile(
            lambda booking: now - booking.booked_at <= TOLD_SECONDS, reversed(self._own)
        )
        return tuple(itertools.islice(recent, MAX_TOLD))

    def told_services(self, now):
        """Return the services of the bookings of which peers must hear."""
        return {booking.service for booking in self.told(now)}

    def expire(self, now):
        """Remove the bookings whose time has passed.

        Returns
        -------
        list of Booking
            Those made here for which, as far as this instance knows, nobody returned.
        """
        expired = [
            booking
            for bookings in self._bookings_by_key.values()
            for booking in bookings
            if now > booking.due_at + EXPIRY_SECONDS
        ]
        for booking in expired:
            key = (booking.service, booking.fingerprint)
            self._bookings_by_key[key].remove(booking)
            if not self._bookings_by_key[key]:
                del self._bookings_by_key[key]
            known = self._known_numbers_by_owner.get(booking.owner, {})
            known.pop(booking.number, None)
        self._own = deque(
            booking for booking in self._own if now <= booking.due_at + EXPIRY_SECONDS
        )
        return [
            booking
            for booking in expired
            if booking.owner == self.instance and booking.claim is None
        ]

    def forget(self, owner):
        """Remove the bookings of a peer that has started again."""
        self._recent_counts.clear()
        for booking in self._known_numbers_by_owner.pop(owner, {}).values():
            key = (booking.service, booking.fingerprint)
            self._bookings_by_key[key].remove(booking)
            if not self._bookings_by_key[key]:
                del self._bookings_by_key[key]


def max_wait_of_return(ticket, now):
    """Return the longest time that a return waits for a slot, in seconds.

    It goes before the first arrivals of its tier, and its objective has mostly passed;
    while there is time for its response, it gets a slot sooner than by one more return.
    """
    return max(0.0, MAX_WAIT_SHARE * (ticket.deadline - now))


def _work(ticket):
    return max(1, ticket.tokens)


def arrival_of(booking, now):
    """Return whether a return came ``in time`` or ``late``."""
    return "late" if now > booking.due_at + LATE_SECONDS else "in time"
