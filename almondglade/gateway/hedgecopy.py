"""Send a second copy of a request that may be repeated, and take the first good answer.

Load pattern: one answer in some dozens comes many times later than the others, as its
target stalls, while other targets have free slots.
"""

import threading
from typing import Any

from ..dispatch.call import DoubtfulRefusalError
from ..dispatch.connections import Attempt, PermitExpiredError
from ..errors import TargetError
from ..log import get_logger
from ..outcome import RequestError
from ..placement.hedging import Withheld
from .answers import NOT_RUN_STATUSES, AnswerRecorder

log = get_logger("requests")

# Interval at which a late request is looked at again, as its target may have turned out
# silent, or room may have come; callers wait for several of them.
CHECK_SECONDS = 0.1
# A coordinator has this long to grant a slot, some round trips; then there is none.
SLOT_WAIT_SECONDS = 0.05
SLOT_CHECK_SECONDS = 0.01


class HedgeCopy(AnswerRecorder):
    """The second copy of a request, in a thread of its own.

    Parameters
    ----------
    hedge : Hedge
        Decides whose answer the caller gets.
    ticket : Ticket
        Holds its slot, which it releases unless the caller gets its answer.
    """

    def __init__(self, hedge, ticket):
        super().__init__(hedge.run.scheduler, hedge.run.request)
        self.hedge = hedge
        self.ticket = ticket
        self.head: Any = None
        self._ending = threading.Event()

    def start(self):
        """Send the copy."""
        threading.Thread(target=self._run, name="hedge", daemon=True).start()

    @property
    def is_ended(self):
        """Whether the copy is to end, as the caller needs it no more."""
        return self._ending.is_set()

    def end(self):
        """End the copy in any phase; safe from any thread."""
        self._ending.set()
        call = self.call
        if call is not None:
            call.cancel()

    def _new_attempt(self):
        caller_connection, ending = self.request.caller_connection, self._ending
        return Attempt(lambda: not (caller_connection.disconnected or ending.is_set()))

    def _cancel_on_disconnect(self):
        """Leave this to the first copy's run, which ends both."""

    def drop(self):
        """Close the connection and release the slot."""
        self._drop_call()

    def _drop_call(self):
        if self.call is not None:
            self.call.close()
        self._release(None)

    def _run(self):
        try:
            self._answer()
        except Exception:
            log.exception("a hedge failed", request=self.request.request_id)
        finally:
            # The hedge and the copy would keep each other, and the body.
            hedge, self.hedge = self.hedge, None
            if hedge.winner is not self:
                self.drop()
            hedge.finish_copy()

    def _answer(self):
        request = self.request
        try:
            head = self._dispatch()
            response_info = self._read_statements(head)
        except (RequestError, PermitExpiredError):
            return
        except TargetError as error:
            if not self.is_ended and not request.caller_connection.disconnected:
                self._record_broken(error)
            return
        if response_info.not_run:
            self._record_refusal(head, response_info)
            return
        request.may_have_run = True
        if head.status < 500 and head.status not in NOT_RUN_STATUSES:
            self.head = head
            self.hedge.claim(self)
        elif head.status >= 500:
            self._update_health(lambda health, now: health.record_failure(now))

    def _record_broken(self, error):
        target = self.ticket.target if self.ticket else None
        if self.call is not None and self.call.attempt.dispatched:
            self._end_broken(error)
        if target is not None and not isinstance(error, DoubtfulRefusalError):
            self.scheduler.record_unreachable(target)


