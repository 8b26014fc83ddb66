"""Which request a target's response is taken to belong to."""

import pytest

from almondglade.dispatch.attribution import (
    MAX_REFUSED_REQUESTS,
    RETENTION_SECONDS,
    Attribution,
    Claim,
    Verdict,
)


class Clock:
    """A clock that is set by hand."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def attribution():
    return Attribution(Clock())


def judge(attribution, named, is_refusal=False, is_reused=True):
    return attribution.judge(Claim(named, is_refusal), "r1", is_reused)


def test_a_response_that_names_another_request_is_foreign(attribution):
    assert judge(attribution, "r2") is Verdict.FOREIGN
    assert judge(attribution, "r1") is Verdict.OURS


@pytest.mark.parametrize("is_refusal", [False, True])
def test_a_target_that_never_names_requests_is_believed(attribution, is_refusal):
    for is_reused in (False, True):
        assert judge(attribution, None, is_refusal, is_reused) is Verdict.OURS


def test_a_target_that_names_requests_is_not_believed_without(attribution):
    judge(attribution, "r2")
    assert judge(attribution, None) is Verdict.FOREIGN
    assert judge(attribution, None, is_reused=False) is Verdict.OURS
    assert judge(attribution, None, is_refusal=True, is_reused=False) is Verdict.FOREIGN


def test_a_second_refusal_of_a_request_is_doubtful_for_a_while(attribution):
    assert judge(attribution, "r1", is_refusal=True) is Verdict.OURS
    attribution.record_refused("r1")
    assert judge(attribution, "r1", is_refusal=True) is Verdict.DOUBTFUL
    assert judge(attribution, "r1") is Verdict.OURS
    attribution.clock.now += 1.01 * RETENTION_SECONDS
    assert judge(attribution, "r1", is_refusal=True) is Verdict.OURS


def test_the_refused_requests_that_are_kept_are_bounded(attribution):
    for number in range(2 * MAX_REFUSED_REQUESTS):
        attribution.record_refused(f"r{number}")
    assert len(attribution._refused_at_by_request) == MAX_REFUSED_REQUESTS
