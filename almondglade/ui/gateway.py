"""The ``gateway`` command."""

from ..errors import SettingsError
from ..gateway.settings import DEFAULT_FEATURES, METRICS_PORT, Features
from ..log import configure_logs


def gateway(
    *,
    log_level: str = "info",
    log_form: str = "json",
    metrics_port: int = METRICS_PORT,
    hedge_share: float = DEFAULT_FEATURES.hedge_share,
    fair_shares: bool = DEFAULT_FEATURES.fair_shares,
    timely_first: bool = DEFAULT_FEATURES.timely_first,
    momentary_load: bool = DEFAULT_FEATURES.momentary_load,
    booked_returns: bool = DEFAULT_FEATURES.booked_returns,
    own_limits: bool = DEFAULT_FEATURES.own_limits,
    uneven_demand: bool = DEFAULT_FEATURES.uneven_demand,
):
    """Run one gateway on a platform until SIGTERM.

    Where it listens and what it reads stands in the file that the platform
    writes; its path is in ``ALMONDGLADE_CONFIG``.

    Parameters
    ----------
    log_level
        debug, info, warning or error.
    log_form
        console or json.
    metrics_port
        Port that serves metrics, as the deploy file names it.
    hedge_share
        Share of a service's requests, from 0 to 1, that may be sent to a second target
        before the first has answered.
    fair_shares
        Share the slots of a service among workspaces with allowances.
    timely_first
        Serve requests first that can still be answered within their objective.
    momentary_load
        Weigh what targets say of their load at this moment.
    booked_returns
        Book room for refused callers that are told when to return.
    own_limits
        Turn work away beyond what this machine's processor and link bear.
    uneven_demand
        Move load between data centres before their queues are full.
    """
    if not 0.0 <= hedge_share <= 1.0:
        raise SettingsError(f"--hedge-share is not from 0 to 1: {hedge_share}")
    configure_logs(log_level, log_form, to_output=True)
    # Imported here so that the other commands start quickly.
    from ..gateway.node import run_gateway
    from ..platform.settings import load_gateway_settings, read_settings_fingerprint

    features = Features(
        fair_shares=fair_shares,
        timely_first=timely_first,
        momentary_load=momentary_load,
        booked_returns=booked_returns,
        own_limits=own_limits,
        uneven_demand=uneven_demand,
        hedge_share=hedge_share,
    )
    run_gateway(
        lambda: load_gateway_settings(metrics_port, features=features),
        read_settings_fingerprint,
    )
