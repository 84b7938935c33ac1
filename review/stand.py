"""Stand-ins for a small deployment: the platform's store, engines, clients and entry processes.

All of them use loopback addresses of their own, the real clock and the wire of the users' pages.
A run draws its addresses, so that two runs do not meet.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
FRONT = READY = CONTROL = DIRECTORY = PEERS = STORE_PORT = SERVER_PORT = 0   # drawn for a run
TRAFFIC_S = 10      # "Traffic starts 10 s after the machines do" (SYSTEM.md)
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


def now():
    return time.monotonic()


def draw_ports(ip):
    """Draws free ports, alike on all machines of a run; the last 16 are for the entries' own use."""
    global FRONT, READY, CONTROL, DIRECTORY, STORE_PORT, SERVER_PORT, PEERS
    for _ in range(100):
        first = random.randrange(10000, 30000)
        try:
            for port in range(first, first + 22):
                with socket.socket() as s:
                    s.bind((ip, port))
        except OSError:
            continue
        FRONT, READY, CONTROL, DIRECTORY, STORE_PORT, SERVER_PORT, PEERS = range(first, first + 7)
        return
    raise OSError("no free ports")


class Record:
    """Writes record.txt: seconds since the start, and what was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = now()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.begun, text))
        self.file.flush()


# ---- HTTP ----

async def read_head(reader):
    """Start line and fields (a list of pairs), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name, value.strip()))
    return lines[0], fields


def field(fields, name):
    for n, v in fields:
        if n.lower() == name.lower():
            return v
    return None


def head(status, fields):
    text = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Other"))
    return (text + "".join("%s: %s\r\n" % f for f in fields) + "\r\n").encode("latin-1")


def plain(status, fields, body):
    return head(status, fields + [("Content-Length", len(body))]) + body


async def serve(ip, port, handler):
    """Serves each connection by handler(reader, writer); errors of a connection end it."""
    async def on_connection(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(on_connection, ip, port, limit=1 << 23, backlog=512)


# ---- the platform's store ----

class Store:
    """The store of the pages: items by key with revisions, watches, conditions and leases."""

    def __init__(self, net):
        self.net = net
        self.revision = 100
        self.items = {}     # key -> (value, revision, made, lease)
        self.history = []   # (revision, event)
        self.leases = {}    # lease -> [ttl, end]
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await serve(self.net.store_ip, STORE_PORT, self.connection)

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, made, lease)
        self.note(self.item(key))
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note({"privateKey": key, "revision": self.revision, "gone": True})

    def note(self, event):
        self.history.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, made, lease = self.items[key]
        return {"privateKey": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "made": made, "lease": lease}

    def expire(self):
        for lease, (_, end) in list(self.leases.items()):
            if end <= now():
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i[3] == lease]:
            self.remove(key)

    async def connection(self, reader, writer):
        while True:
            h = await read_head(reader)
            if not h:
                return
            method, target, _ = h[0].split(" ")
            length = int(field(h[1], "Content-Length") or 0)
            body = await reader.readexactly(length) if length else b""
            status, answer = await self.call(method, target, body)
            writer.write(plain(status, [("Content-Type", "application/json")],
                               json.dumps(answer).encode()))
            await writer.drain()
            if (field(h[1], "Connection") or "").lower() == "close":
                return

    async def call(self, method, target, body):
        self.expire()
        u = urlsplit(target)
        q = {k: v[0] for k, v in parse_qs(u.query, keep_blank_values=True).items()}
        o = json.loads(body) if body else {}
        if u.path == "/-/kv-key":
            key = q["privateKey"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self.item(key), at=self.revision)
        if u.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(q["pathPrefix"])
                          and k > q.get("afterRevision", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "more": len(keys) > 500, "at": self.revision}
        if u.path == "/-/kv-watch":
            return await self.watch(q)
        if u.path == "/-/kv-txn":
            return self.commit(o)
        if u.path == "/-/kv-lease":
            lease, ttl = random.randrange(1, 1 << 40), o["ttl_ms"] / 1000
            self.leases[lease] = [ttl, now() + ttl]
            return 200, {"lease": lease, "ttl_ms": o["ttl_ms"]}
        last = unquote(u.path.rsplit("/", 1)[1])
        if u.path.startswith("/-/kv-keep/"):
            if int(last) not in self.leases:
                return 404, {}
            entry = self.leases[int(last)]
            entry[1] = now() + entry[0]
            return 200, {"ttl_ms": int(entry[0] * 1000)}
        if u.path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(last))
            return 200, {}
        return 404, {}

    async def watch(self, q):
        after, end = int(q["afterRevision"]), now() + int(q["waitMs"]) / 1000
        while True:
            events = [e for r, e in self.history
                      if r > after and e["privateKey"].startswith(q["pathPrefix"])]
            if events or now() >= end:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def commit(self, o):
        conditions = o.get("expectedRevision", [])
        for c in conditions:
            have = self.items[c["privateKey"]][1] if c["privateKey"] in self.items else 0
            if have != c["revision"]:
                return 412, {"items": [self.item(k["privateKey"]) for k in conditions
                                       if k["privateKey"] in self.items],
                             "at": self.revision}
        for p in o.get("put", []):
            lease = p.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if p["privateKey"].startswith(("op/", "servers/")):
                return 403, {}
            self.put(p["privateKey"], base64.b64decode(p["value"]), lease)
        for key in o.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# ---- engines and other servers ----

