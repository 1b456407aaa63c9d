"""Deployments of real processes; the fixture starts one for each test module."""

import asyncio

import pytest

from standins.deployment import Deployment

CONTROL_COUNT = 3
ENTRY_COUNT = 4


def start_deployment(folder, name="vardveislusjodur", options=(), **more):
    """Start a small deployment, and stop it again if the start fails."""
    more = {"control_count": CONTROL_COUNT, "entry_count": ENTRY_COUNT, **more}
    deployment = Deployment(name, folder, **more)
    try:
        asyncio.run(deployment.start(list(options)))
    except BaseException:
        deployment.stop()
        raise
    return deployment


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    started = start_deployment(tmp_path_factory.mktemp("deployment"))
    yield started
    started.stop()
