"""Tests of almondglade.settings."""

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


def test_a_flag_wins_over_a_variable_over_a_default():
    environment = SECRET | {
        "ALMONDGLADE_CALLER_PORT": "1",
        "ALMONDGLADE_PEER_PORT": "2",
    }
    settings = load_settings(REQUIRED | {"caller_port": 3}, environment)
    ports = (settings.caller_port, settings.peer_port, settings.operator_port)
    assert ports == (3, 2, 8081)


def test_names_every_unusable_setting_and_shows_no_secret():
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
def test_refuses_settings_that_cannot_work(flags):
    with pytest.raises(SettingsError):
        load_settings(REQUIRED | flags, SECRET)


def test_the_secret_is_not_in_the_representation():
    settings = load_settings(REQUIRED, SECRET)
    assert SECRET["ALMONDGLADE_PEER_SECRET"] not in repr(settings)


def test_every_setting_is_documented():
    with open("docs/settings.md", encoding="utf-8") as file:
        assert "\n".join(table()) in file.read()
