import pytest

from tarragonway.gateway.tests.harness import GatewayHarness
from tarragonway.gateway.tests.hedging_harness import Hedging


@pytest.fixture
async def harness(unused_tcp_port_factory):
    harness = GatewayHarness()
    harness.address = f"127.0.0.1:{unused_tcp_port_factory()}"
    harness.ports = unused_tcp_port_factory
    await harness.server.listen(harness.address)
    yield harness
    harness.server.close()


@pytest.fixture
async def hedging(unused_tcp_port_factory):
    harness = Hedging()
    harness.address = f"127.0.0.1:{unused_tcp_port_factory()}"
    harness.ports = unused_tcp_port_factory
    await harness.server.listen(harness.address)
    harness.prepare()
    yield harness
    harness.server.close()
