import pytest

from tarragonway.core.errors import SettingsError
from tarragonway.node.settings import load_node_settings

TEXT = """name = "gateway-1"
zone = "a"
zones = ["a"]
seeds = ["10.0.0.1:8080"]
[listen]
peers = "0.0.0.0:7000"
callers = "10.0.0.2:8081"
[platform]
address = "10.0.0.3:8082"
"""


def load(tmp_path, text, required=()):
    path = tmp_path / "gateway.toml"
    path.write_text(text)
    return load_node_settings(path, required)


def test_addresses_are_usable(tmp_path):
    assert load(tmp_path, TEXT).seed_peers == ["10.0.0.1:7000"]


# Guards against a process that starts with addresses that it cannot call or listen on.
@pytest.mark.parametrize(
    ("old", "key", "line"),
    [
        ("10.0.0.1:8080", "seeds[0]", 4),
        ("0.0.0.0:7000", "listen.peers", 6),
        ("10.0.0.2:8081", "listen.callers", 7),
        ("10.0.0.3:8082", "platform.address", 9),
    ],
)
@pytest.mark.parametrize(
    "new", ["10.0.0.9:70000", "10.0.0.9:0", "10.0.0.900:1", "h:80", "10.0.0.9:٨٠"]
)
def test_address_that_cannot_be_used_is_named(tmp_path, old, new, key, line):
    with pytest.raises(SettingsError, match="1 to 65535") as caught:
        load(tmp_path, TEXT.replace(old, new))
    assert (caught.value.key, caught.value.line) == (key, line)


# Guards against a start that fails for an address that --check has not missed.
def test_address_that_the_program_needs_is_required(tmp_path):
    assert load(tmp_path, TEXT, ("callers",)).listen.readiness == ""
    with pytest.raises(SettingsError, match="1 to 65535") as caught:
        load(tmp_path, TEXT, ("callers", "readiness"))
    assert caught.value.key == "listen.readiness"
