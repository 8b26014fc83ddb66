"""Tell refused callers when to return, and recognise them when they do."""

from ..log import get_logger
from ..placement.returns import arrival_of

log = get_logger("requests")

# A caller that states less than this share of the longest time limit that is usual on
# its route may be a return, about which the coordinator is asked.
RETURN_LIMIT_SHARE = 0.95
# The usual longest limit falls by this share with each request that states less.
LIMIT_DECAY = 1e-3
# A possible return waits this long for the coordinator to say whether room is booked
# for it: a report and its reply in a large fleet.
RECOGNITION_SECONDS = 0.1
# Bits of a request's fingerprint that identify a return.
FINGERPRINT_MASK = 0xFFFFFFFF


class BookedReturns:
    """Books room for refused callers, with log lines and metrics.

    The caller holds the lock for all methods.

    Parameters
    ----------
    pools : Pools
        Its `returns` holds the bookings.
    is_allowed : bool
        Whether the operator allows bookings.
    metrics : Metrics
        Where returns are counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, pools, is_allowed, metrics, clock):
        self.pools = pools
        self.is_allowed = is_allowed
        self.metrics = metrics
        self.clock = clock
        self._usual_limit_by_route: dict[tuple[str, int], float] = {}

    def fingerprint(self, request):
        """Return the fingerprint of a request's returns; 0 if none are booked.

        Only requests of workspaces with an allowance are, which bounds what a
        workspace can book.
        """
        if (
            not self.is_allowed
            or request.workspace is None
            or not request.workspace.rate
            or request.attempted_targets
            or request.version
        ):
            return 0
        return request.fingerprint & FINGERPRINT_MASK or 1

    def may_be_return(self, request):
        """Return whether a request has less time than others of its route."""
        limit = request.caller_headers.time_limit
        if limit is None:
            return True
        key = (request.service, request.route.tier)
        usual = self._usual_limit_by_route.get(key, 0.0)
        usual = max(limit, usual - LIMIT_DECAY * (usual - limit))
        self._usual_limit_by_route[key] = usual
        return limit < RETURN_LIMIT_SHARE * usual

    def must_ask(self, ticket):
        """Return whether a coordinator may know of a booking for a possible return.

        Each booking is told to all coordinators of its service.
        """
        if not ticket.return_fingerprint or not ticket.may_be_return:
            return False
        return self.pools.instance not in self.pools.coordinators_of_service(
            ticket.service, self.clock()
        )

    def recognise(self, ticket, request):
        """Return whether a request is a return whose time has come.

        Sets what the ticket has to hold for that.
        """
        now = self.clock()
        ticket.return_fingerprint = self.fingerprint(request)
        if not ticket.return_fingerprint:
            return False
        ticket.may_be_return = self.may_be_return(request)
        booking = self.pools.returns.claim(ticket, request.request_id, now)
        if booking is None:
            return False
        self._record(request, arrival_of(booking, now), booking.due_at - now)
        return True

    def record_recognised(self, request):
        """Record a return that a coordinator has recognised."""
        self._record(request, "at a coordinator", None)

    def _record(self, request, arrival, early_by):
        self.metrics.count("returns_total", service=request.service, result=arrival)
        log.info(
            "refused request has returned",
            request=request.request_id,
            service=request.service,
            tier=request.tier,
            fingerprint=request.fingerprint & FINGERPRINT_MASK,
            arrival=arrival,
            early_by=None if early_by is None else round(early_by, 3),
        )

    def record_start(self, ticket):
        """Count a request that got a slot."""
        if ticket.return_fingerprint:
            self.pools.returns.rates.record(ticket, self.clock())

    def book(self, ticket, request, expected_wait):
        """Return when the caller of a refused request should return, or None.

        Parameters
        ----------
        ticket : Ticket
            The request as it waited, or would have waited.
        expected_wait : float
            Seconds after which it was expected to get a slot.

        Returns
        -------
        ReturnTime or None
            None if no room is booked for requests like it.
        """
        if not ticket.return_fingerprint or request.may_have_run:
            return None
        now = self.clock()
        if ticket.is_return:
            self.metrics.count("returns_refused_total", service=request.service)
        place = self.pools.returns.book(ticket, expected_wait, now)
        if place is not None and place.is_early:
            self._record(request, "early", place.seconds)
        return place

    def expire(self):
        """Remove the bookings whose time has passed."""
        for booking in self.pools.returns.expire(self.clock()):
            self.metrics.count("returns_expired_total", service=booking.service)
            log.info(
                "booking expired; no return was seen here",
                service=booking.service,
                tier=booking.tier,
                fingerprint=booking.fingerprint,
                number=booking.number,
            )
