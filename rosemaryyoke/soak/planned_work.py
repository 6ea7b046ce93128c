"""Planned work, and what upstreams may do by themselves without being at fault."""

import signal

from rosemaryyoke.core import Registry
from rosemaryyoke.platform.standins.answer_forms import AnswerForm
from rosemaryyoke.soak.configurations import (
    change_configuration,
    make_soak_configuration,
)
from rosemaryyoke.soak.faults import (
    LONG_S,
    SHORT_S,
    Fault,
    FaultContext,
    answer_in_form,
    reserve_host,
    reserve_upstream,
    restart_host,
    try_lock,
)
from rosemaryyoke.soak.history import now_s
from rosemaryyoke.soak.testbed import DRAINING, GONE, READY

BURST_SIZE = 8
BURST_PAUSE_S = (0.05, 0.8)
RELOADS = 3
PAUSE_S = (0.3, 2.2)
QUIET_S = (0.5, 3.0)
DRAIN_S = (2.0, 3.0)  # how long a leaving upstream goes on serving
# Of the upstreams that leave: in the store, and, drawn apart, in all their answers.
ANNOUNCED_SHARE = 0.5

planned_work: Registry[Fault] = Registry("planned work")


@planned_work.register("host stopped in good order")
def stop_host(context: FaultContext) -> None:
    """Stop a host gracefully and restart it."""
    restart_host(context, signal.SIGTERM, SHORT_S)


@planned_work.register("host told to reload")
def reload_host(context: FaultContext) -> None:
    """Make a ready host reload its settings several times."""
    with reserve_host(context) as host:
        if host is not None and host.is_ready():
            for _ in range(RELOADS):
                host.send(signal.SIGHUP)
                context.wait(SHORT_S)


@planned_work.register("upstream drained")
def drain_upstream(context: FaultContext) -> None:
    """Register an upstream as draining for a random time."""
    with reserve_upstream(context) as node:
        if node is not None:
            context.testbed.register_node(node, DRAINING)
            context.wait(LONG_S)
            context.testbed.register_node(node, READY)


@planned_work.register("upstream leaves with notice")
def remove_upstream(context: FaultContext) -> None:
    """Deregister an upstream, end it after its drain time, and start it anew."""
    with reserve_upstream(context) as node:
        if node is None:
            return
        testbed, announced = context.testbed, context.rng.random() < ANNOUNCED_SHARE
        node.upstream.leaving = context.rng.random() < ANNOUNCED_SHARE
        if announced:
            testbed.register_node(node, DRAINING)
            context.wait(DRAIN_S)
        testbed.register_node(node, GONE)
        context.wait(SHORT_S if announced else DRAIN_S)
        node.link.refusing = True
        testbed.history.record_broken_off(node.upstream.name)
        node.link.reset()
        context.wait(LONG_S)
        node.upstream.leaving = False
        testbed.replace_incarnation(node)
        node.link.heal()
        testbed.register_node(node, READY)


@planned_work.register("burst of configurations")
def burst_configurations(context: FaultContext) -> None:
    """Publish several configurations in quick succession."""
    with try_lock(context.testbed.store_lock) as acquired:
        for _ in range(BURST_SIZE if acquired else 0):
            document = make_soak_configuration()
            change_configuration(document, context.rng)
            context.testbed.publish(document)
            context.wait(BURST_PAUSE_S)


@planned_work.register("new weights")
def request_weights(context: FaultContext) -> None:
    """Request new weights of the model."""
    context.testbed.request_weights()
    context.wait(LONG_S)


@planned_work.register("upstream pauses in its streams")
def pause_streams(context: FaultContext) -> None:
    """Let an engine send no event but first ones for a random time."""
    with reserve_upstream(context, engines_only=True) as node:
        if node is not None:
            pause_s = context.rng.uniform(*PAUSE_S)
            node.upstream.next_event_after_s = now_s() + pause_s
            context.wait((pause_s, pause_s))
            context.wait(SHORT_S)


@planned_work.register("upstream pauses before it answers")
def pause_first_events(context: FaultContext) -> None:
    """Let an upstream begin no response for a random time."""
    with reserve_upstream(context) as node:
        if node is not None:
            pause_s = context.rng.uniform(*PAUSE_S)
            node.upstream.first_event_after_s = now_s() + pause_s
            context.wait((pause_s, pause_s))
            context.wait(SHORT_S)


@planned_work.register("upstream answers without framing")
def answer_without_framing(context: FaultContext) -> None:
    """Let an upstream end its answers with their connections for a random time."""
    answer_in_form(context, AnswerForm.CLOSE_DELIMITED)


@planned_work.register("upstream refuses while busy")
def refuse_requests(context: FaultContext) -> None:
    """Let an upstream refuse all requests, as not executed, for a random time."""
    refuse(context, 0.0)


@planned_work.register("upstream asks for quiet")
def ask_for_quiet(context: FaultContext) -> None:
    """Let an upstream refuse all requests and ask for a pause."""
    refuse(context, context.rng.uniform(*QUIET_S))


def refuse(context: FaultContext, quiet_s: float) -> None:
    """Let an upstream refuse for a random time; ``quiet_s`` is the pause it wants."""
    with reserve_upstream(context) as node:
        if node is not None:
            node.upstream.quiet_s = quiet_s
            node.upstream.busy = True
            context.wait(LONG_S)
            node.upstream.busy = False
            context.wait(SHORT_S)
