"""Keep and share which software version began each stream that callers may take up."""

import threading
from collections.abc import Callable
from typing import Any

from ..gossip.fleet import HolderCounts
from ..gossip.messages import OriginQuery, OriginReport
from ..log import get_logger
from ..outcome import Code, RequestError
from ..placement.origins import OriginTable, StreamOrigin

log = get_logger("origins")

# Peers that are told of a new stream; the rest may stop or lose the message.
TOLD_PEERS = HolderCounts(full_mesh=8, large_fleet=3)
# Peers that are asked; more, as instances may not agree on the members of the fleet.
ASKED_PEERS = HolderCounts(full_mesh=16, large_fleet=6)
# A query is repeated once, as datagrams are lost.
QUERY_TIMEOUTS_SECONDS = (0.08, 0.12)
# Another instance may know the origin of a stream that is not known here.
UNKNOWN_RETRY_AFTER_SECONDS = 0.25


class OriginTracker:
    """Tracks which software version began each stream, on one gateway.

    Parameters
    ----------
    instance : str
        This instance.
    metrics : Metrics
        Where streams that are taken up are counted.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    gossip : GossipProtocol
        Sends the messages; set after it has been created.
    is_certain : callable
        Takes a recorded `StreamOrigin` and its age, and returns whether it is right.
    is_doubtful : callable
        Takes the same, and returns at once whether it may be wrong.
    """

    def __init__(self, instance, metrics, clock):
        self.instance = instance
        self.metrics = metrics
        self.clock = clock
        self.gossip: Any = None
        self.is_certain: Callable[[StreamOrigin, float], bool] = lambda *args: True
        self.is_doubtful: Callable[[StreamOrigin, float], bool] = lambda *args: False
        self._table = OriginTable()
        self._known = threading.Condition()

    def record(self, request_id, origin):
        """Record the first event of a stream before its caller gets it."""
        with self._known:
            self._table.add(request_id, origin, self.clock())
        report = OriginReport(
            self.instance, request_id, origin.service, origin.version, 0.0
        )
        # A gateway may be killed as soon as its caller has got the event.
        self.gossip.send_to_holders(request_id, report, TOLD_PEERS)

    def find(self, request_id, resumed_request, infer=lambda: None):
        """Return the `StreamOrigin` of a stream that a caller takes up.

        Asks the peers if it is not known here.

        Parameters
        ----------
        request_id : str
            Id of the caller's request.
        resumed_request : str or None
            Id of the request that brought the first event of the stream.
        infer : callable
            Called if no gateway knows; returns the origin that targets prove, or None.

        Raises
        ------
        RequestError
            If the origin is not known.
        """
        found, source = None, "not named"
        if resumed_request is not None:
            found, source = self._wait_for(resumed_request, 0.0), "this gateway"
            for timeout in QUERY_TIMEOUTS_SECONDS:
                if found is None:
                    query = OriginQuery(self.instance, resumed_request)
                    self.gossip.send_to_holders_soon(
                        resumed_request, query, ASKED_PEERS
                    )
                    found, source = self._wait_for(resumed_request, timeout), "peers"
        origin, age = found or (None, None)
        if found is not None and not self.is_certain(*found):
            origin = None
        if origin is None:
            origin, source, age = infer(), "targets", None
            if origin is not None and found is None:
                self.record(resumed_request or request_id, origin)
        result = source if origin is not None else "unknown"
        self.metrics.count("stream_resumes_total", result=result)
        log.info(
            "stream taken up"
            if origin is not None
            else "request refused: it resumes a stream of an unknown version",
            request=request_id,
            resumes=resumed_request,
            source=source,
            service=origin.service if origin is not None else None,
            version=origin.version if origin is not None else None,
            age=round(age, 3) if age is not None else None,
        )
        if origin is None:
            raise RequestError(
                Code.NO_TARGET,
                "it is not known which targets began the stream",
                retry_after=UNKNOWN_RETRY_AFTER_SECONDS,
            )
        return origin

    def _wait_for(self, request_id, timeout):
        with self._known:
            return self._known.wait_for(
                lambda: self._table.find(request_id, self.clock()), timeout
            )

    def handle_report(self, report, sent_at=None):
        """Record the origin of a stream that a peer reports.

        Parameters
        ----------
        report : OriginReport
        sent_at : float or None
            Monotonic time at which its age was true; None for now.
        """
        sent_at = self.clock() if sent_at is None else sent_at
        with self._known:
            self._table.add(
                report.request_id,
                StreamOrigin(report.service, report.version),
                sent_at - report.age,
            )
            self._known.notify_all()

    def answer(self, query):
        """Return the `OriginReport` for a peer's query, or None if it is not known."""
        with self._known:
            found = self._table.find(query.request_id, self.clock())
        if found is None or self.is_doubtful(*found):
            return None
        origin, age = found
        return OriginReport(
            self.instance, query.request_id, origin.service, origin.version, age
        )

    def expire(self):
        """Forget the streams that are too old to be taken up."""
        with self._known:
            self._table.expire(self.clock())