class Run:
    def __init__(self, server, method, target, fields, body):
        self.server, self.method, self.target = server, method, target
        self.fields, self.body = fields, body
        self.id = field(fields, "X-Request-Id")
        self.tokens, self.events = 0, 0     # in memory, and made


class Server:
    """A server of a service. behave(run, reader, writer) answers what is run."""

    def __init__(self, net, service, behave, slots=48, zone="a", listed=None):
        self.net, self.service, self.behave = net, service, behave
        self.slots, self.zone = slots, zone
        self.id = "i-%010x" % random.randrange(1 << 40)
        self.ip = net.take_ip()
        self.listed = listed   # the address in its entry, if a proxy stands before it
        self.runs, self.working = [], []
        self.leaving = False
        self.open = set()      # transports of its connections

    async def start(self):
        self.server = await serve(self.ip, SERVER_PORT, self.connection)
        self.list("ready")

    def list(self, state):
        entry = {"service": self.service, "address": self.listed or self.address(),
                 "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                 "coldRemainingMs": 0, "sequence": 1}
        self.net.store.put("servers/" + self.id, json.dumps(entry).encode())

    def address(self):
        return "%s:%d" % (self.ip, SERVER_PORT)

    def ok(self, run):
        return [("X-Request-Id", run.id),
                ("X-Response-Signature", "%s.%s" % (self.id, run.id)), ("Versions", "1")] + (
                    [("Connection", "close")] if self.leaving else [])

    async def connection(self, reader, writer):
        self.open.add(writer.transport)
        try:
            await self.serve_requests(reader, writer)
        finally:
            self.open.discard(writer.transport)

    def end(self):
        """Ends like a process: all connections are closed, and new ones are refused."""
        self.server.close()
        for transport in list(self.open):
            transport.abort()

    async def serve_requests(self, reader, writer):
        while True:
            h = await read_head(reader)
            if not h:
                return
            method, target, _ = h[0].split(" ")
            length = int(field(h[1], "Content-Length") or 0)
            body = await reader.readexactly(length) if length else b""
            if target == "/health":
                writer.write(plain(503 if self.leaving else 200,
                                   [("X-Instance-Id", self.id)], b""))
            elif target == "/-/report":
                writer.write(plain(200, [("Content-Type", "application/json")],
                                   json.dumps(self.report()).encode()))
            elif target.startswith("/-/"):
                writer.write(plain(404, [], b""))
            else:
                await self.request(Run(self, method, target, h[1], body), reader, writer)
            await writer.drain()
            if (field(h[1], "Connection") or "").lower() == "close":
                return

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 1, "queuedRequests": 0,
                "runningRequests": len(self.working),
                "kvUsed": sum(r.tokens for r in self.working), "kvTotal": 34414,
                "handles": 0, "state": "draining" if self.leaving else "ready",
                "runs": [[r.id, r.tokens, r.events, int(field(r.fields, "Priority") or 5)]
                         for r in self.working]}

    async def request(self, run, reader, writer):
        wanted = field(run.fields, "X-Target-Instance")
        if wanted and wanted != self.id:
            writer.write(plain(421, [("X-Instance-Id", self.id)], b""))
            return
        if not run.id:
            writer.write(plain(400, [("X-Not-Executed", "1")], b""))
            return
        self.runs.append(run)
        self.net.record("server %s gets %s %s %s (after event: %s)" % (
            self.id, run.id, run.method, run.target, field(run.fields, "Last-Event-Id")))
        self.working.append(run)
        try:
            await self.behave(run, reader, writer)
        finally:
            self.working.remove(run)


