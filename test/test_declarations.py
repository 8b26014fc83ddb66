"""Tests of the validation and comparison of declared documents."""

import copy

import orjson
import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from almondglade.declarations import load_declarations, parse_declarations
from almondglade.declarations.changes import changes_between, warnings_of
from almondglade.errors import DeclarationError

EXAMPLES = ["examples/kowhai.yaml", "examples/leinwandwerbung.yaml"]


def raw_example(path=EXAMPLES[0]):
    with open(path, "rb") as file:
        return yaml.safe_load(file)


def problems_of(raw):
    with pytest.raises(DeclarationError) as caught:
        parse_declarations(orjson.dumps(raw))
    return caught.value.problems


@pytest.mark.parametrize("path", EXAMPLES)
def test_examples_are_valid_without_warnings(path):
    assert list(warnings_of(load_declarations(path))) == []


def test_every_problem_is_reported_with_its_path():
    raw = raw_example()
    raw["plans"]["crew"]["tier"] = -1
    raw["services"]["yard"]["limits"]["connect"] = "soon"
    raw["targets"]["yard-1"]["port"] = 80
    paths = [problem.partition(": ")[0] for problem in problems_of(raw)]
    assert paths == [
        "plans.crew.tier",
        "services.yard.limits.connect",
        "targets.yard-1.port",
    ]


def test_every_dangling_reference_is_reported():
    raw = raw_example()
    raw["workspaces"]["yard-crews"]["plan"] = "gone"
    raw["targets"]["yard-1"]["data_centre"] = "nelson"
    raw["targets"]["yard-2"]["service"] = "yards"
    text = "\n".join(problems_of(raw))
    assert "workspaces.yard-crews.plan: no plan named 'gone'" in text
    assert "targets.yard-1.data_centre: no data centre named 'nelson'" in text
    assert "targets.yard-2.service: no service named 'yards'" in text


def test_a_key_of_two_workspaces_is_rejected():
    raw = raw_example()
    raw["workspaces"]["weighbridge"]["keys"] = raw["workspaces"]["yard-crews"]["keys"]
    assert "is already used at" in problems_of(raw)[0]


def test_a_service_with_a_reserved_name_is_rejected():
    raw = raw_example()
    raw["services"]["v1"] = raw["services"]["yard"]
    assert "services.v1" in problems_of(raw)[0]


@pytest.mark.parametrize(
    "document",
    [
        b"plans: {a: 1}\nplans: {}",
        b"\xff\xfe",
        b"- a",
        b"a: &a [*a]",
        b"{" * 5000,
        b"!!python/object/apply:os.system [id]",
        b"a: !!timestamp 9999-99-99",
    ],
)
def test_unreadable_documents_are_rejected(document):
    with pytest.raises(DeclarationError):
        parse_declarations(document)


@given(st.binary(max_size=200))
def test_any_bytes_are_valid_or_raise_a_declaration_error(document):
    try:
        parse_declarations(document)
    except DeclarationError as error:
        assert error.problems


@given(data=st.data())
def test_any_wrong_value_is_valid_or_raises_a_declaration_error(data):
    raw = raw_example()
    node = raw
    while True:
        key = data.draw(st.sampled_from(sorted(node)))
        if not isinstance(node[key], dict) or not node[key] or data.draw(st.booleans()):
            break
        node = node[key]
    node[key] = data.draw(st.sampled_from([None, 7, "x", [], {"y": 1}, -3.5, [[]]]))
    try:
        parse_declarations(orjson.dumps(raw))
    except DeclarationError as error:
        assert error.problems


def test_each_change_is_listed_with_its_path():
    old = raw_example()
    new = copy.deepcopy(old)
    new["data_centres"]["hornby"]["state"] = "out"
    del new["targets"]["yard-1"]
    new["workspaces"]["night"] = {"plan": "crew"}
    old, new = (parse_declarations(orjson.dumps(raw)) for raw in (old, new))
    lines = [str(change) for change in changes_between(old, new)]
    assert lines == [
        "data_centres.hornby.state: in -> out",
        "targets.yard-1: removed",
        "workspaces.night: added {plan: crew, keys: []}",
    ]
    assert list(warnings_of(new)) == [
        "workspaces.night: has no key, nobody can call for it"
    ]
