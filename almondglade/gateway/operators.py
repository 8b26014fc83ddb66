"""Metrics and the state dump of a gateway, for operators."""

from ..clocks import boottime_clock
from ..metrics import set_gateway_gauges
from ..operators import OperatorPages
from ..placement.ratelimits import format_limit


class GatewayOperatorApp(OperatorPages):
    """Serves the operators' pages of a gateway."""

    def _set_gauges(self):
        set_gateway_gauges(self.node.metrics, self.node)

    def _snapshot(self):
        node = self.node
        now = node.clock()
        with node.lock:
            return {
                "instance": node.settings.instance,
                "incarnation": node.incarnation,
                "ready": not node.stopping,
                "version": node.freshness.version,
                "newest_known_version": node.freshness.newest_known_version,
                "store_position": node.registry.position,
                "evidence_age": node.freshness.age(boottime_clock()),
                "active": node.app.active,
                "peers": [peer.instance for peer in node.gossip.live_peers()],
                "targets": {
                    name: {
                        "running_here": state.running_here,
                        "limit": state.limit(),
                        "rate_limit": format_limit(state.named_rate.value),
                        "refusal_limit": format_limit(state.room.value),
                        "paused": state.health.is_paused(now),
                        "obstacle": _text(node.pools.targets.obstacle(state, now)),
                        "failures": state.health.failure_share(now),
                        "slowness": state.health.slowness,
                        "event_seconds": state.health.event_seconds,
                    }
                    for name, state in node.pools.targets.state_by_target.items()
                },
                "drawn": node.allowances.consumed_here(),
            }


def _text(obstacle):
    return obstacle.value if obstacle else None