# ---- entry processes ----

class Entry:
    """One entry instance, started by the run line of the deploy file."""

    def __init__(self, net, name, zone="a", more=""):
        self.net, self.name, self.zone, self.more = net, name, zone, more
        self.ip = net.take_ip()
        self.settings = os.path.join(net.dir, name + ".conf")
        self.log = os.path.join(net.dir, name + ".log")
        self.process = None

    def write_settings(self, first):
        n = self.net
        lines = [
            "nodeName=" + self.name, "role=saddlehead-entry", "machineClass=front",
            "serves=front,control,directory", "ipAddress=" + self.ip, "zone=" + self.zone,
            "region=r", "zones.a=r", "zones.b=r",
            "listenAddresses.front=%s:%d" % (self.ip, FRONT),
            "listenAddresses.ready=%s:%d" % (self.ip, READY),
            "listenAddresses.control=%s:%d" % (self.ip, CONTROL),
            "listenAddresses.directory=%s:%d" % (self.ip, DIRECTORY),
            "internalPortRange=%d,%d" % (PEERS, PEERS + 15),
            "seedNodes=" + ",".join("%s:%d" % (e.ip, CONTROL) for e in n.entries[:3]),
            "firstStart=" + ("true" if first else "false"), "countsInTolerance=false",
            "limits.cpuShare=0.25", "limits.cpuCores=1", "limits.memoryMb=110",
            "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
            "discovery=platform", "entry=directory", "heartbeatIntervalMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "faultTolerance.machines=2", "faultTolerance.zones=0",
            "faultTolerance.regions=0", "bounds.seedPropagationS=3",
            "bounds.addressReuseS=2", "bounds.contactMs=3000", "bounds.ackMs=4000",
            "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
            "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
            "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
            "bounds.failClosed=true", "bounds.revokeMs=5000",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
            "bounds.budgetSlack=54", "bounds.recoveryS=12", "bounds.pass_ms=120",
            "bounds.again_s=4.6", "bounds.ttl_max_s=5",
            "platform.address=%s:%d" % (n.store_ip, STORE_PORT), "platform.form=kv",
            "platform.writes_per_s=400", "platform.reads_per_s=2000",
            "platform.historyS=20", "platform.value_bytes=1048576",
            "platform.ttl_min_ms=1000"]
        fields = dict(line.split("=", 1) for line in lines)
        fields.update(n.sheet)
        with open(self.settings, "w") as f:
            f.writelines("%s=%s\n" % field for field in fields.items())
            f.write(self.more)

    def start(self, first=True):
        self.write_settings(first)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SADDLEHEAD_NODE_FILE"] = self.settings
        with open(self.log, "a") as out:
            self.process = subprocess.Popen(self.net.run_line, cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        self.net.started = now()
        self.net.record("%s starts at %s" % (self.name, self.ip))

    def signal(self, sig):
        self.net.record("%s gets %s" % (self.name, signal.Signals(sig).name))
        self.process.send_signal(sig)

    def ended(self):
        return self.process.poll() is not None

    def memory_mb(self):
        """Resident memory, or 0 once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def ready(self):
        try:
            r, w = await asyncio.open_connection(self.ip, READY)
            w.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            h = await read_head(r)
            w.close()
            return bool(h) and " 200 " in h[0]
        except OSError:
            return False

    async def until_ready(self, seconds=10):
        end = now() + seconds
        while now() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Net:
    """All of one run: addresses, the temporary folder, the store and the entries."""

    def __init__(self, record):
        self.record = record
        self.a, self.b = random.randrange(16, 240), random.randrange(1, 255)
        self.host = 0
        self.store_ip = self.take_ip()
        draw_ports(self.store_ip)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self)
        self.entries, self.servers = [], []
        self.traffic_s, self.sheet = TRAFFIC_S, {}  # settings of another site's sheet
        self.run_line = self.read_run_line()

    @staticmethod
    def read_run_line():
        with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
            for line in f:
                if line.startswith("run = "):
                    return line.split('"')[1].split(" ")
        raise SystemExit(2)

    def take_ip(self):
        self.host += 1
        return "127.%d.%d.%d" % (self.a, self.b, self.host)

    async def until_traffic(self):
        """Waits until the traffic may start."""
        await asyncio.sleep(max(self.started + self.traffic_s - now(), 0))

    def entry(self, name, **more):
        e = Entry(self, name, **more)
        self.entries.append(e)
        return e

    async def server(self, *args, **more):
        s = Server(self, *args, **more)
        self.servers.append(s)
        await s.start()
        return s

    def end(self):
        for e in self.entries:
            if e.process and not e.ended():
                e.process.send_signal(signal.SIGCONT)
                e.process.kill()
        for e in self.entries:
            if e.process:
                e.process.wait()
        if os.environ.get("KEEP"):
            print(self.dir, file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


# ---- the operator's configuration ----

HOST = "ficu95.example"


def route(name, kind, service, **more):
    r = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name, "kind": kind,
         "timeoutMs": 39000, "targetLatencyMs": 1500, "priority": 1, "service": service,
         "maxAttempts": 1, "public": False, "stickySessions": False,
         "streamResumption": False, "gap_aim_ms": 180}
    r.update(more)
    return r


def service(name, engine=False):
    s = {"name": name, "healthCheckPath": "/health", "maxConnections": 372,
         "protocol": "h1", "tls": False}
    if engine:
        s["engine"] = {"slots": 48, "kvCacheTokens": 34414, "kvTokenBytes": 131072,
                       "linkMbps": 19000.0, "moves": False, "backups": False, "stride": 4,
                       "most": 12, "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                       "models": [{"name": "m"}]}
    return s


def config(version, routes, services, keys=("k1",), **limits):
    most = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}
    most.update(limits)
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": most, "tenants": [
                           {"name": "huka270", "apiKeys": list(keys), "priority": 1}]}).encode()


# ---- clients ----

def request(method, path, rid, deadline_ms, body=b"", key="k1", more=()):
    fields = [("Host", HOST), ("X-Request-Id", rid), ("X-Deadline-Ms", deadline_ms),
              ("X-Credential", key)] + list(more)
    if body or method == "POST":
        fields.append(("Content-Length", len(body)))
    text = "%s %s HTTP/1.1\r\n" % (method, path)
    return (text + "".join("%s: %s\r\n" % f for f in fields) + "\r\n").encode() + body


def new_id():
    return "%016x" % random.randrange(1 << 64)


async def play(main, seconds=110):
    """Runs main(net, trouble) and returns its exit status."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble: %s" % ("yes" if trouble else "no"))
    net = Net(record)
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, task.cancel)
    try:
        await net.store.start()
        status = await asyncio.wait_for(main(net, trouble), seconds)
    except asyncio.TimeoutError:
        record("the run took too long")
        status = 2
    except asyncio.CancelledError:
        record("the run was ended from outside")
        status = 2
    except Exception as e:  # anything else shows nothing of the rule
        record("the run could not go on: %r" % e)
        status = 2
    finally:
        net.end()
    record({0: "the rule held", 1: "the rule was broken"}.get(status, "the case did not run"))
    return status


def run(main):
    random.seed()
    sys.exit(asyncio.run(play(main)))
