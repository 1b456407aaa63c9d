"""HTTP server of the operators' calls."""

from collections.abc import Callable

from tarragonway.coordinator.leader_calls import LeaderCalls
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.coordinator.operators import OperatorInterface
from tarragonway.coordinator.rollout_orders import RolloutOrderInterface
from tarragonway.coordinator.stored_configuration import StoredConfiguration
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.http1 import HttpServer
from tarragonway.node.settings import Bounds
from tarragonway.replication import LogDriver
from tarragonway.rollouts.calls import RolloutCalls
from tarragonway.routes.model import (
    MAX_CONFIGURATION_BYTES,
    Configuration,
    ConnectionLimits,
)

ConfigurationDecoder = Callable[[bytes], Configuration]


def make_operator_server(
    driver: LogDriver,
    machine: CoordinatorMachine,
    stored: StoredConfiguration,
    clock: WallClock,
    bounds: Bounds,
    decoders: tuple[ConfigurationDecoder, ConfigurationDecoder],
    paths: tuple[str, str],
    rollout_calls: RolloutCalls,
    find_leader: Callable[[], str],
    counters: Counters,
) -> HttpServer:
    """Return the server; calls about rollouts need bounds on their exposure.

    Parameters
    ----------
    driver, machine, stored, clock, bounds
        The replicated log, its state machine, the configuration in force, the wall
        clock, the limits of the deployment.
    decoders : tuple of callable
        Decode a new configuration, and one that was accepted before.
    paths : tuple of str
        Paths of the calls that replace and read the configuration.
    rollout_calls : RolloutCalls
        The platform's form of the calls about rollouts.
    find_leader : callable
        Returns the operator address of another process that leads, or "".
    counters : Counters
        Receives ``operator.*`` and ``rollouts.*`` counters.
    """
    rollouts = None
    if bounds.exposure_share > 0:
        rollouts = RolloutOrderInterface(
            driver,
            machine,
            clock,
            stored.read,
            bounds.ack_ms / 1000,
            rollout_calls,
            LeaderCalls(driver, find_leader, counters),
            counters,
        )
    interface = OperatorInterface(
        driver,
        machine,
        *decoders,
        paths,
        find_leader,
        counters,
        rollouts,
    )
    limits = ConnectionLimits(body_bytes=MAX_CONFIGURATION_BYTES)
    return HttpServer(interface.handle, lambda: limits)
