"""Stand-ins for the cases of this review: the platform's store, servers and callers, on one
asyncio loop; and the start of real entry processes. Python's standard library only."""
import asyncio, base64, itertools, json, os, random, re, shutil, signal, socket, subprocess, sys
import tempfile, time, urllib.parse

LEAD_S = 10  # traffic starts so long after the machines do
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


async def read_head(r):
    raw = await r.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(r, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            n = int((await r.readline()).split(b";")[0], 16)
            part = await r.readexactly(n + 2)
            if not n:
                return body
            body += part[:-2]
    return await r.readexactly(int(fields.get("content-length", "0") or 0))


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.f = open(path, "w")
        self.began = now()

    def say(self, *words):
        self.f.write("%8.3f %s\n" % (now() - self.began, " ".join(str(w) for w in words)))
        self.f.flush()


class Store:
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self, ip):
        self.ip, self.items, self.revision = ip, {}, 100
        self.history, self.leases = [], {}
        self.changed = asyncio.Event()
        self.silent_ips = set()  # callers that get no answer
        self.numbers = itertools.count(500)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def item(self, key):
        v, rev, made, lease = self.items[key]
        return {"privateKey": key, "value": base64.b64encode(v).decode(), "revision": rev,
                "made": made, "lease": lease}

    def note(self, key):
        self.history.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, bump=True):
        if bump:
            self.revision += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, made, lease)
        self.note(key)
        return self.revision

    def remove(self, key, bump=True):
        if key not in self.items:
            return
        if bump:
            self.revision += 1
        del self.items[key]
        self.note(key)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i[3] == lease]:
            self.remove(key)

    def events(self, prefix, after):
        last = {}
        for rev, key in self.history:
            if rev > after and key.startswith(prefix):
                last[key] = rev
        out = []
        for key, rev in sorted(last.items(), key=lambda x: x[1]):
            if key in self.items:
                out.append(self.item(key))
            else:
                out.append({"privateKey": key, "revision": rev, "gone": True})
        return out

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        q = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        for lease in [k for k, t in self.leases.items() if t[0] < now()]:
            self.end_lease(lease)
        if path == "/-/kv-key":
            if q["privateKey"] not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self.item(q["privateKey"]), at=self.revision)
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(q.get("pathPrefix", ""))
                          and k > q.get("afterRevision", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "more": len(keys) > 500, "at": self.revision}
        if path == "/-/kv-watch":
            until = now() + int(q.get("waitMs", "0")) / 1000
            while True:
                changed = self.changed
                ev = self.events(q["pathPrefix"], int(q["afterRevision"]))
                if ev or now() >= until:
                    return 200, {"events": ev, "at": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn":
            t = json.loads(body)
            for c in t.get("expectedRevision", []):
                have = self.items[c["privateKey"]][1] if c["privateKey"] in self.items else 0
                if have != c["revision"]:
                    keys = [c["privateKey"] for c in t["expectedRevision"]]
                    return 412, {"items": [self.item(k) for k in keys if k in self.items],
                                 "at": self.revision}
            changes = [p for p in t.get("put", []) if p]
            for p in changes:
                if p.get("lease") and p["lease"] not in self.leases:
                    return 404, {}
            if changes or t.get("remove"):
                self.revision += 1
            for p in changes:
                self.put(p["privateKey"], base64.b64decode(p["value"]), p.get("lease", 0), False)
            for k in t.get("remove", []):
                self.remove(k, False)
            return 200, {"revision": self.revision}
        if path == "/-/kv-lease":
            n, ttl = next(self.numbers), json.loads(body)["ttl_ms"]
            self.leases[n] = (now() + ttl / 1000, ttl)
            return 200, {"lease": n, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            n = int(path.rsplit("/", 1)[1])
            if n not in self.leases:
                return 404, {}
            self.leases[n] = (now() + self.leases[n][1] / 1000, self.leases[n][1])
            return 200, {"ttl_ms": self.leases[n][1]}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def serve(self, r, w):
        try:
            line, fields = await read_head(r)
            body = await read_body(r, fields)
            if w.get_extra_info("peername")[0] in self.silent_ips:
                await asyncio.sleep(60)
            status, out = await self.answer(line, body)
            await asyncio.sleep(0.004)
            text = json.dumps(out).encode()
            w.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                    b"Connection: close\r\n\r\n" % (status, len(text)) + text)
            await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            w.close()


class Server:
    """A server of a service. serve_request decides what becomes of a request."""

    count = itertools.count(1)

    def __init__(self, store, record, service, ip, slots=6, zone="a", version="v1"):
        self.store, self.record, self.service, self.ip = store, record, service, ip
        self.slots, self.zone, self.version = slots, zone, version
        self.id = "i-%06x%02x" % (random.randrange(1 << 24), next(self.count))
        self.key = "servers/" + self.id
        self.seq = 0
        self.runs = []  # (request id, time)
        self.writers = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.connection, self.ip, port,
                                                   limit=1 << 16)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.seq += 1
        self.store.put(self.key, {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": self.version, "slots": self.slots, "state": state,
            "coldRemainingMs": 0, "sequence": self.seq})

    def crash(self):
        self.listener.close()
        for w in list(self.writers):
            w.transport.abort()

    async def connection(self, r, w):
        self.writers.add(w)
        try:
            while True:
                line, fields = await read_head(r)
                method, target, _ = line.split(" ")
                if target == "/health":
                    await read_body(r, fields)
                    self.send(w, 200, [("X-Instance-Id", self.id)], b"ok")
                elif target == "/-/report":
                    self.send(w, 200, [], json.dumps({
                        "stage": "both", "models": [], "busy": False, "sequence": 1,
                        "queuedRequests": 0, "runningRequests": 0, "kvUsed": 0,
                        "kvTotal": 100000, "handles": 0, "state": "ready",
                        "runs": []}).encode())
                elif fields.get("x-target-instance", self.id) != self.id:
                    await read_body(r, fields)
                    self.send(w, 421, [("X-Instance-Id", self.id)], b"")
                else:
                    await self.serve_request(line, fields, r, w)
                await w.drain()
                if fields.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(w)
            w.close()

    def send(self, w, status, fields, body):
        head = "HTTP/1.1 %d X\r\n" % status
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        w.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)

    def ran(self, fields):
        self.runs.append((fields["x-request-id"], now()))
        self.record.say("run", fields["x-request-id"], "at", self.id)

    def good(self, w, fields, body=b"done"):
        self.send(w, 200, [("X-Request-Id", fields["x-request-id"]),
                           ("X-Response-Signature", "s." + fields["x-request-id"])], body)

    def turn_away(self, w, more=()):
        self.send(w, 503, [("X-Not-Executed", "1")] + list(more), b"")

    async def serve_request(self, line, fields, r, w):
        await read_body(r, fields)
        self.ran(fields)
        self.good(w, fields)


