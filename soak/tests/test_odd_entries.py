"""Odd entries of the platform's endpoint list beside sound ones."""

import asyncio
import time

import msgspec
import pytest

from soak.clients import Operator
from soak.deployment import Deployment, reserve_base_port
from soak.tests.test_self_reports import send_requests

CLIENTS = 8
LOAD_S = 9.0
CHANGE_AFTER_S = 3.0
# The users' ``drain_ms``, which is the default of the settings.
DRAIN_S = 3.0

ENTRY = msgspec.json.encode(
    {"id": "odd", "service": "plain", "zone": "z1", "state": "ready", "slots": 16}
)[:-1]


def name_address(address):
    return ENTRY + b',"address":%s}' % msgspec.json.encode(address)


DEEP = ENTRY + b',"address":"127.0.0.1:9","x":' + b"[" * 5000
ODD_ENTRIES = {
    "nested": [DEEP + b"]" * 5000 + b"}"],
    "nested-and-cut": [DEEP, b'{"id":"odd'],
    "address": [
        name_address("127.0.0.1:70000"),
        name_address("127.0.0.1:" + "9" * 5000),
        name_address("127.0.0.1:8²"),
        name_address("127.0.0.1\0:80"),
        name_address("é" * 300 + ":80"),
        name_address("127.0.0.1:0"),
    ],
}


@pytest.mark.timeout(60)
@pytest.mark.parametrize("kind", ODD_ENTRIES)
# Guards against odd entries that end the list's readers or keep them from following it,
# and against endpoints that cannot be called but draw the requests.
async def test_odd_entry_beside_sound_ones_harms_no_request(tmp_path, kind):
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 3, "model": 1})
    loop = asyncio.get_running_loop()
    statuses = []
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(1)
        await asyncio.sleep(4.0)
        deployment.platform.odd_entries = ODD_ENTRIES[kind]
        until = time.monotonic() + LOAD_S
        load = [
            asyncio.create_task(
                send_requests(deployment.client_addresses[n % 2], until, statuses)
            )
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(CHANGE_AFTER_S)
        leaving = deployment.endpoints[0]
        leaving.draining = True
        changed_at = loop.time()
        await asyncio.gather(*load)
        processes = [*deployment.coordinators, *deployment.gateways]
        assert not [process.name for process in processes if process.has_ended]
    finally:
        await deployment.stop()
    assert set(statuses) == {200}
    assert not [at for at in leaving.arrived_at if at > changed_at + DRAIN_S]
