"""Stand-ins for the platform's store, engines and clients, and the hosts under test.

Only the standard library is used. Every address is a loopback address.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HISTORY = 10_000
STORE_ANSWER_S = 0.004  # as the sheets say


def now():
    """Return the monotonic clock in seconds."""
    return time.monotonic()


def free_port(ip="127.0.0.1"):
    """Return a port that is free for TCP and UDP on an address."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            return port


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder):
        self.lines = []
        self.started = now()
        self.path = Path(folder) / "record.txt"
        self.lock = threading.Lock()
        self.path.write_text("")

    def add(self, what, **fields):
        """Add a line with the time since the start."""
        entry = {"t": round(now() - self.started, 3), "what": what, **fields}
        with self.lock:
            self.lines.append(entry)
            with self.path.open("a") as out:
                out.write(json.dumps(entry) + "\n")
        return entry


class Handler(BaseHTTPRequestHandler):
    """HTTP/1.1 with kept connections and without a log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Log nothing."""

    def read_body(self):
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        """Send a whole response."""
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def handle(self):
        """Serve a connection; its loss is no error."""
        try:
            super().handle()
        except (OSError, ValueError):
            self.close_connection = True


class Server(ThreadingHTTPServer):
    """A server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, *_):
        """Ignore lost connections."""


def serve(handler, ip="127.0.0.1", port=0, **attributes):
    """Start a server with some attributes and return it."""
    server = Server((ip, port), handler)
    for name, value in attributes.items():
        setattr(server, name, value)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: objects by kind and name, one revision, a history."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.history = []
        self.changed = threading.Condition()
        self.raw = {}  # JSON that stands for a text, as another writer wrote it

    def address_for(self, host):
        """Return a new address of the store for one host; ``host.cut`` silences it."""
        server = serve(StoreHandler, store=self, host=host)
        host.store_server = server
        return "127.0.0.1:%d" % server.server_address[1]

    def _change(self, kind, name, stored, deleted):
        self.revision += 1
        stored["metadata"]["revision"] = self.revision
        snapshot = json.loads(json.dumps(stored))
        self.history.append((self.revision, kind, snapshot, deleted))
        del self.history[:-HISTORY]
        self.changed.notify_all()

    def write(self, kind, name, spec):
        """Write an object as the operator or an engine does."""
        with self.changed:
            known = self.objects.setdefault(kind, {}).get(name)
            if known is not None and known["spec"] == spec:
                return known["metadata"]["revision"]
            metadata = {"name": name, "created": 0, "finalizers": [], "deleting": False}
            stored = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[kind][name] = stored
            self._change(kind, name, stored, False)
            return self.revision

    def delete(self, kind, name):
        """Remove an object."""
        with self.changed:
            stored = self.objects.get(kind, {}).pop(name, None)
            if stored is not None:
                self._change(kind, name, stored, True)

    def encode(self, value):
        """Return the JSON of an answer; ASCII, with escapes."""
        text = json.dumps(value)
        for name, raw in self.raw.items():
            text = text.replace(json.dumps(name), raw)
        return text.encode("ascii")

    def page(self, kind, after):
        """Return a page of the objects of a kind."""
        with self.changed:
            known = self.objects.get(kind, {})
            names = sorted(name for name in known if name > after)
            return {
                "items": [known[name] for name in names[:500]],
                "hasMore": len(names) > 500,
                "storeRevision": self.revision,
            }

    def watch(self, kind, position, wait_s):
        """Return the events after a position, or ``None`` if its history is gone."""
        until = now() + min(30.0, wait_s)
        with self.changed:
            while True:
                if position > self.revision:
                    return None
                if self.history and position < self.history[0][0] - 1:
                    return None
                events = [
                    {"object": stored, "deleted": deleted}
                    for revision, of, stored, deleted in self.history
                    if of == kind and revision > position
                ]
                if events or now() >= until:
                    return {"events": events, "storeRevision": self.revision}
                self.changed.wait(max(0.0, until - now()))

    def put(self, method, kind, name, document):
        """Create or replace an object under a condition."""
        with self.changed:
            known = self.objects.setdefault(kind, {}).get(name)
            revision = document.get("metadata", {}).get("revision")
            if method == "POST" and known is not None:
                return 409, known
            if method == "PUT" and known is None:
                return 404, {}
            if known and revision is not None:
                if known["metadata"]["revision"] != revision:
                    return 409, known
            if known is not None and known["spec"] == document.get("spec"):
                return 200, known
            metadata = {"name": name, "created": 0, "finalizers": [], "deleting": False}
            stored = {
                "metadata": metadata,
                "spec": document.get("spec"),
                "status": known["status"] if known else None,
            }
            self.objects[kind][name] = stored
            self._change(kind, name, stored, False)
            return 200, stored

    def remove(self, kind, name, revision):
        """Remove an object under a condition."""
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                return 404, {}
            if revision is not None and known["metadata"]["revision"] != revision:
                return 409, known
            self.delete(kind, name)
            return 200, known


class StoreHandler(Handler):
    """The calls of the store, on the address of one host."""

    def answer(self, method):
        """Answer a call, unless the host is cut off."""
        body = self.read_body()
        if self.server.host.cut:
            self.wait_cut()
            return
        time.sleep(STORE_ANSWER_S)
        store, parts = self.server.store, urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = unquote(parts.path).removeprefix("/objects/")
        kind, _, name = path.partition("/")
        if method == "GET" and "watch" in query:
            wait_s = int(query.get("waitMs", 0)) / 1000
            value = store.watch(kind, int(query["watch"]), wait_s)
            status, value = (410, {}) if value is None else (200, value)
        elif method == "GET" and name:
            with store.changed:
                value = store.objects.get(kind, {}).get(name)
            status, value = (404, {}) if value is None else (200, value)
        elif method == "GET":
            status, value = 200, store.page(kind, query.get("after", ""))
        elif method == "DELETE":
            revision = query.get("revision")
            revision = None if revision is None else int(revision)
            status, value = store.remove(kind, name, revision)
        else:
            document = json.loads(body)
            name = name or document["metadata"]["name"]
            status, value = store.put(method, kind, name, document)
        if self.server.host.cut:
            self.wait_cut()
            return
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        self.reply(status, store.encode(value), headers)

    def wait_cut(self):
        """Give no answer while the host is cut off, then lose the connection."""
        while self.server.host.cut:
            time.sleep(0.02)
        self.close_connection = True

    def do_GET(self):
        """Answer a reading call."""
        self.answer("GET")

    def do_POST(self):
        """Answer a call that creates."""
        self.answer("POST")

    def do_PUT(self):
        """Answer a call that replaces."""
        self.answer("PUT")

    def do_DELETE(self):
        """Answer a call that removes."""
        self.answer("DELETE")


class Engine:
    """An engine: runs requests, streams events, and takes orders one at a time."""

    load_s = 1.9
    events = 10
    gap_s = 0.05
    beat_s = 1.2

    def __init__(self, store, record, name, service="llm", models=(), software="v1"):
        self.store, self.record, self.name = store, record, name
        self.service, self.software = service, software
        self.models = {model: 1 for model in models}
        self.state, self.orders, self.busy = "ready", 0, False
        self.beats, self.gone = 0, False
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.server = serve(EngineHandler, engine=self)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def register(self):
        """Write the entry now, and at each heartbeat."""
        self.beat()
        threading.Thread(target=self.keep, daemon=True).start()

    def keep(self):
        """Write the entry at each heartbeat."""
        while not self.gone:
            time.sleep(self.beat_s)
            self.beat()

    def beat(self):
        """Write the entry; only its sequence number may have changed."""
        if self.gone:
            return
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.software,
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if self.models:
            entry["models"] = self.model_list()
            entry["stage"] = "unified"
        self.store.write("servers", self.name, entry)

    def model_list(self):
        """Return the models and their versions."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    def leave(self):
        """Remove the entry."""
        self.gone = True
        self.store.delete("servers", self.name)

    def accept(self, order):
        """Accept an order or return why not."""
        model, version = order.get("model"), order.get("version")
        if not order.get("holder") or order.get("fencingToken") is None:
            return 400
        if order.get("op") != "version" or model not in self.models:
            return 400
        with self.lock:
            if self.busy or order.get("expect", self.orders) != self.orders:
                return 409
            if self.models[model] == version:
                return 200
            self.orders += 1
            self.busy = True
        threading.Thread(target=self.load, args=(model, version), daemon=True).start()
        return 202

    def load(self, model, version):
        """Load weights."""
        time.sleep(self.load_s)
        with self.lock:
            self.models[model] = version
            self.busy = False
        self.beat()

    def run(self, handler, request, headers):
        """Run a request: a stream if it names a model, else a short body."""
        after = int(headers.get("Last-Event-Id") or 0)
        entry = self.record.add(
            "run", request=request, engine=self.name, software=self.software, after=after
        )
        seal = [("Request-Id", request), ("Response-Seal", f"seal.{self.name}")]
        if not headers.get("Model"):
            time.sleep(self.gap_s)
            handler.reply(200, f"body of {request}".encode(), seal)
            entry["ended"] = True
            return
        seal.append(("Weight-Versions", str(self.models.get(headers["Model"], 1))))
        handler.send_response_only(200)
        seal += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        for name, value in seal:
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(after + 1, self.events + 1):
            time.sleep(self.gap_s)
            data = f"id: {number}\ndata: {request} {self.software} {self.name}\n\n"
            piece = data.encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            handler.wfile.flush()
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()
        self.record.add("run ended", request=request, engine=self.name, status=200)


