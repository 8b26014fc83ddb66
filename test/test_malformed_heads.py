"""An answer whose head is not well-formed is no answer."""

import itertools

import pytest

from almondglade.dispatch.heads import (
    MalformedHeadError,
    check_final,
    check_trailer,
    parse_head,
)

from .relayingfleet import ROUTES, RelayingFleet
from .support.entries import Entry
from .support.targets import FakeTarget, with_request_id

STATUS = b"HTTP/1.1 200 OK"
STATUS_LINE = STATUS + b"\r\n"
SEAL = b"X-Response-Seal: s1\r\n"
ODD_LINES = {
    "blank in a name": b"X Odd: 1",
    "tab in a name": b"X\tOdd: 1",
    "NUL in a name": b"X\x00Odd: 1",
    "SOH in a name": b"X\x01Odd: 1",
    "ESC in a name": b"X\x1bOdd: 1",
    "DEL in a name": b"X\x7fOdd: 1",
    "high byte in a name": b"X\x80Odd: 1",
    "CR in a name": b"X\rOdd: 1",
    "LF in a name": b"X\nOdd: 1",
    "colon in place of a name": b": 1",
    "blank before the colon": b"X-Odd : 1",
    "no colon": b"X-Odd",
    "folded with a blank": b" odd",
    "folded with a tab": b"\todd",
    "blank line": b" ",
    "NUL in a value": b"X-Odd: a\x00b",
    "SOH in a value": b"X-Odd: a\x01b",
    "VT in a value": b"X-Odd: a\x0bb",
    "ESC in a value": b"X-Odd: a\x1bb",
    "DEL in a value": b"X-Odd: a\x7fb",
    "CR in a value": b"X-Odd: a\rb",
    "CR at the end of a value": b"X-Odd: a\r",
    "LF in a value": b"X-Odd: a\nb",
    "length behind a CR": b"X-Odd: a\rContent-Length: 3",
    "length behind a LF": b"X-Odd: a\nContent-Length: 3",
    "length with a sign": b"Content-Length: +12",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 12",
    "list of lengths": b"Content-Length: 12, 12",
}
SOUND_LINES = {
    "empty value": b"X-Sound:",
    "tab in a value": b"X-Sound: a\tb",
    "blanks around a value": b"X-Sound: \t a \t",
    "high bytes in a value": b"X-Sound: \x80\xff",
    "all kinds of characters in a name": b"!#$%&'*+-.^_`|~09azAZ: 1",
}
ODD_STATUS_LINES = [
    *(
        b"HTTP/1.1 %b OK" % status
        for status in (
            *(b"000", b"0", b"99", b"1000", b"-200", b"20", b"2e2", b"2_0_0"),
            *(b"0200", b"+200", b"101", b"102", b"199", b"600", b"999", b"2OO"),
            *(b"", b" 200", b"\t200", b"200\t", b"\xb2\xb0\xb0", b"0x200", b"200.0"),
        )
    ),
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1",
    b"HTTP/1.1x 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/01.1 200 OK",
    b"http/1.1 200 OK",
    b"RTSP/1.0 200 OK",
    b"ICY 200 OK",
    b" HTTP/1.1 200 OK",
    b"\r\nHTTP/1.1 200 OK",
    b"\xef\xbb\xbfHTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x7fK",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 200 O\nK",
]
SOUND_STATUS_LINES = [
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200 \t odd \xe4",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 204 No Content",
    b"HTTP/1.1 299 Odd",
    b"HTTP/1.1 599 Odd",
]
BODY = b"id: 1\ndata: x\n\n"
FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"f\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "connection": (b"Connection: close\r\n", BODY),
}
# Where the odd line stands: before, between or after what else the head has.
PLACES = range(3)


def make_answer(line, framing, place):
    """Return an answer with a line in its head."""
    header, body = FRAMINGS[framing]
    lines = [SEAL, header]
    lines.insert(place, line + b"\r\n")
    return STATUS_LINE + b"".join(lines) + b"\r\n" + body


@pytest.mark.parametrize("name", ODD_LINES)
def test_a_head_with_an_odd_line_is_malformed(name):
    for line in (b"%b\r\nX-Last: 1\r\n", b"X-First: 1\r\n%b\r\n"):
        with pytest.raises(MalformedHeadError):
            parse_head(STATUS_LINE + line % ODD_LINES[name] + b"\r\n")


@pytest.mark.parametrize("name", ODD_LINES.keys() - {"two lengths"})
def test_a_trailer_with_an_odd_line_is_malformed(name):
    with pytest.raises(MalformedHeadError):
        check_trailer(b"X-First: 1\r\n" + ODD_LINES[name] + b"\r\n\r\n")


