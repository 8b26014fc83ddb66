"""Estimate by when a request must get its slot to be answered within its objective.

Load pattern: for some seconds, more requests arrive than the targets can serve, so that
all wait for about as long as they may. In the order of arrival, each slot then goes to
a request that has waited so long that its answer comes late, while another one that
still could be answered in time waits until it cannot either. Those that can be in time
go first inside their tier; the others get the slots that are left.
"""

import itertools

# Weight of the newest response in the mean slowness of a service; about ten responses
# determine it.
SLOWNESS_WEIGHT = 0.1
NEVER = float("inf")


class ResponseTimes:
    """Learns how much slower than expected the targets of services respond.

    Not thread-safe; the caller holds a lock.

    Attributes
    ----------
    is_active : bool
        Whether requests that can be in time go first.
    """

    def __init__(self):
        self.is_active = False
        self._slowness_by_service: dict[str, float] = {}

    def record(self, service, slowness):
        """Record a response.

        Parameters
        ----------
        service : str
        slowness : float
            Ratio of the time to the first bytes to the time expected for the size of
            the request.
        """
        mean = self._slowness_by_service.get(service, slowness)
        self._slowness_by_service[service] = mean + SLOWNESS_WEIGHT * (slowness - mean)

    def latest_start(self, service, due_at, expected_seconds):
        """Return the time by which a request must be sent to be answered in time.

        Parameters
        ----------
        service : str
        due_at : float
            Monotonic time at which its latency objective ends.
        expected_seconds : float
            Relative measure of the time to the first bytes, by its size.

        Returns
        -------
        float
            Monotonic time; infinite as long as no response of the service is known.
        """
        slowness = self._slowness_by_service.get(service)
        return NEVER if slowness is None else due_at - slowness * expected_seconds


def arrange_timely_first(arrange, now, tickets):
    """Return requests of one tier in order, those first that can still be in time.

    Parameters
    ----------
    arrange : callable
        Takes requests and returns an iterable of them in the order of each group.
    now : float
        Monotonic time.
    tickets : sequence of Ticket
    """
    timely: list = []
    late: list = []
    for ticket in tickets:
        # Room is booked for a return, whose time was over when it was refused.
        is_first = ticket.is_return or ticket.start_by >= now
        (timely if is_first else late).append(ticket)
    return itertools.chain.from_iterable(
        arrange(group) for group in (timely, late) if group
    )
