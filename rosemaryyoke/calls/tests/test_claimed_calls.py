"""Calls with an idempotency key, with claims that tests script."""

from urllib.parse import unquote

import pytest
from attrs import define, field
from result import Ok

from rosemaryyoke.calls import services
from rosemaryyoke.calls.claim_entries import ANSWERED, UNKNOWN, ClaimEntry
from rosemaryyoke.calls.services import ServiceCall, ServiceCalls
from rosemaryyoke.calls.tests.test_crashing_calls import StubDirectory
from rosemaryyoke.core import EventRecorder, Kernel, Metrics
from rosemaryyoke.rules import RuleSet, Upstream
from rosemaryyoke.rules.model import SERVICE_KIND, PlainService, UnsafeCall
from rosemaryyoke.streams.tests.builders import StubQuarantineService
from rosemaryyoke.wire import HttpResponse

UNSAFE = (UnsafeCall("POST", "/issue"),)
SERVICE = PlainService("records", UNSAFE, "/outcomes/{key}")


def make_rules(address="a:1", service=SERVICE):
    """Return rules with one instance of the service."""
    return RuleSet((service, Upstream("r0", SERVICE_KIND, address, "d", "records")))


@define
class StubClaims:
    """Claims that record what they are asked, and run a function at each claim."""

    state: str = ""  # of an earlier call's claim, if there is one
    on_claim: object = None
    claimed: list = field(factory=list)
    recorded: list = field(factory=list)

    def claim(self, key):
        """Return a claim of this call, or that of an earlier one."""
        if self.on_claim is not None:
            self.on_claim()
        self.claimed.append(key)
        token = "earlier" if self.state else "token"
        return Ok(("token", ClaimEntry(token, key.request, 0.0, self.state)))

    def record_outcome(self, key, token, state, outcome):
        """Store the outcome."""
        self.recorded.append((key, token, state, outcome))


@pytest.fixture()
def sent(monkeypatch):
    """Return the list of requests that are sent; all are answered."""
    requests = []

    def send(request):
        requests.append(request)
        return Ok(HttpResponse(200, {}, b"answer"))

    monkeypatch.setattr(services, "send", send)
    return requests


def make_calls(claims):
    """Return calls that use the given claims."""
    kernel = Kernel()
    kernel.add("directory", StubDirectory())
    kernel.add("claims", claims)
    kernel.add("recorder", EventRecorder("test"))
    kernel.add("metrics", Metrics())
    kernel.add("quarantine", StubQuarantineService())
    calls = ServiceCalls(kernel)
    calls.start()
    return calls


def make_call(service=SERVICE, account="t1", key="k1"):
    """Return a call that must not be repeated."""
    return ServiceCall(account, service, "POST", "/issue", "", "", b"body", key)


# Guards against the outcome of another account's call with the same key.
def test_lookup_of_an_outcome_names_the_account(sent):
    calls = make_calls(StubClaims(UNKNOWN))
    for account in ("t1", "t2"):
        assert calls.run(make_rules(), make_call(account=account)).is_ok()
    accounts = [request.headers.get("X-Client-Account") for request in sent]
    assert accounts == ["t1", "t2"]


# Guards against the outcome of another key, as a part of the key is read as a part of
# the URL.
@pytest.mark.parametrize("key", ["k1?x", "k1#x", "x/../k1", "k 1", "k%31", "\u00e9"])
def test_lookup_of_an_outcome_is_for_the_whole_key(sent, key):
    calls = make_calls(StubClaims(UNKNOWN))
    assert calls.run(make_rules(), make_call(key=key)).is_ok()
    path = sent[0].url.removeprefix("http://a:1/outcomes/")
    assert unquote(path) == key
    assert not set(path) & set("/?# ") and path.isascii()


# Guards against a claim, a call and a recorded outcome under different rules, as newer
# ones come between them.
def test_newer_rules_between_claim_and_send(sent):
    rules = [make_rules()]
    newer = PlainService("records", (), "/other/{key}")
    claims = StubClaims(on_claim=lambda: rules.append(make_rules("b:2", newer)))
    call = make_call(rules[-1].services["records"])
    assert make_calls(claims).run(rules[-1], call).is_ok()
    assert len(rules) == 2
    assert [request.url for request in sent] == ["http://a:1/issue"]
    key, token, state, outcome = claims.recorded[0]
    assert [key] == claims.claimed and (token, state) == ("token", ANSWERED)
    assert outcome.body == b"answer"


# Guards against one claim for the same key of two accounts or services.
def test_claims_are_apart_by_account_and_service():
    other = PlainService("bills", UNSAFE)
    calls = [make_call(), make_call(account="t2"), make_call(other)]
    assert len({call.claim_key().digest() for call in calls}) == 3
