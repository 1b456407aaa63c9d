import zlib

from tarragonway.coordinator.machine import CoordinatorMachine, PutConfiguration
from tarragonway.coordinator.stored_configuration import StoredConfiguration
from tarragonway.coordinator.tests.test_operators import make_text
from tarragonway.core.counters import Counters
from tarragonway.platform.configuration import decode_compressed


# Guards against a stored text that ends the scaling duty, and with it the process, or
# breaks the links of gateways with each of their reports.
def test_unreadable_text_leaves_the_configuration_before_in_use():
    machine, counters = CoordinatorMachine(), Counters()
    stored = StoredConfiguration(machine, decode_compressed, counters)
    assert stored.read() is None
    machine.apply(PutConfiguration(7, zlib.compress(make_text(980))))
    assert stored.read().revision == 7
    for revision, data in ((8, b"no zlib stream"), (9, zlib.compress(b"[" * 5000))):
        machine.apply(PutConfiguration(revision, data))
        for _ in range(5):
            assert stored.read().revision == 7
            assert list(stored.read_accounts()) == ["x"]
    assert counters.snapshot() == {"configuration.unreadable": 2}
    machine.apply(PutConfiguration(10, zlib.compress(make_text(2, version=10))))
    assert stored.read().revision == 10
