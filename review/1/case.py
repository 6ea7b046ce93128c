"""A host loses the store while engines of a second software version come.

Streams that began at another host are broken by its end, and taken up at this one.
"""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import bed as beds  # noqa: E402

MODEL = "m0"
OLD, NEW = "v1", "v2"
ENGINES = 4
REPLACED = 2  # half of them, one after the other
RELEASE_GAP_S = 1.0
STREAMS = 20
EVENTS = 80
DEADLINE_MS = 15000
# The largest time of a day of the sites is 7.1 s.
CUT_S = 7.0
BEGIN_S = 5.0  # after the cut
LOOKUP_TIMEOUT_S = 1.0
ALLOWED = 2  # streams of two software versions


def configure(bed):
    """Write the configuration: one resumable route of streams."""
    engine = {
        "slots": 48,
        "kvCapacityTokens": 100000,
        "tokenKvBytes": 35136,
        "linkMbps": 740000.0,
        "models": [{"name": MODEL}],
    }
    route = {
        "name": "chat",
        "host": "a.example",
        "pathPrefix": "/chat/",
        "kind": "streaming",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "public": True,
        "targetGapMs": 300,
    }
    service = {"name": "llm", "healthPath": "/health", "engine": engine}
    bed.configure([route], [service])


class Stream:
    """A client's stream over its tries."""

    def __init__(self, bed, number):
        self.bed, self.number = bed, number
        self.events = []
        self.first_request = ""
        self.hosts = []
        self.endings = []

    def attempt(self, number, host):
        """Send one try and keep its events."""
        request = f"s{self.number:02d}t{number}"
        headers = {
            "Request-Id": request,
            "Model": MODEL,
            "Token-Count": "900,80",
            "Prompt-Prefix": f"aa:600,{self.number:04x}:300",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.first_request
        self.bed.record.add(
            "sent",
            request=request,
            host=host.name,
            after=headers.get("Last-Event-Id"),
            resumes=headers.get("Resumes"),
        )
        answer = beds.call(host.listen["front"], "POST", "/chat/a", headers)
        events = answer.events
        if events and not self.events:
            self.first_request = request
        self.events += events
        self.hosts.append(host.name)
        self.bed.record.add(
            "answered",
            request=request,
            status=answer.status,
            ending=answer.ending,
            software=sorted({data.split()[1] for _, data in events}),
            ids=[events[0][0], events[-1][0]] if events else [],
        )
        return answer

    def run(self, hosts):
        """Begin at the nearest host; after a broken connection ask for another one."""
        first = hosts[0]
        answer = self.attempt(1, first)
        if answer.complete or not self.events:
            return
        address = find_address(hosts, excluded=first.listen["front"])
        host = next((h for h in hosts if h.listen["front"] == address), None)
        if host is not None:
            self.attempt(2, host)

    @property
    def versions(self):
        """Return the software versions that made the events."""
        return sorted({data.split()[1] for _, data in self.events})


def find_address(hosts, excluded):
    """Ask the directories, nearest first, and pick an address that has not failed."""
    for host in hosts:
        found = [item for item in host.lookup() if item != excluded]
        if found:
            return random.choice(found)
    return None


def start_hosts(bed):
    """Start two hosts, and a third one whose seeds are down.

    The third one meets the others by the store. It and the first one are in the zone of
    the clients.
    """
    first = bed.add_host()
    other = bed.add_host(zone="z2", seeds=[first.listen["control"]])
    for host in (first, other):
        host.start()
    bed.wait(lambda: first.is_ready() and other.is_ready(), 20, "hosts not ready")
    time.sleep(4.0)
    dead = f"127.0.0.1:{beds.free_port()}"
    last = bed.add_host(seeds=[dead])
    last.start()
    bed.wait(last.is_ready, 20, "the third host is not ready")
    read = "past software versions read"
    bed.wait(lambda: last.logged(read), 3, "the third host did not read the store")
    return first, last, other


def case(bed):
    """Cut the third host off from the store; without the disruption, leave it."""
    configure(bed)
    beds.Engine.events, beds.Engine.gap_s = EVENTS, 0.05
    olds = [
        bed.add_engine(f"old{number}", models=[MODEL], software=OLD)
        for number in range(ENGINES)
    ]
    first, last, other = start_hosts(bed)
    streams = [Stream(bed, number) for number in range(STREAMS)]
    began = beds.now()
    last.cut = bed.trouble
    bed.record.add("cut off from the store", host=last.name, cut=last.cut)
    time.sleep(0.5)
    for number in range(REPLACED):
        bed.add_engine(f"new{number}", models=[MODEL], software=NEW)
        bed.record.add("release", new=f"new{number}", software=NEW)
        time.sleep(0.1)
        olds[number].state = "draining"
        olds[number].beat()
        bed.record.add("draining", engine=olds[number].name)
        time.sleep(RELEASE_GAP_S - 0.1)
    time.sleep(max(0.0, began + BEGIN_S - beds.now()))
    threads = [
        threading.Thread(target=stream.run, args=([first, last, other],), daemon=True)
        for stream in streams
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.7)
    first.kill()
    bed.record.add("killed", host=first.name)
    time.sleep(max(0.0, began + CUT_S - beds.now()))
    last.cut = False
    bed.record.add("the cut has ended", after_s=round(beds.now() - began, 2))
    for thread in threads:
        thread.join(20)
    resumed = [stream for stream in streams if len(stream.hosts) > 1]
    if len(resumed) < STREAMS // 2:
        raise beds.CannotRun(f"only {len(resumed)} streams were broken")
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    bed.record.add("streams", resumed=len(resumed), of_two_versions=len(mixed))
    if len(mixed) <= ALLOWED:
        return []
    return [
        f"{len(mixed)} streams hold events of {OLD} and {NEW} (allowed: {ALLOWED}); "
        f"the first went {' and '.join(mixed[0].hosts)}"
    ]


if __name__ == "__main__":
    beds.run_case(Path(__file__).resolve().parent, case)
