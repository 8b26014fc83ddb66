"""Take one request from its acceptance to its end."""

import time
from dataclasses import dataclass

import xxhash

from .. import messages as m
from ..dispatch.call import (
    BrokenCallError,
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

log = get_logger("requests")

MAX_ATTEMPTS = 3
UNKNOWN_RETRY_SECONDS = 0.0
NO_TARGET_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class UsageRecord:
    """What one dispatch is billed for; there is exactly one for each."""

    request_id: str
    workspace: str
    service: str
    target: str
    result: m.Result
    input_tokens: int
    output_tokens: int


class Run:
    """A dispatched request: an iterator over the body of its answer.

    It ends with the last chunk, with an error, or when it is closed, whether
    or not iteration had begun.

    Parameters
    ----------
    scheduler : Scheduler
        Takes the permit back.
    request : IncomingRequest
        What was dispatched.
    permit : Permit
        Released when the run ends.
    call : Call
        The open call.
    head : AnswerHead
        Status and headers of the answer.
    meter : UsageMeter
        Counts the answer.
    """

    def __init__(self, scheduler, request, permit, call, head, meter):
        self.scheduler = scheduler
        self.request = request
        self.permit = permit
        self.call = call
        self.head = head
        self.meter = meter
        self.first_byte = 0.0
        self.ended = False
        self._chunks = call.chunks()

    def __iter__(self):
        return self

    def __next__(self):
        try:
            chunk = next(self._chunks)
        except StopIteration:
            self.finish(m.Result.COMPLETED)
            raise
        except TargetError as error:
            self.finish(result_of(error))
            raise failure(error, self.permit) from error
        self.first_byte = self.first_byte or self._elapsed()
        self.meter.feed(chunk)
        return chunk

    def close(self):
        """Cancel what is left of the run."""
        if not self.ended:
            self.call.close()
            self.finish(m.Result.CANCELLED)

    def finish(self, result):
        """End the permit and write the usage record, once."""
        if self.ended:
            return
        self.ended = True
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
                self.first_byte,
                self._elapsed(),
            ),
        )

    def _elapsed(self):
        return self.call.clock() - self.call.started


class Scheduler:
    """Obtains permits and dispatches requests, in the caller's thread.

    Parameters
    ----------
    broker : PermitBroker
        Source of permits.
    store : ConfigurationStore
        Declared document in force.
    pools : TargetPools
        Connections to the targets.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, broker, store, pools, clock=time.monotonic):
        self.broker = broker
        self.store = store
        self.pools = pools
        self.clock = clock

    def run(self, request):
        """Dispatch a request and return its `Run`.

        Raises
        ------
        RequestError
            If it was not run or its answer did not begin.
        """
        service = self.store.declarations.services[request.service]
        kind = find_plugin(ServiceKind, service.kind)()
        kind.check(request)
        deadline = self.clock() + service.max_wait
        avoid: tuple[str, ...] = ()
        for _ in range(MAX_ATTEMPTS):
            demand = self._demand(request, service, kind, deadline, avoid)
            permit = self.broker.acquire(demand)
            try:
                return self._dispatch(request, service, kind, permit)
            except (NotSentError, PermitExpiredError) as error:
                log.info(
                    "request was not sent, trying another target",
                    request=request.request_id,
                    target=permit.grant.target,
                    cause=str(error),
                )
                avoid += (permit.grant.target,)
        raise RequestError(
            Code.NO_TARGET,
            "no target could be reached",
            Outcome.NOT_RUN,
            NO_TARGET_RETRY_SECONDS,
        )

    def end(self, request, permit, completion):
        """Release a permit and log what is billed for the dispatch."""
        self.broker.release(permit, completion)
        record = UsageRecord(
            request.request_id,
            request.workspace,
            request.service,
            permit.grant.target,
            completion.result,
            completion.input_tokens,
            completion.output_tokens,
        )
        log.info(
            "usage",
            request=record.request_id,
            workspace=record.workspace,
            service=record.service,
            target=record.target,
            result=record.result.value,
            input_tokens=record.input_tokens,
            output_tokens=record.output_tokens,
        )

    def _demand(self, request, service, kind, deadline, avoid):
        size = kind.size(request)
        text = f"{request.workspace}\0{request.service}\0".encode() + request.body
        return m.Demand(
            request.request_id,
            request.service,
            request.workspace,
            request.tier,
            size.input_tokens,
            size.output_tokens,
            size.prefix,
            xxhash.xxh64_intdigest(text),
            max(0.0, deadline - self.clock()),
            kind.preemptible,
            avoid,
        )

    def _dispatch(self, request, service, kind, permit):
        target = self.store.declarations.targets.get(permit.grant.target)
        attempt = Attempt(lambda: self._may_dispatch(permit))
        if target is None:
            self._release_unused(request, permit, m.Result.UNUSED)
            raise NotSentError("the target is no longer declared")
        pool = self.pools.get(target.url)
        call = Call(pool, request, service.limits, attempt, self.clock)
        permit.cancel = call.cancel
        try:
            head = call.open()
        except NotSentError:
            self._release_unused(request, permit, m.Result.REFUSED)
            raise
        except PermitExpiredError:
            self._release_unused(request, permit, m.Result.UNUSED)
            raise
        except TargetError as error:
            run = Run(self, request, permit, call, None, kind.meter())
            run.finish(result_of(error))
            raise failure(error, permit) from error
        return Run(self, request, permit, call, head, kind.meter())

    def _may_dispatch(self, permit):
        return self.broker.is_valid(permit) and (
            self.store.takes_new_work(permit.grant.target)
        )

    def _release_unused(self, request, permit, result):
        self.broker.release(
            permit, m.Completion(request.request_id, request.service, result)
        )


def result_of(error):
    """Return how a permit ended from the error that ended it."""
    match error:
        case CallCancelledError():
            return m.Result.CANCELLED
        case CallTimeoutError():
            return m.Result.TIMED_OUT
        case _:
            return m.Result.BROKEN


def failure(error, permit):
    """Return what the caller is told of a run that failed."""
    if permit.preempted is not None:
        return RequestError(
            Code.PREEMPTED,
            "the run was cancelled for a higher tier",
            Outcome.UNKNOWN,
            permit.preempted.retry_after,
        )
    match error:
        case CallTimeoutError():
            return RequestError(
                Code.TARGET_TIMEOUT, str(error), Outcome.UNKNOWN, UNKNOWN_RETRY_SECONDS
            )
        case BrokenCallError() | _:
            return RequestError(
                Code.TARGET_FAILED, str(error), Outcome.UNKNOWN, UNKNOWN_RETRY_SECONDS
            )
