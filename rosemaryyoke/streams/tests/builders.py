"""In-process stubs of the engines and services that a relay depends on."""

from attrs import define, field
from result import Err, Ok

from rosemaryyoke.core import EventRecorder, Kernel, Metrics
from rosemaryyoke.placement import Choice
from rosemaryyoke.placement.service import NoEngineAvailable, PlacementDecision
from rosemaryyoke.quarantine import Quarantine
from rosemaryyoke.rules import Route, RuleSet, Upstream
from rosemaryyoke.standins import expected_text
from rosemaryyoke.streams import CompletionRequest, Relay
from rosemaryyoke.upstreams import Finished, Started, Token, UpstreamError

PROMPT = "prompt"
TOKENS = 8


def expected_tokens(count=TOKENS):
    """Return the tokens that an engine generates for the prompt."""
    return expected_text(PROMPT, count).split(" ")[:-1]


@define
class ScriptedEngineAdapter:
    """Engine adapter whose calls follow scripts of steps, one script per call.

    Streams are under the weights that their request expects, or the given ones.
    """

    scripts: list
    calls: int = 0
    weights: str = "v1"
    requests: list = field(factory=list)

    def complete(self, address, request, on_event, wait):
        """Run the next script from the request's first token."""
        self.weights = request.weights
        self.requests.append(request)
        return self._follow(request.request, request.first_index, on_event)

    def resume(self, address, request, after, on_event, wait):
        """Run the next script from a token index."""
        return self._follow(request, after, on_event)

    def _follow(self, request, index, on_event):
        script = self.scripts[self.calls] if self.calls < len(self.scripts) else []
        self.calls += 1
        if "refuse" in script[:1]:
            return Err(UpstreamError("refused", refused=True))
        weights = "other" if "other weights" in script[:1] else self.weights
        on_event(Started(request, "i", weights, 0, 0, 0.0, 0))
        tokens = expected_tokens()
        for step in script:
            if step == "cut":
                return Err(UpstreamError("cut", sent=True))
            if step == "crash":
                return Err(UpstreamError("reset", sent=True, broken_off=True))
            if step == "silent":
                return Ok(None)
            if step == "crossed":
                on_event(Token("another", index, "crossed "))
            elif step == "skip":
                index += 1
            elif step == "double" and 0 < index <= len(tokens):
                on_event(Token(request, index - 1, tokens[index - 1] + " "))
            elif step == "token" and index < len(tokens):
                on_event(Token(request, index, tokens[index] + " "))
                index += 1
        while index < len(tokens):
            on_event(Token(request, index, tokens[index] + " "))
            index += 1
        on_event(Finished(request, len(tokens)))
        return Ok(None)


@define
class StubDirectory:
    """Upstream directory whose engines are all usable."""

    engine_adapter: ScriptedEngineAdapter
    failures: list = field(factory=list)
    store: str = ""

    def kv_store_address(self):
        """Return the address of the store that is usable now."""
        return self.store

    def record_failure(self, name):
        """Store the failed engine."""
        self.failures.append(name)

    def record_refusal(self, name):
        """Store the refusing engine."""
        self.failures.append(name)


@define
class StubPlacement:
    """Placement that chooses engines in their listed order."""

    engines: list
    weights: dict = field(factory=dict)
    queries_kv_store: bool = False
    required: list = field(factory=list)
    started: list = field(factory=list)

    def place(self, rules, route, account, text, excluded, required_weights):
        """Return the first engine that is not excluded and has the weights."""
        self.required.append(required_weights)
        for name in self.engines:
            weights = self.weights.get(name, "v1")
            if name not in excluded and required_weights in ("", weights):
                upstream = Upstream(name, "engine", "a", "d", "m")
                choice = Choice(name, queries_kv_store=self.queries_kv_store)
                return Ok(PlacementDecision(upstream, weights, [], choice))
        return Err(NoEngineAvailable("none", False, 1.0))

    def record_response_start(self, decision, *_):
        """Store the engine."""
        self.started.append(decision.upstream.name)

    def record_completion(self, decision):
        """Do nothing."""


@define
class StubQuarantineService:
    """Service with a quarantine that no other host hears of."""

    quarantine: Quarantine = field(factory=Quarantine)

    def start(self):
        """Do nothing."""

    def stop(self):
        """Do nothing."""


@define
class RecordingSink:
    """Sink that stores the caller's tokens and checks their order."""

    texts: list = field(factory=list)
    failure: object = None
    count: int = -1
    first: int = 0

    def open(self, metadata):
        """Do nothing."""

    def token(self, index, text):
        """Store a token after checking its index."""
        assert index == self.first + len(self.texts)
        self.texts.append(text)

    def close(self, count):
        """Store the token count."""
        self.count = count

    def fail(self, failure):
        """Store the error."""
        self.failure = failure

    def wait(self, future):
        """Wait for a future and return its result."""
        return future.result()


def make_relay(scripts, engines=("a", "b", "c", "d")):
    """Return a relay that uses scripted engines."""
    kernel = Kernel()
    kernel.add("directory", StubDirectory(ScriptedEngineAdapter(scripts)))
    kernel.add("placement", StubPlacement(list(engines)))
    kernel.add("recorder", EventRecorder("test"))
    kernel.add("metrics", Metrics())
    kernel.add("quarantine", StubQuarantineService())
    relay = Relay(kernel, "0123456789abcdef")
    relay.start()
    return relay


def make_completion(repeatable=True):
    """Return a completion of the prompt."""
    return CompletionRequest("account", Route("m"), PROMPT, TOKENS, repeatable)


NO_RULES = RuleSet()
