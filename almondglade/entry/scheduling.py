"""Schedule one request: obtain a permit, dispatch it and record its usage."""

import time

import xxhash

from .. import messages as m
from ..deadlines import Deadlines
from ..dispatch.call import (
    UNFRAMED,
    Call,
    CallCancelledError,
    CallTimeoutError,
    NotSentError,
)
from ..dispatch.connections import Attempt, PermitExpiredError
from ..errors import TargetError
from ..kinds import ServiceKind
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..plugins import find_plugin
from ..usage import UsageLog

log = get_logger("requests")

MAX_DISPATCH_ATTEMPTS = 3
IMMEDIATE_RETRY_AFTER_SECONDS = 0.0
NO_TARGET_RETRY_AFTER_SECONDS = 1.0


class Run:
    """A dispatched request; iterates over the body of its response.

    It ends with the last chunk, with an error, or when it is closed, even if
    iteration has not begun.

    Parameters
    ----------
    scheduler : Scheduler
        Releases the permit and records the usage.
    request : IncomingRequest
        The dispatched request.
    permit : Permit
        Permit of the dispatch, released when the run ends.
    call : Call
        The open call.
    head : ResponseHead
        Status and headers of the response.
    meter : UsageMeter
        Counts the tokens of the response.
    idempotent : bool
        Whether the request may be sent again after an unknown outcome.
    """

    def __init__(self, scheduler, request, permit, call, head, meter, idempotent):
        self.scheduler = scheduler
        self.request = request
        self.permit = permit
        self.call = call
        self.head = head
        self.meter = meter
        self.idempotent = idempotent
        self.first_byte_seconds = 0.0
        self.ended = False

    def __iter__(self):
        return self

    def __next__(self):
        if self.ended:
            raise StopIteration
        try:
            chunk = self.call.read()
        except TargetError as error:
            raise self.fail(error) from error
        if chunk:
            self.first_byte_seconds = self.first_byte_seconds or self._elapsed()
            self.meter.feed(chunk)
        if self.call.is_complete:
            # Finish before sending the last byte; the caller may disconnect after it.
            self.finish(m.Result.COMPLETED)
        if not chunk:
            raise StopIteration
        return chunk

    def close(self):
        """Cancel the run if it has not ended."""
        if not self.ended:
            self.call.close()
            self.finish(m.Result.CANCELLED)

    def fail(self, error):
        """Release the permit and return the error for the caller."""
        self.finish(result_of_error(error))
        return run_error(error, self.permit, self.idempotent)

    def finish(self, result):
        """Release the permit and write the usage record; only the first call counts."""
        if self.ended:
            return
        self.ended = True
        self.request.caller_connection.on_disconnect(None)
        self.permit.cancel = None
        usage = self.meter.usage
        self.scheduler.end(
            self.request,
            self.permit,
            m.Completion(
                self.request.request_id,
                self.request.service,
                result,
                usage.input_tokens,
                usage.cached_tokens,
                usage.output_tokens,
                self.first_byte_seconds,
                self._elapsed(),
                unframed=self.call.framing == UNFRAMED,
            ),
        )

    def _elapsed(self):
        return self.call.clock() - self.call.started_at


