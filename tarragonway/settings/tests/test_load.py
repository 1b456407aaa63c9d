"""Errors in settings name file, line and key, and are raised before the start."""

import pathlib

import pytest

from tarragonway.core.errors import SettingsError
from tarragonway.operator.cli import run
from tarragonway.settings import load_settings

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "neige-atlas"


def write_settings(folder, changes=(), key="k" * 64):
    text = (EXAMPLE / "cluster.toml").read_text()
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    (folder / "cluster.toml").write_text(text)
    (folder / "cluster.key").write_text(key)
    path = folder / "entry-1.toml"
    path.write_text('name = "entry-1"\ncluster_file = "cluster.toml"\n')
    return path


def test_example_settings_are_usable(tmp_path):
    settings = load_settings(write_settings(tmp_path))
    assert settings.get_zone("entry-2") == "atlas-north-b"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('name = "control-2"', 'nam = "control-2"'), "control[1]"),
        (('name = "control-2"', 'name = "control-1"'), "is used twice"),
        (("127.0.0.1:23100", "localhost:23100"), "control[0].mailbox"),
        (("127.0.0.1:23100", "127.0.0.1:70000"), "control[0].mailbox"),
        (('url = "http', 'poll_s = 0\nurl = "http'), "cluster.toml"),
        (('name = "neige-atlas"', 'name = "neige'), "not valid TOML"),
    ],
)
def test_fault_is_named(tmp_path, change, expected):
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings(tmp_path, [change]))
    assert expected in str(caught.value)
    assert caught.value.remedy


def test_unknown_key_is_named_with_its_line(tmp_path):
    path = write_settings(tmp_path)
    path.write_text(path.read_text() + "colour = 1\n")
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert (caught.value.key, caught.value.line) == ("colour", 3)


def test_short_key_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="keygen"):
        load_settings(write_settings(tmp_path, key="short"))


def test_operator_program_checks_lists(tmp_path, capsys):
    for name in ("accounts.toml", "plans.toml"):
        (tmp_path / name).write_text((EXAMPLE / name).read_text())
    assert run(["check", str(tmp_path)]) == 0
    accounts = tmp_path / "accounts.toml"
    accounts.write_text(accounts.read_text().replace('"batch"', '"gold"', 1))
    assert run(["check", str(tmp_path)]) == 2
    assert "accounts.toml:6: account[0].plan" in capsys.readouterr().err