class EngineHandler(Handler):
    """The calls to an engine."""

    def answer(self):
        """Answer a report, an order, a health check or a request."""
        engine, body = self.server.engine, self.read_body()
        path = self.path.partition("?")[0]
        wanted = self.headers.get("Expect-Instance")
        request = self.headers.get("Request-Id") or ""
        not_run = [("Not-Executed", "1"), ("Request-Id", request)]
        if path == "/report":
            value = {
                "stage": "unified",
                "models": engine.model_list(),
                "busy": engine.busy,
                "seq": engine.orders,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
            }
            self.reply(200, json.dumps(value).encode())
        elif path == "/health":
            status = 200 if engine.state == "ready" else 503
            self.reply(status, b"", [("Instance-Id", engine.name)])
        elif wanted is not None and wanted != engine.name:
            self.reply(421, b"", not_run)
        elif path == "/order":
            order = json.loads(body)
            status = engine.accept(order)
            engine.record.add("order", engine=engine.name, status=status, **order)
            self.reply(status, b"{}")
        elif self.expects_other_weights(engine):
            self.reply(421, b"", not_run)
        else:
            engine.run(self, request, self.headers)

    def expects_other_weights(self, engine):
        """Return whether the request names another version of its model."""
        expected = self.headers.get("Expect-Version")
        version = engine.models.get(self.headers.get("Model"))
        return expected is not None and str(version) != expected

    do_GET = do_POST = do_PUT = do_DELETE = answer


