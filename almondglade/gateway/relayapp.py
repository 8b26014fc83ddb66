"""The port on which a gateway runs requests that peers pass to it."""

from dataclasses import dataclass

import cherrypy

from ..catalogue import ServiceTerms
from ..entry.app import BUSY_RETRY_AFTER_SECONDS
from ..errors import PeerError
from ..log import get_logger
from ..outcome import Code, RequestError
from ..platform.front import parse_caller_headers
from .app import GatewayApp
from .peerstate import encode_state, parse_state_request
from .relaying import ATTEMPTED_HEADER, RELAY_HEADER, RelayTerms
from .requests import GatewayRequest

log = get_logger("relays")


@dataclass
class RelayedRequestError(RequestError):
    """A relayed request fails with an error that is reported to the peer.

    Parameters
    ----------
    attempted_targets : str
        Targets to which the request was sent here, separated by commas.
    """

    attempted_targets: str = ""

    def headers(self):
        """Return the response headers, with the targets."""
        return [*super().headers(), (ATTEMPTED_HEADER, self.attempted_targets)]


class RelayApp(GatewayApp):
    """Runs the requests of peers that reach no target of a service themselves.

    A request is routed and authenticated once more, by the configuration in force here.
    The peer has charged its workspace, decides on retries, and tells its caller.
    Peers that cannot read the store get what it has published.

    Parameters
    ----------
    is_peer : callable
        Takes an IP address and returns whether it is that of an instance of the fleet.
    *args
        As of `GatewayApp`.
    """

    def __init__(self, *args, is_peer):
        super().__init__(*args)
        self.is_peer = is_peer

    def _handle(self, http, request_id, response, request_metrics):
        self._require_peer()
        reader = self._parse_reader(http)
        if reader is not None:
            return self._published_state(response, reader)
        request = self._read_request(http, request_id)
        try:
            body = self._run(http, request, response, request_metrics)
        except RequestError as error:
            raise RelayedRequestError(
                error.code,
                error.message,
                error.outcome,
                error.retry_after,
                request.attempted_here,
            ) from error
        response.header_pairs.append((ATTEMPTED_HEADER, request.attempted_here))
        return body

    def _require_peer(self):
        address = cherrypy.serving.request.remote.ip
        if not self.is_peer(address):
            log.warning("refused a request of a stranger", address=address)
            raise RequestError(Code.FORBIDDEN, "only peers may call this port")

    @staticmethod
    def _parse_reader(http):
        try:
            return parse_state_request(http.header_pairs)
        except PeerError as error:
            log.warning("request for the published state refused", cause=str(error))
            raise RequestError(Code.BAD_REQUEST, str(error)) from error

    def _published_state(self, response, reader):
        """Return what the platform has published, as far as it is known here."""
        self._check_capacity()
        response.status = 200
        response.header_pairs = [("Content-Type", "application/json")]
        return encode_state(self.registry, reader)

    def _read_request(self, http, request_id):
        self._check_capacity()
        arrived_at = self.scheduler.clock()
        terms = self._read_terms(http, request_id)
        self.own_load.check(request_id, terms.last_event_id is not None)
        caller_headers = parse_caller_headers(http.header_pairs)
        path = http.uri.decode("latin-1")
        catalogue, route, workspace = self._admit(caller_headers, path)
        if terms.service not in route.weight_by_service:
            log.info(
                "relayed request refused: the route does not lead to the service",
                request=request_id,
                service=terms.service,
                version=catalogue.version,
            )
            raise RequestError(
                Code.NOT_FOUND,
                "the route does not lead to the service",
                retry_after=BUSY_RETRY_AFTER_SECONDS,
            )
        body = self._bodies.read(http, catalogue.limits.max_body_bytes, request_id)
        self.own_load.record_bytes(len(body))
        service_terms = catalogue.service_by_name.get(
            terms.service, ServiceTerms(terms.service)
        )
        return GatewayRequest(
            request_id,
            route,
            terms.service,
            workspace,
            caller_headers,
            http.method.decode("latin-1"),
            path,
            tuple(
                pair
                for pair in http.header_pairs
                if pair[0].lower() != RELAY_HEADER.lower()
            ),
            body,
            arrived_at,
            arrived_at + terms.time_left,
            service_terms.tokens_per_event,
            attempted_targets=list(terms.attempted_targets),
            version=terms.version,
            relayed_by=terms.instance,
            relay_last_event_id=terms.last_event_id,
            attempts_elsewhere=len(terms.attempted_targets),
        )

    @staticmethod
    def _read_terms(http, request_id):
        text = next(
            (
                value
                for name, value in http.header_pairs
                if name.lower() == RELAY_HEADER.lower()
            ),
            "",
        )
        try:
            return RelayTerms.parse(text)
        except PeerError as error:
            log.warning("relayed request refused", request=request_id, cause=str(error))
            raise RequestError(
                Code.BAD_REQUEST, "a relayed request has no valid terms"
            ) from error
