"""The callers' port of a gateway."""

import random
import re
import time

from ..catalogue import ServiceTerms
from ..entry.app import BUSY_RETRY_AFTER_SECONDS, BaseEntryApp
from ..log import get_logger
from ..outcome import Code, RequestError
from ..platform.front import parse_caller_headers
from .refusals import no_version_error
from .requests import GatewayRequest

log = get_logger("gateway")

# Time limit of a request whose caller states none.
DEFAULT_TIME_LIMIT_SECONDS = 30.0
REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")


class GatewayApp(BaseEntryApp):
    """Serves callers according to the routes and API keys that the platform publishes.

    Parameters
    ----------
    registry : Registry
        Holds the catalogue in force.
    trust : callable
        Returns the `Trust` in the catalogue in force at the time of the call.
    origin_search : OriginSearch
        Finds out which version began a stream that no gateway knows.
    own_load : OwnLoad
        Refuses what this instance cannot bear.
    """

    sends_error_event = False

    def __init__(
        self,
        instance,
        incarnation,
        scheduler,
        metrics,
        max_requests,
        body_room,
        registry,
        trust,
        origin_search,
        own_load,
    ):
        super().__init__(
            instance, incarnation, scheduler, metrics, max_requests, body_room
        )
        self.registry = registry
        self.trust = trust
        self.origin_search = origin_search
        self.own_load = own_load

    def request_id(self, http):
        """Return the caller's id of the request, or a new one if that is not usable."""
        given = parse_caller_headers(http.header_pairs).request_id
        if given is not None and REQUEST_ID_PATTERN.fullmatch(given):
            return given
        return super().request_id(http)

    def is_configured(self):
        """Return whether a catalogue is in force."""
        return self.registry.catalogue is not None

    def _handle(self, http, request_id, response, request_metrics):
        arrived_at = time.monotonic()
        self._check_capacity()
        self.scheduler.suspects.wait_until_informed()
        caller_headers = parse_caller_headers(http.header_pairs)
        self.own_load.check(request_id, bool(caller_headers.last_event_id))
        path = http.uri.decode("latin-1")
        catalogue, route, workspace = self._admit(caller_headers, path)
        limit = catalogue.limits.max_body_bytes
        time_limit = min(
            caller_headers.time_limit or DEFAULT_TIME_LIMIT_SECONDS, route.timeout
        )
        body = self._bodies.read(http, limit, request_id)
        self.own_load.record_bytes(len(body))
        origin = self._find_origin(route, caller_headers, request_id)
        service = origin.service if origin else choose_service(route)
        terms = catalogue.service_by_name.get(service, ServiceTerms(service))
        request = GatewayRequest(
            request_id,
            route,
            service,
            workspace,
            caller_headers,
            http.method.decode("latin-1"),
            path,
            tuple(http.header_pairs),
            body,
            arrived_at,
            arrived_at + time_limit,
            terms.tokens_per_event,
            version=origin.version if origin else "",
        )
        request_metrics.service, request_metrics.tier = request.service, route.tier
        return self._run(http, request, response, request_metrics)

    def _admit(self, caller_headers, path):
        """Route and authenticate a request by one catalogue.

        Returns
        -------
        catalogue : Catalogue
        route : Route
        workspace : WorkspaceTerms or None
            None if the route is public.

        Raises
        ------
        RequestError
            If the catalogue does not allow the request, or may be out of date.
        """
        # Asked for after the catalogue is read, the trust could be in its successor.
        trust = self.trust()
        catalogue = self.registry.catalogue
        route = self._find_route(catalogue, trust, caller_headers, path)
        return (
            catalogue,
            route,
            self._authenticate(catalogue, trust, route, caller_headers),
        )

    def _find_route(self, catalogue, trust, caller_headers, path):
        route = catalogue.find_route(caller_headers.host, path.partition("?")[0])
        if route is None:
            self._require(trust.may_deny, catalogue, caller_headers)
            log.info(
                "request refused: no matching route",
                request=caller_headers.request_id,
                version=catalogue.version,
            )
            raise RequestError(Code.NOT_FOUND, "no route for this host and path")
        return route

    def _infer_origin(self, route, caller_headers):
        """Return the origin of a stream by what engines keep of its prompt, or None.

        Other targets keep none, and might take the question for a request.
        """
        service_by_name = self.registry.catalogue.service_by_name
        terms = [service_by_name.get(name) for name in route.weight_by_service]
        if not all(service is not None and service.is_engine for service in terms):
            return None
        return self.origin_search.infer(
            route.weight_by_service,
            caller_headers,
            min(service.tokens_per_event for service in terms),
            route.timeout,
        )

    def _find_origin(self, route, caller_headers, request_id):
        """Return the `StreamOrigin` of a stream that goes on, or None for a new one."""
        if not route.streaming or not caller_headers.last_event_id:
            return None
        origin = self.scheduler.origins.find(
            request_id,
            caller_headers.resumed_request,
            lambda: self._infer_origin(route, caller_headers),
        )
        if origin.service not in route.weight_by_service:
            log.info(
                "request refused: the route no longer leads to the stream's service",
                request=request_id,
                service=origin.service,
                route=route.name,
            )
            raise no_version_error()
        return origin

    def _authenticate(self, catalogue, trust, route, caller_headers):
        """Return the workspace of a request, or None if the route is public."""
        if route.public or not catalogue.requires_keys:
            return None
        self._require(trust.accepts_keys, catalogue, caller_headers)
        workspace = catalogue.workspace_by_key.get(caller_headers.api_key or "")
        if workspace is None:
            self._require(trust.may_deny, catalogue, caller_headers)
            log.info(
                "request refused: unknown API key",
                request=caller_headers.request_id,
                version=catalogue.version,
            )
            raise RequestError(Code.UNAUTHENTICATED, "the API key is not known")
        return workspace

    def _require(self, is_trusted, catalogue, caller_headers):
        """Refuse a request for now if another configuration may decide it otherwise."""
        if is_trusted:
            return
        log.info(
            "request refused: the configuration may be out of date",
            request=caller_headers.request_id,
            version=catalogue.version,
        )
        raise RequestError(
            Code.NO_COORDINATOR,
            "the configuration may be out of date",
            retry_after=BUSY_RETRY_AFTER_SECONDS,
        )

    def _refuse(self, response, error, request_id, request_metrics):
        super()._refuse(response, error, request_id, request_metrics)
        if error.retry_after is not None:
            # Callers of the platform accept fractions of a second.
            response.header_pairs = [
                pair for pair in response.header_pairs if pair[0] != "Retry-After"
            ] + [("Retry-After", f"{error.retry_after:.2f}")]


def choose_service(route):
    """Return a random service of a route, according to the weights."""
    weights = route.weight_by_service
    if len(weights) == 1:
        return next(iter(weights))
    return random.choices(list(weights), list(weights.values()))[0]
