"""Tests of the command line."""

from pathlib import Path

import pytest

from almondglade.entry.callers import hash_key
from almondglade.ui.main import main

EXAMPLE = "examples/kowhai.yaml"


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as caught:
        main(list(arguments))
    return caught.value.code or 0, capsys.readouterr()


def test_check_exits_with_0_for_a_valid_document(capsys):
    assert run(capsys, "check", EXAMPLE)[0] == 0


def test_check_exits_with_2_and_names_the_problems(capsys, tmp_path):
    file = tmp_path / "wrong.yaml"
    file.write_text("plans: {}\nworkspaces: {a: {plan: none}}\n")
    code, output = run(capsys, "check", str(file))
    assert code == 2
    assert "data_centres: Field required" in output.out


def test_check_against_another_file_prints_the_changes(capsys, tmp_path):
    file = tmp_path / "new.yaml"
    with open(EXAMPLE, encoding="utf-8") as example:
        file.write_text(
            example.read().replace("hornby: {state: in}", "hornby: {state: out}")
        )
    code, output = run(capsys, "check", str(file), "--against", EXAMPLE)
    assert code == 0
    assert "data_centres.hornby.state: in -> out" in output.out


def test_check_of_a_missing_file_exits_with_2(capsys):
    assert run(capsys, "check", "no-such-file")[0] == 2


def test_a_generated_key_matches_its_hash(capsys):
    code, output = run(capsys, "key")
    key, hashed = (line.split(": ", 1)[1] for line in output.out.splitlines())
    assert hashed == hash_key(key)


def test_an_invalid_setting_exits_with_1(capsys, monkeypatch):
    monkeypatch.delenv("ALMONDGLADE_PEER_SECRET", raising=False)
    code, output = run(capsys, "serve", "--instance", "e1")
    assert code == 1
    assert "peer_secret" in output.err


def test_invalid_arguments_exit_with_2(capsys):
    assert run(capsys, "serve", "--caller-port", "many")[0] == 2
    assert run(capsys, "no-such-command")[0] == 2


def test_dump_of_an_unreachable_instance_exits_with_1(capsys):
    code, output = run(capsys, "dump", "http://127.0.0.1:1")
    assert code == 1
    assert "cannot be reached" in output.err


DEPLOY = """
build = "true"
[roles.gateway]
run = "python3 -m almondglade gateway"
on = "edge"
share = 1.0
serves = ["edge", "control_plane"]
metrics = "9464/metrics"
"""


def test_check_accepts_the_deploy_file_of_this_repository(capsys):
    path = str(Path(__file__).parent.parent / "deploy" / "system.toml")
    assert run(capsys, "check", path)[0] == 0


def test_check_accepts_the_share_of_hedges_in_a_deploy_file(capsys, tmp_path):
    file = tmp_path / "system.toml"
    file.write_text(DEPLOY.replace('gateway"', 'gateway --hedge-share 0.05"', 1))
    assert run(capsys, "check", str(file))[0] == 0


def test_a_gateway_refuses_a_share_of_hedges_above_all_requests(capsys):
    code, output = run(capsys, "gateway", "--hedge-share", "1.5")
    assert code == 1
    assert "not from 0 to 1" in output.err


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('gateway"', 'gatway"', "no command"),
        ("python3 -m", "sh -c", "must begin with"),
        ("share = 1.0", "", "share or count"),
        ("share = 1.0", "share = 7.0", "less than or equal to 1"),
        ("9464/metrics", "9999/metrics", "serves 9464"),
        ('gateway"', 'gateway --hedge-share 1.5"', "not from 0 to 1"),
        ('gateway"', 'gateway --hedge-share"', "not from 0 to 1"),
        ("9464/metrics", "metrics", "not PORT/PATH"),
        ("control_plane", "nobody", "find no peers"),
        ('"edge", ', "", "reach nobody"),
        ("on =", 'template = "deploy/none"\non =', "does not exist"),
        ("on =", "onn =", "Extra inputs"),
        ("[roles", "[roles[", "Expected"),
    ],
)
def test_check_names_the_problem_of_a_deploy_file(capsys, tmp_path, old, new, message):
    file = tmp_path / "deploy" / "system.toml"
    file.parent.mkdir()
    file.write_text(DEPLOY)
    assert run(capsys, "check", str(file))[0] == 0
    file.write_text(DEPLOY.replace(old, new, 1))
    code, output = run(capsys, "check", str(file))
    assert code == 2
    assert message in output.out
