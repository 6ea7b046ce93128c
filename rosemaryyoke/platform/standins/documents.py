"""Store documents and settings of a small deployment."""

import orjson

from rosemaryyoke.objects.objects import StoredObject

MODEL = "m1"
KV_STORE_SERVICE = "keep"
SLOTS = 4  # of each upstream


def make_route(name="chat", **changes):
    """Return a route to a streaming service, with changed or added fields."""
    return {
        "name": name,
        "host": "a.example",
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 300,
        **changes,
    }


def make_configuration(version=1, routes=None, tenants=None):
    """Return a configuration with a model service, a plain service and a KV store."""
    engine = {
        "slots": SLOTS,
        "kvCapacityTokens": 100_000,
        "tokenKvBytes": 35_136,
        "linkMbps": 740_000.0,
        "models": [{"name": MODEL}],
    }
    plain = {"service": "records", "resumable": False, "timeoutMs": 1500}
    return {
        "version": version,
        "routes": routes
        or [
            make_route(),
            make_route("issue", kind="unsafe", maxAttempts=1, **plain),
            make_route("read", kind="safe", maxAttempts=2, **plain),
        ],
        "services": [
            {"name": "llm", "healthPath": "/health", "engine": engine},
            {"name": "records", "healthPath": "/health"},
            {"name": KV_STORE_SERVICE, "kvStoreAddr": "127.0.0.1:9", "zone": "z1"},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": tenants
        or [
            {"name": "t1", "apiKeys": ["k1"], "priority": 1, "isolated": False},
            {"name": "t2", "apiKeys": ["k2"], "isolated": True},
        ],
    }


def make_registration(address, service="llm", version=1, **changes):
    """Return the registration of an upstream, with changed or added fields."""
    entry = {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }
    if service == "llm":
        entry["models"] = [{"name": MODEL, "version": version, "adapters": []}]
    return {**entry, **changes}


def make_settings(name="front-1", ip="127.0.0.1", port=0, store="127.0.0.1:1"):
    """Return a settings document with consecutive ports starting at ``port``."""
    return {
        "nodeName": name,
        "zone": "z1",
        "region": "r1",
        "listen": {
            "front": f"{ip}:{port}",
            "readiness": f"{ip}:{port + 1}",
            "control": f"{ip}:{port + 2}",
            "directory": f"{ip}:{port + 3}",
        },
        "internalPorts": [port + 4, port + 5],
        "seeds": [],
        "bounds": {
            "graceS": 2,
            "leaseMs": 1000,
            "versionMs": 15000,
            "retryBudgetRatio": 0.2,
            "retryBudgetSlack": 20,
            "budgetWindowS": 10,
            "ttl_max_s": 5,
        },
        "platform": {"address": store},
        "aFieldOfTomorrow": 1,
    }


def store_object(value, name="main", version=1):
    """Return a document as a stored object."""
    return StoredObject(name, version, orjson.dumps(value))