@pytest.mark.parametrize("name", SOUND_LINES)
def test_a_head_with_unusual_but_sound_lines_is_read(name):
    line = SOUND_LINES[name]
    field, _, value = line.partition(b":")
    head = parse_head(STATUS_LINE + line + b"\r\nX-Last: 1\r\n\r\n")
    expected = field.decode(), value.strip(b" \t").decode("latin-1")
    assert head.headers == (expected, ("X-Last", "1"))


def test_a_head_with_bare_line_feeds_is_malformed():
    with pytest.raises(MalformedHeadError):
        parse_head(b"HTTP/1.1 200 OK\nX-First: 1\n\n")


@pytest.mark.parametrize("name", ODD_LINES)
def test_an_entry_passes_on_no_answer_with_an_odd_line(name):
    passed_on = []
    with FakeTarget(None) as target, Entry({"b1": target.url}) as entry:
        for framing, place in itertools.product(FRAMINGS, PLACES):
            answer = make_answer(ODD_LINES[name], framing, place)
            target.answer = lambda _, a=answer: a
            if entry.call("GET", "/bookings/stock").status != 502:
                passed_on.append((framing, place))
    assert not passed_on


def test_an_entry_passes_on_no_answer_with_an_odd_line_in_its_trailer():
    answer = make_answer(SOUND_LINES["tab in a value"], "chunked", 0)
    odd = answer.removesuffix(b"\r\n") + b"X Odd: 1\r\n\r\n"
    with FakeTarget(lambda _: odd) as target, Entry({"b1": target.url}) as entry:
        assert not entry.call("GET", "/bookings/stock").whole
        target.answer = lambda _: answer
        assert entry.call("GET", "/bookings/stock").whole


@pytest.fixture(scope="module")
def fleet_with_target(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with RelayingFleet(folder) as fleet, FakeTarget(None) as target:
        fleet.configure(routes=ROUTES)
        fleet.start_with(target)
        yield fleet, target


# Through a gateway that reaches the target, and through one that relays to it.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize("path", [route["pathPrefix"] for route in ROUTES])
@pytest.mark.parametrize(
    "name",
    ["blank in a name", "CR in a name", "length behind a CR", "NUL in a value"],
)
def test_a_gateway_passes_on_no_answer_with_an_odd_line(
    fleet_with_target, name, path, is_relayed
):
    fleet, target = fleet_with_target
    fleet.wait_until_served("/look/1", is_relayed)
    answer = make_answer(ODD_LINES[name], "connection", 2)
    target.answer = lambda request: with_request_id(answer, request)
    seen = len(target.seen)
    assert not fleet.gets_success(f"{path}1", is_relayed)
    assert len(target.seen) == seen + 1


def test_a_gateway_passes_on_an_answer_with_unusual_but_sound_lines(fleet_with_target):
    fleet, target = fleet_with_target
    for framing, name in itertools.product(FRAMINGS, SOUND_LINES):
        fleet.wait_until_served("/look/1", False)
        answer = make_answer(SOUND_LINES[name], framing, 0)
        target.answer = lambda request, a=answer: with_request_id(a, request)
        response = fleet.call("/look/1", fleet.address(False))
        assert (response.status, response.data) == (200, BODY)


# 000 never reached a caller; other odd forms of a status did.
@pytest.mark.parametrize("line", ODD_STATUS_LINES)
def test_an_odd_status_line_is_malformed(line):
    with pytest.raises(MalformedHeadError):
        check_final(parse_head(line + b"\r\nContent-Length: 1\r\n\r\n"))


@pytest.mark.parametrize("line", SOUND_STATUS_LINES)
def test_an_unusual_but_sound_status_line_is_read(line):
    head = parse_head(line + b"\r\n\r\n")
    check_final(head)
    assert head.status == int(line.split()[1])


def test_an_entry_passes_on_no_answer_with_an_odd_status_line():
    passed_on = []
    with FakeTarget(None) as target, Entry({"b1": target.url}) as entry:
        for line, framing in itertools.product(ODD_STATUS_LINES, FRAMINGS):
            answer = make_answer(b"X-Sound: 1", framing, 0)
            target.answer = lambda _, a=answer, s=line: a.replace(STATUS, s, 1)
            if entry.call("GET", "/bookings/stock").status != 502:
                passed_on.append((line, framing))
    assert not passed_on


# Through a gateway that reaches the target, and through one that relays to it.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize("path", [route["pathPrefix"] for route in ROUTES])
@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 0200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/1.1 200 O\x01",
    ],
)
def test_a_gateway_passes_on_no_answer_with_an_odd_status_line(
    fleet_with_target, line, path, is_relayed
):
    fleet, target = fleet_with_target
    fleet.wait_until_served("/look/1", is_relayed)
    answer = make_answer(b"X-Sound: 1", "connection", 0).replace(STATUS, line, 1)
    target.answer = lambda request: with_request_id(answer, request)
    seen = len(target.seen)
    assert not fleet.gets_success(f"{path}1", is_relayed)
    assert len(target.seen) == seen + 1
