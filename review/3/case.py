"""Streams whose connections to engines fall silent, while one engine fails part of its requests.

Each stream may be resumed. What goes on elsewhere must be events, or the connection must break.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand

ENGINES = 7                 # one of them (0.143; srv_grey: share 0.15) fails at a time ...
FAILS = 0.4                 # ... x = 0.4 of its requests with its own 500 ...
GREY_AFTER_S, GREY_S = 0.2, 5.0  # ... for 5 s, from when connections have fallen silent
EVENTS, EVENT_S = 15, 0.1
STREAMS, EACH_S = 1000, 0.025
SILENT_AT_S = (2.0, 12.0, 22.0)  # half of the open connections (reset_conns: x = 0.5)


class Connection:
    silent = False


class Proxy:
    """Passes connections on to an engine. Those that fall silent stay open and carry nothing."""

    def __init__(self, ip, port, to):
        self.ip, self.port, self.to = ip, port, to
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.ip, self.port)

    async def connection(self, reader, writer):
        c = Connection()
        self.open.add(c)
        r, w = await asyncio.open_connection(*self.to)
        try:
            await asyncio.wait({asyncio.create_task(self.pump(reader, w, c)),
                                asyncio.create_task(self.pump(r, writer, c))},
                               return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.open.discard(c)
            w.close()
            writer.close()

    async def pump(self, reader, writer, c):
        try:
            while True:
                part = await reader.read(65536)
                if c.silent:
                    await asyncio.sleep(30)
                    return
                if not part:
                    return
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            pass


def behave(index, grey):
    async def run_it(run, reader, writer):
        server = run.server
        if index in grey and random.random() < FAILS:
            server.net.record("server %s answers %s with its own 500" % (server.id, run.id))
            writer.write(stand.plain(500, server.ok(run), b"internal error\n"))
            return
        last = stand.field(run.fields, "Last-Event-Id")
        run.tokens, run.events = 100 + 4 * int(last or 0), int(last or 0)
        writer.write(stand.head(200, server.ok(run) + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for i in range(int(last or 0) + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            run.tokens, run.events = run.tokens + 4, i
            event = b"id: %d\ndata: piece %d of %s\n\n" % (i, i, run.id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        server.net.record("server %s has sent all of %s" % (server.id, run.id))
    return run_it


async def call(net, entry):
    """Returns what the client saw: complete, broken off, a status, or bytes of no answer."""
    rid = stand.new_id()
    r, w = await asyncio.open_connection(entry.ip, stand.FRONT)
    w.write(stand.request("POST", "/digest/1", rid, 6000, b"q", more=[
        ("X-Model", "m"), ("X-Token-Usage", "100,60"), ("X-Prompt-Prefix", rid[:8] + ":100")]))
    net.record("client sends %s" % rid)
    seen = await answer(net, rid, r)
    net.record("client: %s: %s" % (rid, seen))
    w.close()
    return seen


async def answer(net, rid, r):
    h = await stand.read_head(r)
    if not h:
        return "no answer"
    status = int(h[0].split(" ")[1])
    if status != 200:
        return "status %d" % status
    n = 0
    try:
        while True:
            line = await r.readuntil(b"\r\n")
            try:
                size = int(line, 16)
            except ValueError:
                rest = await r.read(4096)
                net.record("client: %s: after %d events, where a chunk is due, come %r" % (
                    rid, n, line + rest))
                return "bytes that are no answer"
            part = await r.readexactly(size + 2)
            if not size:
                return "complete" if n == EVENTS else "ended after %d events" % n
            n += part.count(b"\n\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return "broken off"


async def main(net, trouble):
    net.store.put("op/config", stand.config(1, [
        stand.route("digest", "streaming", "llm", maxAttempts=2, streamResumption=True,
                    timeoutMs=6000, priority=0)], [stand.service("llm", engine=True)]))
    proxies, grey = [], set()
    for i in range(ENGINES):
        ip = net.take_ip()
        s = await net.server("llm", behave(i, grey),
                             listed="%s:%d" % (ip, stand.SERVER_PORT))
        p = Proxy(ip, stand.SERVER_PORT, (s.ip, stand.SERVER_PORT))
        await p.start()
        proxies.append(p)
    entries = [net.entry("front-%d" % i) for i in (1, 2)]
    for e in entries:
        e.start()
    for e in entries:
        if not await e.until_ready():
            return 2
    await net.until_traffic()
    async def fail_for_a_while(index):
        await asyncio.sleep(GREY_AFTER_S)
        grey.add(index)
        net.record("server %s fails part of its requests" % net.servers[index].id)
        await asyncio.sleep(GREY_S)
        grey.discard(index)

    calls, began, due = [], stand.now(), list(SILENT_AT_S) if trouble else []
    for i in range(STREAMS):
        calls.append(asyncio.create_task(call(net, entries[i % 2])))
        await asyncio.sleep(EACH_S)
        if due and stand.now() - began >= due[0]:
            due.pop(0)
            fails = asyncio.create_task(fail_for_a_while(len(due)))
            streams = [c for p in proxies for c in p.open]
            for c in random.sample(streams, len(streams) // 2):
                c.silent = True
            net.record("%d of %d open connections to engines fall silent" % (
                len(streams) // 2, len(streams)))
    seen = await asyncio.gather(*calls)
    net.record("seen: %r" % {k: seen.count(k) for k in sorted(set(seen))})
    return 1 if "bytes that are no answer" in seen else 0


stand.run(main)