class Host:
    """A host: the program of the deploy file as a process with its settings file."""

    def __init__(self, bed, number, zone="z1", seeds=()):
        self.bed, self.name = bed, f"front-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.cut, self.process, self.store_server = False, None, None
        ports = {
            name: free_port(self.ip)
            for name in ("front", "readiness", "control", "directory", "a", "b")
        }
        listen = {
            name: f"{self.ip}:{ports[name]}"
            for name in ("front", "readiness", "control", "directory")
        }
        self.listen = listen
        self.settings = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control_plane", "directory"],
            "ip": self.ip,
            "zone": zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1"},
            "listen": listen,
            "internalPorts": [ports["a"], ports["b"]],
            "seeds": list(seeds),
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 150, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": dict(BOUNDS),
            "platform": {
                "address": bed.store.address_for(self),
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
            },
        }
        self.path = bed.folder / f"{self.name}.json"
        self.log = bed.folder / f"{self.name}.log"

    def start(self):
        """Start the process as the deploy file says."""
        self.path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ROSEMARYYOKE_NODE_FILE"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "rosemaryyoke", "route"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        """Return whether the host says that it is ready."""
        try:
            return get(self.listen["readiness"], "/readiness")[0] == 200
        except OSError:
            return False

    def lookup(self, zone="z1"):
        """Return the addresses that this host names to clients, or an empty list."""
        try:
            path = f"/lookup?name=a.example&region=r1&zone={zone}"
            status, body = get(self.listen["directory"], path)
        except OSError:
            return []
        return json.loads(body).get("addresses", []) if status == 200 else []

    def logged(self, message):
        """Return the lines of the log with a message."""
        found = []
        if self.log.exists():
            for line in self.log.read_text(errors="replace").splitlines():
                try:
                    value = json.loads(line)
                except ValueError:
                    continue
                if value.get("message") == message:
                    found.append(value)
        return found


BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 58,
    "recoveryS": 12,
    "transitMs": 120,
    "reuseWindowS": 10,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "versionMs": 15000,
    "versionAllMs": 21000,
    "ttl_max_s": 5,
}


class Bed:
    """All parts of one case; they end with it."""

    def __init__(self, folder):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.store = Store()
        self.hosts, self.engines = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def add_engine(self, name, register=True, **options):
        """Start an engine."""
        engine = Engine(self.store, self.record, name, **options)
        self.engines.append(engine)
        if register:
            engine.register()
        return engine

    def add_host(self, zone="z1", seeds=()):
        """Prepare a host."""
        host = Host(self, len(self.hosts) + 1, zone, seeds)
        self.hosts.append(host)
        return host

    def wait(self, condition, timeout_s, what):
        """Wait for a condition; the case can't run if it does not come."""
        until = now() + timeout_s
        while not condition():
            if now() >= until:
                raise CannotRun(what)
            time.sleep(0.02)

    def start_hosts(self, count, models=()):
        """Start some hosts with the first ones as seeds, and wait until they are ready."""
        for _ in range(count):
            self.add_host(seeds=[host.listen["control"] for host in self.hosts[:3]])
        for host in self.hosts:
            host.start()
        self.wait(lambda: all(h.is_ready() for h in self.hosts), 20, "hosts not ready")

    def stop(self):
        """End all processes."""
        for host in self.hosts:
            host.kill()

    def configure(self, routes, services, version=1, tenants=()):
        """Write the configuration as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": list(tenants),
        }
        self.store.write("config", "main", document)


class CannotRun(Exception):
    """The case could not be set up."""


def run_case(folder, case):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    bed = Bed(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = case(bed)
    except CannotRun as error:
        bed.record.add("cannot run", error=str(error))
        print(f"cannot run: {error}")
        code = 2
    except Exception as error:
        bed.record.add("cannot run", error=repr(error))
        bed.stop()
        raise SystemExit(2) from error
    else:
        for line in broken:
            bed.record.add("broken", text=line)
            print(f"broken: {line}")
        code = 1 if broken else 0
        bed.record.add("verdict", broken=len(broken), trouble=bed.trouble)
        print(f"rule {'broken' if broken else 'held'} (trouble={bed.trouble})")
    finally:
        bed.stop()
    if os.environ.get("KEEP"):
        print(f"logs: {bed.folder}")
    else:
        for path in bed.folder.iterdir():
            path.unlink()
        bed.folder.rmdir()
    sys.stdout.flush()
    os._exit(code)


def split_address(text):
    """Return the IP address and port of an address."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def get(address, path, timeout_s=1.0):
    """Send a GET request on a new connection; return the status and the body."""
    answer = call(address, "GET", path, {}, timeout_s=timeout_s)
    if answer.status is None:
        raise OSError(answer.ending)
    return answer.status, answer.body


