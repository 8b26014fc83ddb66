"""Tests of the settings, their validation and their documentation."""

import pytest

from almondglade.errors import SettingsError
from almondglade.settings import load_settings
from almondglade.ui.settings import table

REQUIRED = {
    "instance": "e1",
    "data_centre": "hornby",
    "platform": "http://127.0.0.1:8500",
}
SECRET = {"ALMONDGLADE_PEER_SECRET": "0123456789abcdef"}


def test_flags_override_variables_which_override_defaults():
    environment = SECRET | {
        "ALMONDGLADE_CALLER_PORT": "1",
        "ALMONDGLADE_PEER_PORT": "2",
    }
    settings = load_settings(REQUIRED | {"caller_port": 3}, environment)
    ports = (settings.caller_port, settings.peer_port, settings.operator_port)
    assert ports == (3, 2, 8081)


def test_every_invalid_setting_is_reported_without_secret_values():
    flags = {"instance": "E 1", "platform": "ftp://x", "address": "localhost"}
    with pytest.raises(SettingsError) as caught:
        load_settings(flags, {"ALMONDGLADE_PEER_SECRET": "short-secret"})
    text = str(caught.value)
    for name in ("instance", "data_centre", "platform", "address", "peer_secret"):
        assert f"{name}: " in text
    assert "short-secret" not in text


@pytest.mark.parametrize(
    "flags",
    [
        {"caller_port": 7, "peer_port": 7},
        {"operator_port": 0},
        {"stop_timeout": -1},
        {"log_level": "loud"},
    ],
)
def test_settings_that_cannot_work_are_rejected(flags):
    with pytest.raises(SettingsError):
        load_settings(REQUIRED | flags, SECRET)


def test_the_secret_is_not_in_the_repr():
    settings = load_settings(REQUIRED, SECRET)
    assert SECRET["ALMONDGLADE_PEER_SECRET"] not in repr(settings)


def test_every_setting_is_documented():
    with open("docs/settings.md", encoding="utf-8") as file:
        assert "\n".join(table()) in file.read()
