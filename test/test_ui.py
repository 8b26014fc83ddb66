"""Tests of almondglade.ui."""

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


def test_check_shows_what_changes(capsys, tmp_path):
    file = tmp_path / "new.yaml"
    with open(EXAMPLE, encoding="utf-8") as example:
        file.write_text(
            example.read().replace("hornby: {state: in}", "hornby: {state: out}")
        )
    code, output = run(capsys, "check", str(file), "--against", EXAMPLE)
    assert code == 0
    assert "data_centres.hornby.state: in -> out" in output.out


def test_check_of_a_missing_file_is_not_valid(capsys):
    assert run(capsys, "check", "no-such-file")[0] == 2


def test_a_made_key_matches_its_hash(capsys):
    code, output = run(capsys, "key")
    key, hashed = (line.split(": ", 1)[1] for line in output.out.splitlines())
    assert hashed == hash_key(key)


def test_an_unusable_setting_exits_with_1(capsys, monkeypatch):
    monkeypatch.delenv("ALMONDGLADE_PEER_SECRET", raising=False)
    code, output = run(capsys, "serve", "--instance", "e1")
    assert code == 1
    assert "peer_secret" in output.err


def test_wrong_usage_exits_with_2(capsys):
    assert run(capsys, "serve", "--caller-port", "many")[0] == 2
    assert run(capsys, "no-such-command")[0] == 2


def test_dump_of_an_instance_that_is_not_there_exits_with_1(capsys):
    code, output = run(capsys, "dump", "http://127.0.0.1:1")
    assert code == 1
    assert "cannot be reached" in output.err