class Answer:
    """What a client received: the head, the events or the body, and the end."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.ending, self.complete = "", False
        self.sent = now()

    @property
    def events(self):
        """Return the id and the data of each whole event."""
        found = []
        whole = self.body[: self.body.rfind(b"\n\n") + 2]
        for block in whole.decode("latin-1").split("\n\n"):
            fields = dict(
                line.split(": ", 1) for line in block.splitlines() if ": " in line
            )
            if "id" in fields:
                found.append((int(fields["id"]), fields.get("data", "")))
        return found


def connect(address, timeout_s=1.0):
    """Return a connection to an address."""
    connection = socket.create_connection(split_address(address), timeout_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def call(
    address, method, path, headers, body=b"", timeout_s=10.0, connection=None, on_data=None
):
    """Send a request and read its answer until it ends or the time is up.

    ``on_data`` is called with the answer after each piece of its body; if it returns
    true, the client stops to read.
    """
    answer, own = Answer(), connection is None
    lines = [f"{method} {path} HTTP/1.1"]
    values = {"Host": "a.example", **headers}
    if body or method == "POST":
        values["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in values.items()]
    data = "\r\n".join([*lines, "", ""]).encode() + body
    try:
        if connection is None:
            connection = connect(address)
        connection.settimeout(timeout_s)
        answer.sent = now()
        connection.sendall(data)
        read_answer(connection, answer, now() + timeout_s, on_data)
    except OSError as error:
        answer.ending = answer.ending or f"{type(error).__name__}: {error}"
    finally:
        if own and connection is not None:
            connection.close()
    return answer


def read_answer(connection, answer, until, on_data):
    """Read an answer with a length, in chunks or until the end of its connection."""
    received = b""

    def more():
        nonlocal received
        left = until - now()
        if left <= 0:
            raise TimeoutError("no end of the answer in time")
        connection.settimeout(left)
        piece = connection.recv(65536)
        if not piece:
            answer.ending = "closed"
            raise ConnectionError("closed")
        received += piece

    while b"\r\n\r\n" not in received:
        more()
    head, _, received = received.partition(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split()[1])
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in rest)
    }
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            while b"\r\n" not in received:
                more()
            size, _, received = received.partition(b"\r\n")
            length = int(size, 16)
            while len(received) < length + 2:
                more()
            answer.body += received[:length]
            received = received[length + 2 :]
            if length == 0:
                break
            if on_data is not None and on_data(answer):
                answer.ending = "left"
                return
    else:
        length = int(answer.headers.get("content-length", 0))
        while len(received) < length:
            more()
        answer.body = received[:length]
    answer.complete, answer.ending = True, "complete"
