"""Share the counters of allowances, loads of cells and configuration with peers."""

from typing import Any

from ..clocks import boottime_clock
from ..gossip.messages import SharedState
from ..log import get_logger
from ..placement.allowance import Scope

log = get_logger("exchange")


class SharedStateExchange:
    """Makes and applies the part of reports that concerns the whole fleet.

    The caller holds the lock of the scheduling state. Parameters are those of
    `Exchange`.
    """

    def __init__(self, settings, pools, allowances, freshness, registry):
        self.settings = settings
        self.pools = pools
        self.allowances = allowances
        self.freshness = freshness
        self.registry = registry
        self.peer_states: Any = None

    def _shared_state(self, scope, receiver, now):
        loads = self.pools.loads_here(now)
        for load in loads:
            self.pools.cell_reports.record_load(load, now)
        return SharedState(
            self.registry.catalogue_revision,
            self.freshness.age(boottime_clock()),
            scope,
            self.allowances.counters_for(scope, receiver),
            tuple(
                loads
                if scope is Scope.OWN
                else self.pools.cell_reports.recent_loads(now)
            ),
            self.freshness.version,
            self.registry.position,
        )

    def _apply_shared_state(self, report, shared_state, now, said_at):
        self.allowances.apply_peer_counters(
            report.instance,
            report.incarnation,
            shared_state.consumed_by_workspace,
            shared_state.scope,
            None if self.pools.is_full_mesh else now,
            self._is_counted(report, shared_state.scope, now),
        )
        self._apply_configuration_evidence(report.instance, shared_state, said_at)
        for cell_load in shared_state.cells:
            self.pools.cell_reports.record_load(cell_load, now)

    def _apply_configuration_evidence(self, peer, shared_state, said_at):
        was_outdated = self.freshness.is_outdated
        self.freshness.confirm(
            shared_state.version, said_at - shared_state.evidence_age, boottime_clock()
        )
        self.peer_states.record(peer, shared_state.version, shared_state.store_position)
        if self.freshness.is_outdated and not was_outdated:
            log.info(
                "a peer has a newer configuration",
                peer=peer,
                version=shared_state.version,
                version_in_force=self.freshness.version,
                evidence_age=round(shared_state.evidence_age, 3),
            )

    def _is_counted(self, report, scope, now):
        """Return whether the consumption in a report is to be counted.

        The same consumption must count once only. While instances disagree on the
        relay of a data centre, several of them relay it; only the reports of the relay
        that is chosen here are counted.
        """
        if self.pools.is_full_mesh:
            return scope is Scope.OWN
        if scope is Scope.OWN:
            return report.data_centre == self.settings.data_centre
        relay = self.pools.coordinators.choose("", now, report.data_centre)
        return report.instance == relay