class Scheduler:
    """Obtains permits and dispatches requests, in the caller's thread.

    Parameters
    ----------
    broker : PermitBroker
        Source of permits.
    store : ConfigurationStore
        Declarations that are in force.
    pools : TargetPools
        Connections to the targets.
    clock : callable
        Returns monotonic seconds.
    deadlines : Deadlines or None
        Timer for the time limits of the calls; a new one if None.
    usage : UsageLog or None
        Receives the usage records; a new one, which logs them, if None.
    """

    def __init__(
        self,
        broker,
        store,
        pools,
        clock=time.monotonic,
        deadlines=None,
        usage=None,
    ):
        self.broker = broker
        self.store = store
        self.pools = pools
        self.clock = clock
        self.deadlines = deadlines or Deadlines(clock)
        self.usage = usage or UsageLog()

    def run(self, request):
        """Dispatch a request and return its `Run`.

        Raises
        ------
        RequestError
            If the request was not run or no response began.
        """
        service = self.store.declarations.services[request.service]
        kind = find_plugin(ServiceKind, service.kind)()
        kind.check(request)
        deadline = self.clock() + service.max_wait
        attempted_targets: tuple[str, ...] = ()
        for _ in range(MAX_DISPATCH_ATTEMPTS):
            demand = self._demand(request, service, kind, deadline, attempted_targets)
            permit = self._acquire(request, demand)
            try:
                return self._dispatch(request, service, kind, permit)
            except NotSentError as error:
                attempted_targets += (permit.grant.target,)
                self._log_not_sent(request, permit, error)
            except PermitExpiredError as error:
                self._log_not_sent(request, permit, error)
        raise RequestError(
            Code.NO_TARGET,
            "no target could be reached",
            Outcome.NOT_RUN,
            NO_TARGET_RETRY_AFTER_SECONDS,
        )

    def _acquire(self, request, demand):
        """Wait for a permit; withdraw the demand if the caller disconnects."""
        request.caller_connection.on_disconnect(lambda: self.broker.withdraw(demand))
        try:
            if request.caller_connection.disconnected:
                raise caller_disconnected_error()
            permit = self.broker.acquire(demand)
        finally:
            request.caller_connection.on_disconnect(None)
        if request.caller_connection.disconnected:
            self._release_unused(request, permit, m.Result.UNUSED)
            raise caller_disconnected_error()
        return permit

    def _log_not_sent(self, request, permit, error):
        log.info(
            "request was not sent, trying again",
            request=request.request_id,
            target=permit.grant.target,
            cause=str(error),
        )

    def end(self, request, permit, completion):
        """Release a permit and write the usage record of its dispatch."""
        try:
            self.broker.release(permit, completion)
        finally:
            self.usage.close(completion)

    def _demand(self, request, service, kind, deadline, attempted_targets):
        size = kind.size(request)
        text = f"{request.workspace}\0{request.service}\0".encode() + request.body
        return m.Demand(
            request.request_id,
            request.service,
            request.workspace,
            request.tier,
            size.input_tokens,
            size.output_tokens,
            size.prefix_hash,
            xxhash.xxh64_intdigest(text),
            max(0.0, deadline - self.clock()),
            kind.preemptible,
            attempted_targets,
        )

    def _dispatch(self, request, service, kind, permit):
        target = self.store.declarations.targets.get(permit.grant.target)
        if target is None:
            self._release_unused(request, permit, m.Result.UNUSED)
            raise NotSentError("the target is no longer declared")
        idempotent = kind.is_idempotent(service, request)
        attempt = Attempt(lambda: self._may_dispatch(request, permit))
        meter = kind.meter()
        call = Call(
            self.pools.get(target.url),
            request,
            service.limits,
            attempt,
            self.deadlines,
            self.clock,
            new_connection=not idempotent,
        )
        run = Run(self, request, permit, call, None, meter, idempotent)
        self.usage.open(permit, attempt, meter)
        self._enable_cancellation(request, permit, kind, call)
        try:
            run.head = call.open()
        except NotSentError:
            self._release_unused(request, permit, m.Result.REFUSED)
            raise
        except PermitExpiredError:
            self._release_unused(request, permit, m.Result.UNUSED)
            raise
        except TargetError as error:
            raise run.fail(error) from error
        except BaseException:
            run.finish(m.Result.BROKEN)
            raise
        return run

    def _enable_cancellation(self, request, permit, kind, call):
        permit.cancel = call.cancel
        if permit.preempted is not None:
            call.cancel()
        if kind.preemptible:
            request.caller_connection.on_disconnect(call.cancel)

    def _may_dispatch(self, request, permit):
        return (
            not request.caller_connection.disconnected
            and self.broker.is_valid(permit)
            and self.store.takes_new_work(permit.grant.target)
        )

    def _release_unused(self, request, permit, result):
        completion = m.Completion(request.request_id, request.service, result)
        self.end(request, permit, completion)


def result_of_error(error):
    """Return the result to report for a permit whose run failed with an error."""
    match error:
        case CallCancelledError():
            return m.Result.CANCELLED
        case CallTimeoutError():
            return m.Result.TIMED_OUT
        case _:
            return m.Result.BROKEN


def run_error(error, permit, idempotent):
    """Return the error that a caller gets for a failed run."""
    if permit.preempted is not None:
        return RequestError(
            Code.PREEMPTED,
            "the run was cancelled for a higher tier",
            Outcome.UNKNOWN,
            permit.preempted.retry_after if idempotent else None,
        )
    match error:
        case CallTimeoutError():
            code = Code.TARGET_TIMEOUT
        case CallCancelledError():
            code = Code.CALLER_GONE
        case _:
            code = Code.TARGET_FAILED
    retry_after = IMMEDIATE_RETRY_AFTER_SECONDS if idempotent else None
    return RequestError(code, str(error), Outcome.UNKNOWN, retry_after)


def caller_disconnected_error():
    """Return the error that ends a request whose caller has disconnected."""
    return RequestError(Code.CALLER_GONE, "the caller has gone away")