class Entry:
    """One real process, started by the run line of deploy/system.toml."""

    def __init__(self, place, ip, store, seeds, first=True, zone="a", memory_mb=110, more=()):
        self.ip, self.dir = ip, place
        self.front, self.ready = free_port(ip), free_port(ip)
        self.directory, self.starts = free_port(ip), 0
        self.settings = os.path.join(place, "node-%s.conf" % ip)
        self.log = os.path.join(place, "log-%s" % ip)
        peer = seeds["port"]
        lines = {
            "nodeName": "front-" + ip, "role": "saddlehead-entry", "machineClass": "front",
            "serves": "front,control,directory", "ipAddress": ip, "zone": zone, "region": "r",
            "zones.a": "r", "zones.b": "r",
            "listenAddresses.front": "%s:%d" % (ip, self.front),
            "listenAddresses.ready": "%s:%d" % (ip, self.ready),
            "listenAddresses.directory": "%s:%d" % (ip, self.directory),
            "internalPortRange": "%d,%d" % (peer, peer),
            "seedNodes": ",".join("%s:1" % s for s in seeds["ips"]),
            "firstStart": "true" if first else "false", "countsInTolerance": "false",
            "limits.cpuShare": "0.25", "limits.cpuCores": "1", "limits.memoryMb": memory_mb,
            "limits.fileDescriptors": "4100", "limits.linkMbps": "1000.0",
            "discovery": "platform", "entry": "directory", "heartbeatIntervalMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "bounds.seedPropagationS": 3, "bounds.addressReuseS": 2, "bounds.contactMs": 3000,
            "bounds.ackMs": 4000, "bounds.catchUpS": 4, "bounds.drainMs": 2000,
            "bounds.graceS": 8, "bounds.lossSlackMs": 200, "bounds.configApplyMs": 2000,
            "bounds.rollbackSlackMs": 250, "bounds.maxStretchMs": 5000,
            "bounds.failClosed": "true", "bounds.revokeMs": 5000,
            "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
            "bounds.budgetSlack": 54, "bounds.recoveryS": 12, "bounds.pass_ms": 120,
            "bounds.again_s": 4.6, "bounds.ttl_max_s": 5,
            "platform.address": "%s:%d" % (store.ip, store.port), "platform.form": "kv",
            "platform.writes_per_s": 400, "platform.reads_per_s": 2000,
            "platform.historyS": 20, "platform.value_bytes": 1048576,
            "platform.ttl_min_ms": 1000}
        lines.update(dict(more))
        with open(self.settings, "w") as f:
            f.write("".join("%s=%s\n" % i for i in lines.items()))

    def start(self):
        """With the run line of deploy/system.toml. Only the first start is the fleet's first."""
        with open(os.path.join(ROOT, "deploy/system.toml")) as f:
            command = re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split(" ")
        if self.starts:
            with open(self.settings, "a") as f:
                f.write("firstStart=false\n")
        self.starts += 1
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG")
               if k in os.environ}
        env["SADDLEHEAD_NODE_FILE"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)

    def status(self):
        """None while it runs, else as subprocess tells it."""
        return self.process.poll()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def rss_mb(self, name="VmRSS"):
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith(name + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def until_ready(self, s=8):
        end = now() + s
        while now() < end:
            try:
                a = await request(self.ip, self.ready, "GET", "/-/readiness", {}, timeout=1)
                if a["status"] == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


async def request(ip, port, method, target, fields, body=b"", timeout=10):
    """One request on a connection of its own. status 0: the connection ended without a whole
    answer; -1: none came in time."""
    out = {"status": 0, "fields": {}, "body": b"", "whole": False}
    w = None

    async def exchange():
        nonlocal w
        r, w = await asyncio.open_connection(ip, port, limit=1 << 20)
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        w.write(head.encode() + b"\r\n" + body)
        await w.drain()
        line, out["fields"] = await read_head(r)
        out["status"] = int(line.split(" ")[1])
        if out["fields"].get("transfer-encoding") == "chunked":
            while True:
                n = int((await r.readline()).split(b";")[0], 16)
                part = await r.readexactly(n + 2)
                if not n:
                    break
                out["body"] += part[:-2]
        else:
            out["body"] = await r.readexactly(int(out["fields"].get("content-length", 0)))
        out["whole"] = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        if not out["whole"]:
            out["status"] = -1
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        if not out["whole"]:
            out["status"] = 0
    finally:
        if w:
            w.close()
    return out


ids = itertools.count(1)


async def ask(record, entry, path, host="app.example", key="key-1", method="POST",
              deadline_ms=600, body=b"", more=(), say=True):
    """A caller's attempt."""
    name = "%08x%04x" % (random.randrange(1 << 32), next(ids))
    fields = {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms),
              "X-Credential": key}
    fields.update(dict(more))
    if say:
        record.say("sent", name, method, path, "%d bytes" % len(body))
    try:
        a = await request(entry.ip, entry.front, method, path, fields, body,
                          deadline_ms / 1000 + 1)
    except OSError:
        a = {"status": 0, "fields": {}, "body": b"", "whole": False}
    a["id"] = name
    if say:
        record.say("answered", name, a["status"])
    return a


