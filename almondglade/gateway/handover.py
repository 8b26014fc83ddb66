"""Find another target for a run whose target is silent, before the run is ended.

Load pattern: targets pause in the middle of streams, as when their memory is short,
while the others are full, leaving or replaced. A run that is ended before another
target is known to take it up is lost, though its target would have gone on.
"""

import threading

from ..log import get_logger

log = get_logger("requests")


class Handover:
    """The next attempt of a run: its retry and its slot, which are reserved first.

    Parameters
    ----------
    run : RequestCall
        The run; only one that is resumable is handed over.
    target : str or None
        Target of the present attempt; None if a peer chose it, which also chooses the
        next one.
    """

    def __init__(self, run, target):
        self.run = run
        self.request = run.request
        self.scheduler = run.scheduler
        self.target = target
        self._ticket = None
        self._is_reserved = False
        self._is_closed = False
        self._lock = threading.Lock()

    @property
    def is_reserved(self):
        """Whether the next attempt is reserved, so that the run is ended."""
        return self._is_reserved

    def is_ready(self):
        """Return whether the next attempt is reserved; called while the run is silent.

        Waits for no slot: it is asked for, and the answer is seen at the next call.
        """
        with self._lock:
            if self._is_closed:
                return False
            if not self._is_reserved:
                self._is_reserved = self._reserve()
                if self._is_reserved:
                    log.info(
                        "another target takes a silent run up",
                        request=self.request.request_id,
                        target=self.target,
                        next_target=self._ticket.target if self._ticket else None,
                    )
            return self._is_reserved

    def _reserve(self):
        request, scheduler = self.request, self.scheduler
        attempted = {*request.attempted_targets}
        if self.target is not None:
            attempted.add(self.target)
        if not self._may_go_on(attempted):
            self._drop_ticket()
            return False
        if self.target is not None:
            if self._ticket is None:
                self._ticket = scheduler.request_slot(request, attempted)
            if not self._ticket.target:
                return False
        if scheduler.may_retry(request):
            return True
        self._drop_ticket()
        return False

    def _may_go_on(self, attempted):
        request, scheduler = self.request, self.scheduler
        attempts = len(attempted) + (self.target is None)
        return (
            self.run.resumable
            and not request.caller_connection.disconnected
            and self.run.clock() < request.deadline
            and attempts < request.route.max_attempts
            and not scheduler.suspects.isolated_fingerprint(request)
            and scheduler.has_retry_room(request.service)
            and scheduler.has_target(
                request.service, request.version or None, attempted
            )
            and self.run.is_origin_certain()
        )

    def withdraw(self):
        """Stop looking for a target, as the run goes on, unless one is reserved."""
        if self._ticket is None:
            return
        with self._lock:
            if not self._is_reserved:
                self._drop_ticket()

    def take(self):
        """Return the ticket of the reserved slot, or None; the caller releases it."""
        with self._lock:
            self._is_closed = True
            ticket, self._ticket = self._ticket, None
            if ticket is not None and not ticket.target:
                self.scheduler.return_slot(ticket)
                ticket = None
            return ticket

    def close(self):
        """Give back what was reserved and not used."""
        with self._lock:
            self._is_closed = True
            self._drop_ticket()

    def _drop_ticket(self):
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self.scheduler.return_slot(ticket)
