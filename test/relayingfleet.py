"""Two gateways and one target, which one of them reaches only through the other."""

import time
from dataclasses import dataclass

import urllib3

from soak.links import GatewayLinks

from .gatewayfleet import GatewayFleet, make_response, make_route
from .support.targets import WHOLE

WAIT_TIMEOUT_SECONDS = 10.0
# Each kind of route, on which nothing is tried a second time.
ROUTES = [
    make_route("/look/", "idempotent", "plain", maxAttempts=1),
    make_route("/book/", "non_idempotent", "plain", maxAttempts=1),
    make_route("/once/", "streaming", "plain", maxAttempts=1),
    make_route("/stream/", "streaming", "plain", maxAttempts=1, streamResume=True),
]


@dataclass
class RelayingFleet(GatewayFleet):
    """Gateways of which the first has no link to the target and relays its requests."""

    count: int = 2

    def __enter__(self):
        self.links = None
        return super().__enter__()

    def start_with(self, target):
        """Start the gateways with a target, to which the first one's link is cut."""
        self.target = target
        self.links = GatewayLinks(self.app, [target.url])
        self.stack.callback(self.links.close)
        self.links.cut("reset")
        self.list_target("t1", target)
        self.start()

    def store_address(self, address):
        """Return the address at which a gateway reads its view of the store."""
        if address == self.addresses[0]:
            return self.links.store_address
        return super().store_address(address)

    def address(self, is_relayed):
        """Return the address of the gateway that relays, or of the other one."""
        return self.addresses[0 if is_relayed else 1]

    def wait_until_served(self, path, is_relayed):
        """Call until the target, which is paused after a failure, is used again."""
        self.target.answer = lambda request: make_response(request=request)
        self.target.cut = WHOLE
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not self.gets_success(path, is_relayed):
            assert time.monotonic() < end, self.log(self.address(is_relayed))
            time.sleep(0.1)

    def gets_success(self, path, is_relayed, **sent):
        """Return whether a caller gets a success that is whole."""
        try:
            address = self.address(is_relayed)
            return self.call(path, address, method="POST", **sent).status < 300
        except urllib3.exceptions.HTTPError:
            return False