def route(name, path, kind, service, attempts=1, timeout=600, aim=100, priority=2, **more):
    r = {"name": name, "host": "app.example", "pathPrefix": path, "kind": kind,
         "timeoutMs": timeout, "targetLatencyMs": aim, "priority": priority,
         "service": service, "maxAttempts": attempts, "public": False,
         "stickySessions": False, "streamResumption": False}
    r.update(more)
    return r


def configuration(version, routes, services, tenants=None, body_bytes=4194304):
    return {"version": version, "routes": routes,
            "services": [s if isinstance(s, dict) else
                         {"name": s, "healthCheckPath": "/health", "maxConnections": 100,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]}


class Scene:
    """A temporary folder, the store and the entries of one case."""

    def __init__(self, case):
        self.folder = os.path.dirname(os.path.abspath(case))
        self.record = Record(os.path.join(self.folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.place = tempfile.mkdtemp(prefix="saddlehead-review-")
        self.net = "127.%d.%d." % (random.randrange(10, 250), random.randrange(1, 250))
        self.entries, self.servers = [], []

    def ip(self, host):
        return self.net + str(host)

    async def start_store(self):
        self.store = Store(self.ip(200))
        await self.store.start()

    def add_entries(self, n, **more):
        seeds = {"ips": [self.ip(i + 1) for i in range(min(n, 3))],
                 "port": free_port(self.ip(1))}
        self.started = now()
        for i in range(n):
            e = Entry(self.place, self.ip(i + 1), self.store, seeds, **more)
            self.entries.append(e)
            e.start()

    async def ready(self):
        for e in self.entries:
            if not await e.until_ready():
                self.record.say("not ready:", e.ip)
                return False
        await asyncio.sleep(max(0, self.started + LEAD_S - now()))
        return True

    def end(self):
        for e in self.entries:
            e.end()
        if os.environ.get("KEEP"):
            print("kept:", self.place)
        else:
            shutil.rmtree(self.place, ignore_errors=True)


def play(case, main):
    """Runs main(scene), which returns 0 (held), 1 (broken) or 2 (could not run)."""

    async def whole():
        scene = Scene(case)
        try:
            await scene.start_store()
            return await asyncio.wait_for(main(scene), 116)
        finally:
            scene.end()

    async def quiet():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda loop, context: None)
        for sig in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(sig, task.cancel)
        return await whole()

    try:
        code = asyncio.run(quiet())
    except (Exception, asyncio.CancelledError) as e:  # the case itself failed, or was stopped
        print("could not run: %r" % e)
        if os.environ.get("KEEP"):
            raise
        code = 2
    os._exit(code)
