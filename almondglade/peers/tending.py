"""Keep the links that this instance needs, and return to better coordinators."""

import asyncio

MAINTENANCE_INTERVAL_SECONDS = 0.25
# This instance coordinates from then on, even if no other has joined it.
SELF_TRUST_SECONDS = 4.0


class LinkMaintainer:
    """Looks at links, relays and coordinators at regular intervals.

    Parameters
    ----------
    membership : Membership
        Which instances there are.
    links : LinkTable
        Links that this instance has opened.
    freshness : ConfigurationFreshness
        Evidence from the relays.
    host : CoordinatorHost
        Coordinators that run here.
    store : ConfigurationStore
        Declared document in force.
    rejoin : callable
        Chooses the coordinators anew.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, membership, links, freshness, host, store, rejoin, clock):
        self.membership = membership
        self.links = links
        self.freshness = freshness
        self.host = host
        self.store = store
        self.rejoin = rejoin
        self.clock = clock
        self.started_at = clock()

    async def run(self):
        """Tend the links until cancelled."""
        while True:
            if self.membership.has_list:
                self.maintain()
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def maintain(self):
        """Open, close and trust links as needed."""
        membership = self.membership
        self.freshness.set_relays(membership.relays())
        self.freshness.is_current()
        declarations = self.store.declarations
        pools = declarations.services if declarations is not None else ()
        self.links.reconcile(membership.required_links(pools))
        for name in list(membership.suspects):
            if self._is_trustworthy(name):
                membership.trust(name)
        self.rejoin()

    def _is_trustworthy(self, name):
        if name != self.membership.own.name:
            return self.links.is_stable(name)
        has_other_entries = any(
            coordinator.leases.by_entry.keys() - {name}
            for coordinator in self.host.by_pool.values()
        )
        return has_other_entries or self.clock() - self.started_at > SELF_TRUST_SECONDS