class Hedge:
    """Waits until a copy is late, then sends another one, if it may.

    Parameters
    ----------
    run : HedgedRun
        Its newest exchange is the first copy.
    hedging : Hedging
    """

    def __init__(self, run, hedging):
        self.run = run
        self.hedging = hedging
        self.request = run.request
        self.scheduler = run.scheduler
        self.clock = run.clock
        self.first_call = run.call
        self.target = run.ticket.target
        self.started_at = self.clock()
        self.due = self.started_at + hedging.delay(self.request.route)
        self.copy: Any = None
        self.winner: Any = None
        self._is_asking = True
        self._withheld: Withheld | None = None
        self._ticket: Any = None
        self._asked_at = 0.0
        self._deadline: Any = None
        self._lock = threading.Lock()
        self._copy_finished = threading.Event()

    def start(self):
        """Start to watch the first copy."""
        with self._lock:
            self._schedule(min(self.due, self.clock() + CHECK_SECONDS))

    def _schedule(self, due):
        self._deadline = self.scheduler.deadlines.call_at(due, self._check)

    def _check(self):
        """Send the hedge if it is due and allowed, else look again (timer thread)."""
        with self._lock:
            if not self._is_asking:
                return
            due = self._ask()
            if due is not None:
                self._schedule(due)

    def _ask(self):
        """Return when to look again; None once the hedge is sent."""
        now = self.clock()
        if not self.first_call.attempt.dispatched or (
            now < self.due and not self.scheduler.is_paused(self.target)
        ):
            return min(max(self.due, now + SLOT_CHECK_SECONDS), now + CHECK_SECONDS)
        if self._ticket is None:
            attempted = {*self.request.attempted_targets, self.target}
            excluded, self._withheld = self.hedging.find_target(self.request, attempted)
            if self._withheld is not None:
                return now + CHECK_SECONDS
            self._ticket = self.scheduler.request_spare_slot(self.request, excluded)
            self._asked_at = now
        if not self._ticket.target:
            if now - self._asked_at < SLOT_WAIT_SECONDS:
                return now + SLOT_CHECK_SECONDS
            self._return_ticket()
            self._withheld = Withheld.OVER_CAPACITY
            return now + CHECK_SECONDS
        if not self.hedging.spend(self.request.service):
            self._return_ticket()
            self._withheld = Withheld.OVER_SHARE
            return now + CHECK_SECONDS
        self._send(now)
        return None

    def _send(self, now):
        ticket, self._ticket = self._ticket, None
        self._is_asking = False
        self._withheld = None
        self.hedging.count(self.request, "sent")
        log.info(
            "hedge sent",
            request=self.request.request_id,
            target=ticket.target,
            first_target=self.target,
            delay=round(self.due - self.started_at, 4),
            seconds=round(now - self.started_at, 4),
        )
        self.copy = copy = HedgeCopy(self, ticket)
        try:
            copy.start()
        except RuntimeError as error:
            log.warning("no thread for a hedge", cause=str(error))
            self.copy = None
            copy.drop()
            self.hedging.count(self.request, "failed")

    def _return_ticket(self):
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self.scheduler.return_slot(ticket)

    def stop_asking(self):
        """Send no hedge from now on; return whether one was sent."""
        with self._lock:
            was_asking, self._is_asking = self._is_asking, False
            if self._deadline is not None:
                self._deadline.cancel()
            self._return_ticket()
            withheld = self._withheld
        if was_asking and withheld is not None:
            self.hedging.record_withheld(self.request, withheld)
        return self.copy is not None

    def claim(self, claimant):
        """Return whether the caller gets the answer of a copy; ends the other one.

        Parameters
        ----------
        claimant : HedgedRun or HedgeCopy
        """
        with self._lock:
            if self.winner is None:
                self.winner = claimant
        if self.winner is not claimant:
            return False
        if claimant is self.copy:
            self.first_call.cancel()
        elif self.copy is not None:
            self.copy.end()
        return True

    def finish_copy(self):
        """Record how the copy has ended, and wake who waits for it."""
        if self.winner is self.copy:
            result = "won"
        else:
            result = "ended" if self.copy.is_ended else "failed"
        self.hedging.count(self.request, result)
        log.info(
            "hedge over",
            request=self.request.request_id,
            result=result,
            seconds=round(self.clock() - self.started_at, 4),
        )
        self._copy_finished.set()

    def cancel(self):
        """End both copies, as the caller has left; safe from any thread."""
        self.first_call.cancel()
        if self.copy is not None:
            self.copy.end()

    def wait(self, seconds):
        """Wait until the copy has ended or answered; return it if it has won."""
        if not self._copy_finished.wait(max(0.0, seconds)):
            self.request.may_have_run = True
        return None if self.claim(self.run) else self.copy
