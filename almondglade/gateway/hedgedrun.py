"""Run a request that may have two copies at a time, in the caller's thread.

Load pattern: see `hedgecopy`. The first copy runs in the caller's thread like any
request; once the second one has answered, the run goes on with its exchange.
"""

from typing import Any

from .answers import NOT_RUN_STATUSES
from .dispatching import TARGET_RESPONSE_MARGIN_SECONDS
from .hedgecopy import Hedge
from .run import GatewayRun


class HedgedRun(GatewayRun):
    """A dispatched request that may have a second copy until it is answered."""

    def __init__(self, scheduler, request, hedging):
        super().__init__(scheduler, request)
        self.hedging = hedging
        self.hedge: Any = None

    def open(self):
        """Dispatch the request until a good answer of one copy begins."""
        try:
            return super().open()
        finally:
            self._end_hedge()

    def _end_hedge(self):
        hedge, self.hedge = self.hedge, None
        if hedge is not None and hedge.stop_asking():
            if not hedge.claim(self):
                # Its answer was not taken.
                hedge.copy.drop()

    def _open_call(self):
        self._end_hedge()
        if self.ticket is None:
            return super()._open_call()
        self.hedge = hedge = Hedge(self, self.hedging)
        hedge.start()
        is_timed = False
        try:
            head = super()._open_call()
            is_timed = head.status < 500 and head.status not in NOT_RUN_STATUSES
        finally:
            if hedge.stop_asking():
                is_timed = is_timed or hedge.winner is hedge.copy
            if is_timed:
                self.hedging.record_first_byte(
                    self.request, self.clock() - self.sent_at
                )
        return head

    def _cancel_on_disconnect(self):
        hedge = self.hedge
        cancel = self.call.cancel if hedge is None else hedge.cancel
        self.request.caller_connection.on_disconnect(cancel)

    def _claim_answer(self):
        return self.hedge is None or self.hedge.claim(self)

    def _end_broken(self, error):
        hedge = self.hedge
        if hedge is None or hedge.winner is None or hedge.winner is self:
            super()._end_broken(error)
            return
        # The other copy has answered.
        self.request.may_have_run = True
        self._drop_call()

    def _take_other_copy(self):
        hedge, request = self.hedge, self.request
        if hedge is None or hedge.copy is None:
            return None
        request.caller_connection.on_disconnect(hedge.cancel)
        copy = hedge.wait(
            request.deadline + TARGET_RESPONSE_MARGIN_SECONDS - self.clock()
        )
        if copy is None:
            request.caller_connection.on_disconnect(None)
            return None
        self._drop_call()
        self.hedge = None
        self.call, self.ticket, self.record = copy.call, copy.ticket, copy.record
        self.meter, self.sent_at = copy.meter, copy.sent_at
        self.handover = copy.handover
        copy.ticket = None
        self._cancel_on_disconnect()
        return copy.head
