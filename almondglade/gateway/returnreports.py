"""Tell coordinators of booked returns, and recognise those that wait at peers."""

from ..gossip.messages import BookedReturn
from ..placement.returns import Booking


def told_returns(calendar, now):
    """Return the bookings of this instance as its reports tell of them.

    Parameters
    ----------
    calendar : ReturnCalendar
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of BookedReturn
    """
    return tuple(
        BookedReturn(
            booking.number,
            booking.service,
            booking.tier,
            booking.fingerprint,
            max(0.0, booking.due_at - now),
        )
        for booking in calendar.told(now)
    )


def recognise_returns(calendar, report, tickets, now):
    """Record the bookings of a peer, and find those for its waiting requests.

    Parameters
    ----------
    report : Report
        The peer's report.
    tickets : iterable of Ticket
        Its waiting requests; those with a booking are marked as returns.
    """
    calendar.record(
        Booking(
            entry.service,
            entry.tier,
            "",
            entry.fingerprint,
            1,
            now + entry.due_in,
            report.instance,
            entry.number,
            now,
        )
        for entry in report.booked_returns
    )
    for ticket in tickets:
        calendar.claim(ticket, (ticket.owner, ticket.number), now)
