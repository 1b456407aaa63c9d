import pytest

from tarragonway.gateway.tests.harness import GatewayHarness


@pytest.fixture
async def harness(unused_tcp_port_factory):
    harness = GatewayHarness()
    harness.address = f"127.0.0.1:{unused_tcp_port_factory()}"
    harness.ports = unused_tcp_port_factory
    await harness.server.listen(harness.address)
    yield harness
    harness.server.close()
