"""Records of used keys, and the parsing and verification of keys."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from almondglade.dispatch.call import ResponseHead
from almondglade.keys.codec import Holder, KeyCodec, parse_key_header
from almondglade.keys.table import KeyTable, ScopedKey, StoredResponse
from almondglade.outcome import Code, Outcome, RequestError

SECRET = "a secret of the fleet"
HOLDER = Holder("e1", "a1")
HEAD = ResponseHead(200, ())
MAX_RECORDS, MAX_BYTES = 8, 20
SCOPED_KEYS = [ScopedKey(workspace, str(n)) for workspace in "abcde" for n in range(3)]
LIFETIME = 30.0


def codec(holder=HOLDER, secret=SECRET, now=5.0):
    return KeyCodec(secret, holder, lambda: now)


def error_of(act, *arguments):
    """Return the `RequestError` that a call raises, or None."""
    try:
        act(*arguments)
    except RequestError as error:
        return error
    return None


class Records(RuleBasedStateMachine):
    """Compare the table with a model that removes no record."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = KeyTable(lambda: self.now, MAX_RECORDS, MAX_BYTES)
        self.running: dict = {}
        self.fingerprint_by_key: dict = {}
        self.body_by_key: dict = {}

    @rule(scoped_key=st.sampled_from(SCOPED_KEYS), fingerprint=st.integers(1, 2))
    def begin(self, scoped_key, fingerprint):
        """Begin a run, with the key's lifetime counted from time 0."""
        try:
            response = self.table.begin(scoped_key, fingerprint, LIFETIME)
        except RequestError as error:
            self._check_refusal(scoped_key, fingerprint, error)
            return
        if response is None:
            assert scoped_key not in self.fingerprint_by_key and self.now <= LIFETIME
            self.fingerprint_by_key[scoped_key] = self.running[scoped_key] = fingerprint
        else:
            assert response.body == self.body_by_key[scoped_key]
            assert self.fingerprint_by_key[scoped_key] == fingerprint

    def _check_refusal(self, scoped_key, fingerprint, error):
        if self.now > LIFETIME:
            assert (error.code, error.outcome) == (Code.KEY_VOID, Outcome.UNKNOWN)
        elif error.code is Code.KEY_REUSED:
            assert self.fingerprint_by_key[scoped_key] != fingerprint
        else:
            expected = (
                Outcome.ANSWERED if scoped_key in self.body_by_key else Outcome.UNKNOWN
            )
            known = scoped_key in self.fingerprint_by_key
            assert error.outcome is (expected if known else Outcome.NOT_RUN)
            assert (error.code is Code.KEY_IN_PROGRESS) is (scoped_key in self.running)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), end=st.sampled_from(("answered", "lost", "release")))
    def end(self, data, end):
        """End one of the runs in progress."""
        scoped_key = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[scoped_key]
        if end == "answered":
            body = data.draw(st.binary(min_size=1, max_size=9))
            self.body_by_key[scoped_key] = body
            self.table.record_response(scoped_key, StoredResponse(HEAD, body))
        elif end == "lost":
            self.table.record_unknown(scoped_key)
        else:
            del self.fingerprint_by_key[scoped_key]
            self.table.release(scoped_key)

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @invariant()
    def stays_in_bounds(self):
        """Check the memory limits, and that no record of a valid key is removed."""
        assert len(self.table.by_scoped_key) <= MAX_RECORDS
        assert self.table.total_response_bytes <= MAX_BYTES
        if self.now <= LIFETIME:
            assert self.fingerprint_by_key.keys() == self.table.by_scoped_key.keys()


Records.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestRecords = Records.TestCase


def test_an_expired_key_is_removed_once_its_run_has_ended():
    now = [0.0]
    table = KeyTable(lambda: now[0])
    for scoped_key in SCOPED_KEYS[:2]:
        assert table.begin(scoped_key, 1, LIFETIME) is None
    table.record_response(SCOPED_KEYS[0], StoredResponse(HEAD, b"done"))
    now[0] = LIFETIME + 1
    assert table.begin(SCOPED_KEYS[2], 1, 2 * LIFETIME) is None
    assert table.by_scoped_key.keys() == {SCOPED_KEYS[1], SCOPED_KEYS[2]}
    assert table.total_response_bytes == 0
    table.record_unknown(SCOPED_KEYS[1])


@given(st.text(max_size=20), st.text(max_size=20), st.integers(1, 3))
def test_an_issued_key_is_valid_only_for_its_workspace_and_secret(
    workspace, other, count
):
    issuer = codec()
    keys = [issuer.issue(workspace) for _ in range(count)]
    assert len(set(keys)) == count
    for key in keys:
        assert parse_key_header(f'"{key}"') == key
        assert codec(Holder("e2", "b")).parse(key, workspace).holder == HOLDER
        if other != workspace:
            error = error_of(issuer.parse, key, other)
            assert (error.code, error.outcome) == (Code.KEY_VOID, Outcome.UNKNOWN)
        error = error_of(codec(secret="another secret").parse, key, workspace)
        assert error.code is Code.KEY_VOID


KEY = codec().issue("partner-a")


@given(st.integers(0, len(KEY) - 1), st.characters(max_codepoint=255))
def test_a_changed_key_is_refused(place, character):
    text = KEY[:place] + character + KEY[place + 1 :]
    if text != KEY:
        error = error_of(codec().parse, text, "partner-a")
        assert error.code in (Code.BAD_REQUEST, Code.KEY_VOID)


@given(st.text(max_size=300) | st.builds("agk1:{}".format, st.text(max_size=80)))
def test_any_header_gives_a_key_or_a_clear_error(header):
    try:
        key = parse_key_header(header)
        codec().parse(key, "partner-a")
    except RequestError as error:
        assert error.code in (Code.BAD_REQUEST, Code.KEY_VOID)
        assert len(error.message) < 100
