"""New weights of two models that the same engines serve are named at once."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import bed as beds  # noqa: E402

MODELS = ("m0", "m3")
LEASE_S = beds.BOUNDS["leaseMs"] / 1000
ENGINES = 3
HOSTS = 4


def service():
    """Return the service of the engines, which serve both models."""
    engine = {
        "slots": 8,
        "kvCapacityTokens": 100000,
        "tokenKvBytes": 35136,
        "linkMbps": 740000.0,
        "models": [{"name": model} for model in MODELS],
    }
    return {"name": "llm", "healthPath": "/health", "engine": engine}


def route():
    """Return the route to the engines."""
    return {
        "name": "chat",
        "host": "a.example",
        "pathPrefix": "/chat/",
        "kind": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "public": True,
        "targetGapMs": 300,
    }


def machine(order):
    """Return the machine that sent an order; each process bears its machine's name."""
    return order["holder"].rsplit("-", 1)[0]


def find_breaks(orders):
    """Return how the orders to each engine break the rule ONE."""
    broken = []
    for name in sorted({order["engine"] for order in orders}):
        own = [order for order in orders if order["engine"] == name]
        highest = {}
        for before, order in zip(own, own[1:]):
            pause = order["t"] - before["t"]
            if machine(order) != machine(before) and pause < LEASE_S:
                broken.append(
                    f"{name}: an order of {machine(before)} ({before['model']}) and one of "
                    f"{machine(order)} ({order['model']}) {pause:.2f} s later, "
                    f"leaseMs is {LEASE_S:.0f} s"
                )
        for order in own:
            last = max(highest.values(), default=-1)
            if order["fencingToken"] < last:
                broken.append(
                    f"{name}: fencing token {order['fencingToken']} of {machine(order)} "
                    f"after {last}"
                )
            highest[machine(order)] = max(
                highest.get(machine(order), -1), order["fencingToken"]
            )
    return broken


def case(bed):
    """Name new weights of both models; without the disruption, of the first alone."""
    bed.configure([route()], [service()])
    for number in range(ENGINES):
        bed.add_engine(f"e{number}", models=MODELS)
    bed.start_hosts(HOSTS)
    # Hosts that have just started wait for leases of before the store's era to end.
    time.sleep(7.0)
    named = MODELS if bed.trouble else MODELS[:1]
    for model in named:
        bed.store.write("versions", model, {"model": model, "version": 2})
        bed.record.add("version named", model=model, version=2)

    def in_place():
        return all(
            engine.models[model] == 2 for engine in bed.engines for model in named
        )

    bed.wait(in_place, 45, "the new weights are not in place")
    time.sleep(1.0)
    orders = [
        line
        for line in bed.record.lines
        if line["what"] == "order" and line["status"] == 202
    ]
    if not orders:
        raise beds.CannotRun("no order was sent")
    return find_breaks(orders)


if __name__ == "__main__":
    beds.run_case(Path(__file__).resolve().parent, case)
