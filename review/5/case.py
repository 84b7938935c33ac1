"""REFUSED: connections to engines fall silent for good, before their streams' first events, and
one engine of seven hangs a part of its requests. Streams that may not be repeated are moved with
their memory, and some end with 503 though their first engines have run them."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand2 import *

ENGINES, EPISODES, EPISODE_S = 7, 22, 4.2
STREAMS = 7              # of an episode
SILENT_X = 0.5           # of the open connections to engines
GREY_X, GREY_S = 0.4, 3  # the engine that hangs: part of its requests, for how long
TIMEOUT_MS, AIM_MS, DEADLINE_MS = 39000, 1500, (2000, 3500)
PROMPT, EVENTS, EVENT_S, PREFILL_S = 3000, 60, 0.036, 0.215  # 14 tokens a ms, 4 an event of 9 ms
REPORT_LAG_S = 0.4
KV_BYTES, LINK_MBPS = 131072, 19000.0
by_address = {}


class Run:
    def __init__(self, name, made):
        self.name, self.made, self.stopped, self.times = name, made, False, []

    def event(self):
        self.made += 1
        self.times.append((now(), self.made))

    def made_at(self, t):
        return max([n for at, n in self.times if at <= t], default=0)


class Engine(Server):
    def __init__(self, *a, **k):
        super().__init__(*a, **k)
        self.grey_until = 0
        self.working = {}  # id -> Run
        self.kept = {}     # handle -> (id, events made), each serves once
        self.silent = set()  # connections that carry nothing any more
        self.waiting = {}    # connection -> id, while its stream has no event

    async def serve_request(self, line, fields, r, w):
        method, target, _ = line.split(" ")
        body = await read_body(r, fields)
        if target == "/-/kv-move":
            await self.move(json.loads(body), w)
        elif target.startswith("/-/kv-handle/"):
            self.kept.pop(target.rsplit("/", 1)[1], None)
            self.send(w, 200, [], b"{}")
        else:
            await self.stream(fields, r, w)

    async def connection(self, r, w):
        try:
            await super().connection(r, w)
        finally:
            self.silent.discard(w)

    def report(self):
        t = now() - REPORT_LAG_S
        runs = [[x.name, PROMPT + 4 * x.made_at(t), x.made_at(t), 5]
                for x in self.working.values() if not x.stopped]
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 1, "queuedRequests": 0, "runningRequests": len(runs),
                "kvUsed": PROMPT * len(runs), "kvTotal": 34414, "handles": len(self.kept),
                "state": "ready", "nextPageToken": 0, "runs": runs}

    async def move(self, o, w):
        run, at = self.working.get(o["id"]), by_address.get(o["targetVersion"])
        if not run or not at:
            self.send(w, 404, [], b"{}")
            return
        if o.get("last"):
            run.stopped = True
        tokens = 200 if o.get("last") else PROMPT + 4 * run.made
        await asyncio.sleep(tokens * KV_BYTES * 8 / (LINK_MBPS * 1e6))
        handle = "h%08x" % random.randrange(1 << 32)
        if o.get("last"):
            at.kept[handle] = self.kept[handle] = (run.name, run.made)
            handle_of[run.name] = handle
        else:
            handle = handle_of.setdefault(run.name, handle)
            at.kept[handle] = (run.name, run.made)
        self.record.say("copied", run.name, "from", self.id, "to", at.id,
                        "stopped" if o.get("last") else "running", "made", run.made)
        self.send(w, 200, [], json.dumps({"handle": handle, "made": run.made}).encode())

    async def stream(self, fields, r, w):
        name = fields["x-request-id"]
        made, begin_s = 0, PREFILL_S
        if "kv-from" in fields:
            handle = fields["kv-from"].rsplit("/", 1)[1]
            if self.kept.get(handle, ("",))[0] != name:
                self.record.say("no copy for", name, "at", self.id)
                self.turn_away(w)
                return
            made, begin_s = int(fields.get("last-event-id", "0")), 0.015
            del self.kept[handle]
        if now() < self.grey_until and random.random() < GREY_X:
            self.record.say("hangs:", name, "at", self.id)
            await r.read(1)  # until the other side closes
            return
        run = Run(name, made)
        self.waiting[w] = name
        gone = asyncio.ensure_future(r.read(1))
        try:
            await asyncio.sleep(begin_s)
            if gone.done():
                return
            self.working[name] = run
            self.ran(fields)
            head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"
                    "X-Response-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n"
                    % (name, name)).encode()
            self.put(w, head)
            while run.made < EVENTS and not run.stopped and not gone.done():
                run.event()
                e = b"id: %d\ndata: %s.%d\n\n" % (run.made, name.encode(), run.made)
                self.put(w, b"%x\r\n%s\r\n" % (len(e), e))
                self.waiting.pop(w, None)
                await asyncio.sleep(EVENT_S)
            if run.made >= EVENTS:
                self.put(w, b"0\r\n\r\n")
            elif run.stopped and w not in self.silent:
                w.transport.abort()
            while w in self.silent and not gone.done():
                await asyncio.sleep(0.05)  # nothing arrives, nothing is closed
        finally:
            gone.cancel()
            self.waiting.pop(w, None)
            if self.working.get(name) is run:
                del self.working[name]

    def put(self, w, data):
        if w not in self.silent:
            w.write(data)


handle_of = {}


def make_silent(engines):
    """Half of the open connections to engines, those of streams without an event."""
    for x in engines:
        for w, name in list(x.waiting.items()):
            if random.random() < SILENT_X:
                x.silent.add(w)
                x.record.say("silent from now on: the connection of", name, "to", x.id)


async def reports(x):
    """Reports have their own answer in each engine."""
    send = x.send

    def answer(w, status, fields, body):
        if body.startswith(b'{"stage"'):
            body = json.dumps(x.report()).encode()
        send(w, status, fields, body)
    x.send = answer


async def main(s):
    for i in range(ENGINES):
        x = Engine(s.store, s.record, "llm", s.ip(210 + i), slots=48)
        await x.start()
        await reports(x)
        by_address["%s:%d" % (x.ip, x.port)] = x
        x.entry()
        s.servers.append(x)
    llm = {"name": "llm", "healthCheckPath": "/health", "maxConnections": 372, "protocol": "h1",
           "tls": False, "engine": {
               "slots": 48, "kvCacheTokens": 34414, "kvTokenBytes": KV_BYTES,
               "linkMbps": LINK_MBPS, "moves": True, "backups": False, "stride": 4, "most": 12,
               "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}}
    s.store.put("op/config", configuration(1, [
        route("chat", "/chat/", "streaming", "llm", 1, timeout=TIMEOUT_MS, aim=AIM_MS,
              priority=1, gap_aim_ms=180)], [llm]))
    s.add_entries(1)
    if not await s.ready():
        return 2
    await asyncio.sleep(2)
    calls = []
    for n in range(EPISODES):
        began, batch = now(), []
        for i in range(STREAMS):
            batch.append(asyncio.ensure_future(ask(
                s.record, s.entries[0], "/chat/1", deadline_ms=random.randint(*DEADLINE_MS), body=b"p" * 2600, more={
                    "X-Model": "m", "X-Token-Usage": "%d,160" % PROMPT,
                    "X-Prompt-Prefix": "aa%02x:47,%06x:%d" % (
                        i, random.randrange(1 << 24), PROMPT - 47)})))
            await asyncio.sleep(0.01)
        calls += batch
        await asyncio.sleep(0.05)
        if s.trouble:
            make_silent(s.servers)
            grey = random.choice(s.servers)
            await asyncio.sleep(1)
            grey.grey_until = now() + GREY_S
            s.record.say("hangs some requests for %d s: %s" % (GREY_S, grey.id))
        await asyncio.gather(*batch)
        await asyncio.sleep(max(0.5, began + EPISODE_S - now()) if s.trouble else 0.5)
    run = {i for x in s.servers for i, _ in x.runs}
    answers = [c.result() for c in calls]
    statuses = {}
    for a in answers:
        k = "%s%s" % (a["status"], "" if a["whole"] else " broken off")
        statuses[k] = statuses.get(k, 0) + 1
    if not statuses.get("200"):
        return 2
    refused = [a["id"] for a in answers if a["status"] in (429, 503, 408, 421) and a["id"] in run]
    print("answers: %s" % statuses)
    print("refused with a promise, and run: %d of %d" % (len(refused), len(answers)))
    s.record.say("refused though they ran:", *refused)
    return 1 if refused else 0

play(__file__, main)
