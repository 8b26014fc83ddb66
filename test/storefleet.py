"""Gateways before a store that comes back from a copy, or turns some of them away."""

import time
from dataclasses import dataclass

from soak.proxy import Proxy

from .gatewayfleet import GatewayFleet, make_response, make_route
from .support.targets import FakeTarget

# Bounds of the platform: until a change of the configuration is in force, until a
# leaving target gets nothing more, and until a revoked key stops working.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
REVOKE_SECONDS = 5.0
# Time in which targets and operators write again what the store has lost.
REWRITE_SECONDS = 0.3
CHANGES_AFTER_COPY = 42


def respond_ok(request):
    """Return the response of a target that has run the request."""
    return make_response(request=request)


def make_target():
    """Return a target that answers each request."""
    return FakeTarget(respond_ok)


def added_route(number):
    """Return a route that a later version of the configuration adds."""
    return make_route(f"/added{number}/", "idempotent", "plain")


@dataclass
class StoreFleet(GatewayFleet):
    """Gateways that read the store through a proxy each.

    Parameters
    ----------
    era : int or None
        Era of the store at the start; None if it states none.
    """

    era: int | None = 1

    def __enter__(self):
        self.proxy_by_address = {}
        super().__enter__()
        if self.era is not None:
            self.control_store("era", number=self.era)
        return self

    def store_address(self, address):
        """Return the address of the gateway's proxy to the store."""
        if address not in self.proxy_by_address:
            proxy = self.proxy_by_address[address] = Proxy(self.store.port)
            self.stack.callback(proxy.close)
        return f"127.0.0.1:{self.proxy_by_address[address].port}"

    def put_bytes(self, key, document):
        """Write an item that need not be JSON."""
        url = f"http://127.0.0.1:{self.store.port}/standin/item?key={key}"
        self.http.request("POST", url, body=document)

    def turn_away(self, address):
        """Cut a gateway off from the store."""
        proxy = self.proxy_by_address[address]
        proxy.is_refusing = True
        proxy.reset()

    def let_in(self, address):
        """Let a gateway reach the store again."""
        self.proxy_by_address[address].is_refusing = False

    def configure_routes(self, version, added=(), keys=None, **terms):
        """Write a configuration with a default route and some added ones.

        Parameters
        ----------
        **terms
            Terms of the default route.
        """
        routes = [make_route("/look/", "idempotent", "plain", **terms)]
        routes += [added_route(number) for number in added]
        options = {} if keys is None else {"keys": keys}
        self.configure(version, routes=routes, **options)

    def write_changes(self, target):
        """Write the entry of a target several times, as after a copy was taken."""
        for _ in range(CHANGES_AFTER_COPY):
            self.list_target("t1", target)

    def restore_after_outage(self, seconds=1.0):
        """Stop the store for some time and let it come back from its copy."""
        self.set_store_state(down=True)
        time.sleep(seconds)
        self.control_store("restore")
        self.set_store_state(down=False)

    def statuses(self, path, **headers):
        """Return the status of one request at each gateway."""
        return [
            self.call(path, address, **headers).status for address in self.addresses
        ]

    def wait_for_statuses(self, path, expected, seconds):
        """Return whether all gateways answer with a status within some time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if set(self.statuses(path)) == {expected}:
                return True
            time.sleep(0.05)
        return False
