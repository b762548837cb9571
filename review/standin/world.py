"""Stand-ins for the platform, the model servers, the plain servers and the clients.

Written after PROTOCOL.md and DEPLOY.md: the table store, servers with their stages, orders, handles
and heartbeats, and clients that connect to the daemons. All addresses are loopback addresses. A case
imports this module, starts daemons with the deploy file's command, and records what was seen.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
BOUNDS = {
    "drainMs": 2000, "graceS": 8, "leaseMs": 3000, "ttl_max_s": 5, "retryBudgetRatio": 0.2,
    "retryBudgetExtra": 58, "retryWindowS": 10, "contactMs": 3000, "configApplyMs": 2000,
}
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_address():
    """Returns an unused loopback address outside the range of ephemeral ports."""
    for _ in range(200):
        host = "127.%d.%d.%d" % (random.randint(1, 250), random.randint(0, 250), random.randint(1, 250))
        port = random.randint(18000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return host, port
            except OSError:
                continue
    raise RuntimeError("no free address")


def new_id():
    return "%016x" % random.getrandbits(64)


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


class Head:
    """The head of an HTTP message. Header names are compared without case, as HTTP demands."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return ""


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            fields.append((key, value.strip()))
    return Head(lines[0], fields)


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(head.get("Content-Length") or 0))


def answer(status, fields=(), body=b""):
    names = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
             412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    text = "HTTP/1.1 %d %s\r\n" % (status, names.get(status, "Status"))
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Listener:
    """An HTTP/1.1 server on a loopback address. handle(head, body, reader, writer) answers one call and
    returns whether the connection stays open."""

    def __init__(self, handle):
        self.handle = handle
        self.host, self.port = free_address()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listener and all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's table store. busy_until answers 503 until a moment: nothing is done then."""

    CALL_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.busy_until = 0.0
        self.listener = Listener(self.handle)

    async def write(self, table, key, value, deleted=False):
        async with self.changed:
            self.put(table, key, value, deleted)
            self.changed.notify_all()

    async def put_json(self, table, key, value):
        await self.write(table, key, json.dumps(value).encode())

    def put(self, table, key, value, deleted=False):
        self.version += 1
        self.rows[(table, key)] = (self.version, value, deleted)

    def row(self, table, key):
        version, value, deleted = self.rows.get((table, key), (0, b"", True))
        return {"table": table, "part": "", "key": key, "rowVersion": version, "deleted": deleted,
                "value": base64.b64encode(value).decode()}

    def respond(self, writer, status, content):
        body = json.dumps(content).encode()
        writer.write(answer(status, [("Content-Type", "application/json"), ("Store-Era", "1")], body))

    async def listener_for(self, network, daemon_name):
        """Starts an address of the store for one daemon, whose path to it can be cut, and whose paths to other
        daemons lead over links that can be cut."""

        async def handle(head, body, reader, writer):
            if network.cut_off(daemon_name):
                await network.healed.wait()
                return False
            captured = Captured(writer)
            await self.handle(head, body, reader, captured)
            if network.cut_off(daemon_name):
                await network.healed.wait()
                return False
            writer.write(await network.with_links(daemon_name, head, captured.written))
            await writer.drain()
            return True

        listener = Listener(handle)
        await listener.start()
        return listener

    async def handle(self, head, body, reader, writer):
        await asyncio.sleep(self.CALL_S)
        method, target, _ = head.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if time.monotonic() < self.busy_until:
            self.respond(writer, 503, {"error": "busy"})
        elif path == "/api/rows-get":
            self.get(writer, query)
        elif path == "/api/rows-feed":
            await self.feed(writer, query)
        elif path == "/api/rows-tx":
            await self.transact(writer, json.loads(body))
        else:
            self.respond(writer, 404, {"error": "no such call"})
        await writer.drain()
        return True

    def get(self, writer, query):
        start, end, limit = query.get("from", ""), query.get("to", ""), int(query.get("limit") or 500)
        keys = sorted(key for (table, key), (_, _, deleted) in self.rows.items()
                      if table == query["table"] and not deleted and key >= start and (not end or key < end))
        rows = [self.row(query["table"], key) for key in keys[:limit]]
        for row in rows:
            del row["deleted"]
        self.respond(writer, 200, {"rows": rows, "hasMore": len(keys) > limit, "rowVersion": self.version, "nowMs": now_ms()})

    async def feed(self, writer, query):
        after, deadline = int(query.get("after") or 0), time.monotonic() + int(query.get("waitMs") or 0) / 1000
        async with self.changed:
            while True:
                changed = sorted((version, key) for (table, key), (version, _, _) in self.rows.items()
                                 if table == query["table"] and version > after)
                left = deadline - time.monotonic()
                if changed or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = [self.row(query["table"], key) for _, key in changed]
        self.respond(writer, 200, {"rows": rows, "rowVersion": self.version, "nowMs": now_ms()})

    async def transact(self, writer, call):
        async with self.changed:
            current = [self.row(row["table"], row["key"]) for row in call.get("expected", [])]
            for row in current:
                row["rowVersion"] = 0 if row["deleted"] else row["rowVersion"]
            if any(have["rowVersion"] != want.get("rowVersion", 0) for have, want in zip(current, call.get("expected", []))):
                rows = [row for row in current if not row["deleted"]]
                self.respond(writer, 412, {"rows": rows, "rowVersion": self.version, "nowMs": now_ms()})
                return
            for row in call.get("put", []):
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("remove", []):
                self.put(row["table"], row["key"], b"", deleted=True)
            self.changed.notify_all()
            self.respond(writer, 200, {"rows": [], "rowVersion": self.version, "nowMs": now_ms()})


class Captured:
    """Keeps what a handler writes."""

    def __init__(self, writer):
        self.writer, self.written = writer, b""

    def write(self, content):
        self.written += content

    async def drain(self):
        pass


class Network:
    """The network between daemons: a link for each pair, which a partition cuts. A daemon learns the addresses of
    the others from the store, and there gets those of its links. While a link is cut, it delivers nothing."""

    def __init__(self, record):
        self.record, self.links, self.apart = record, {}, frozenset()
        self.healed = asyncio.Event()
        self.healed.set()
        self.open = asyncio.Event()

    def cut_off(self, name):
        return name in self.apart

    def is_cut(self, one, other):
        return (one in self.apart) != (other in self.apart)

    def split(self, names):
        self.record.line("partition: %s are cut off from the store and from the other daemons" % ", ".join(sorted(names)))
        self.apart = frozenset(names)
        self.healed.clear()

    def heal(self):
        self.record.line("the partition heals")
        self.apart = frozenset()
        self.healed.set()

    async def with_links(self, viewer, head, response):
        """Replaces the addresses of other daemons in a read of their rows by those of the viewer's links."""
        if "table=daemons" not in head.first or "rows-get" not in head.first:
            return response
        start, _, body = response.partition(b"\r\n\r\n")
        content = json.loads(body)
        for row in content.get("rows", []):
            value = json.loads(base64.b64decode(row["value"]))
            if value["name"] != viewer:
                value["peer"] = await self.link(viewer, value["name"], value["peer"])
                row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        return answer(200, [("Content-Type", "application/json"), ("Store-Era", "1")], json.dumps(content).encode())

    async def link(self, source, target, address):
        if (source, target) not in self.links:
            host, port = free_address()
            self.links[source, target] = "%s:%d" % (host, port)

            async def accept(reader, writer):
                await self.open.wait()
                await self.healed.wait() if self.is_cut(source, target) else None
                target_host, target_port = address.split(":")
                try:
                    to_reader, to_writer = await asyncio.open_connection(target_host, int(target_port))
                except OSError:
                    writer.close()
                    return
                await asyncio.gather(self.pump(source, target, reader, to_writer), self.pump(source, target, to_reader, writer))

            await asyncio.start_server(accept, host, port)
        return self.links[source, target]

    async def pump(self, source, target, reader, writer):
        try:
            while content := await reader.read(65536):
                if self.is_cut(source, target):
                    await self.healed.wait()
                writer.write(content)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


def now_ms():
    return int(time.monotonic() * 1000)


class Server:
    """A server of a service. Model servers have a stage, plain servers have none."""

    def __init__(self, world, server_id, service, stage="", version="v1", zone="zone-a", slots=32):
        self.world, self.id, self.service, self.stage, self.version = world, server_id, service, stage, version
        self.zone, self.slots = zone, slots
        self.events, self.event_interval, self.work_s = 20, 0.1, 0.03
        self.born, self.beats, self.orders_accepted, self.busy = int(time.time() * 1000), 0, 0, False
        self.handles, self.state, self.listed, self.alive = {}, "ready", True, True
        # order_fault(order) returns "late" for an order that gets no answer and is carried out later.
        self.order_fault = lambda order: ""
        self.orders = []
        self.runs = []
        self.listener = Listener(self.handle)

    async def start(self):
        await self.listener.start()
        await self.beat()
        self.world.tasks.append(asyncio.create_task(self.keep_beating()))

    async def beat(self):
        self.beats += 1
        entry = {"service": self.service, "address": self.listener.address, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "seq": self.beats, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await self.world.store.put_json("servers", self.id, entry)

    async def keep_beating(self):
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive and self.listed:
                await self.beat()

    async def unlist(self):
        """Removes the server's entry. It goes on serving."""
        self.listed = False
        await self.world.store.write("servers", self.id, b"", deleted=True)

    def stop(self):
        self.alive = False
        self.listener.stop()

    def common(self, head):
        fields = [("Request-Id", head.get("Request-Id"))] if head.get("Request-Id") else []
        if self.stage:
            fields.append(("Weight-Versions", "1"))
        return fields

    async def handle(self, head, body, reader, writer):
        method, target, _ = head.first.split(" ")
        expected = head.get("Expected-Instance")
        if expected and expected != self.id:
            writer.write(answer(421, self.common(head) + [("Instance-Id", self.id)]))
            return True
        if target == "/api/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": self.busy,
                      "seq": self.orders_accepted, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 232000,
                      "kvHandles": len(self.handles), "born": self.born}
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return True
        if target == "/api/order":
            return await self.take_order(json.loads(body), writer)
        if target.startswith("/api/kv-handle/"):
            self.handles.pop(target.rsplit("/", 1)[1], None)
            writer.write(answer(200))
            return True
        if target == "/healthz":
            writer.write(answer(200, [("Instance-Id", self.id)]))
            return True
        if not head.get("Request-Id"):
            writer.write(answer(400, [("Not-Executed", "1")]))
            return True
        if not self.stage:
            return await self.run_plain(head, body, reader, writer)
        return await self.run_model(head, reader, writer)

    async def take_order(self, order, writer):
        fault = self.order_fault(order)
        self.orders.append((self.world.record.now(), order, fault))
        self.world.record.line("server %s gets an order: stage %s, holder %s, fencingToken %s, expected %s%s" % (
            self.id, order.get("stage"), order.get("holder"), order.get("fencingToken"), order.get("expected"),
            ", which gets no answer and is carried out 5 s later" if fault == "late" else ""))
        if fault == "late":
            self.world.tasks.append(asyncio.create_task(self.carry_out_late(order)))
            await asyncio.sleep(15)
            return False
        if self.busy or order.get("expected", self.orders_accepted) != self.orders_accepted:
            writer.write(answer(409))
            return True
        self.accept(order)
        writer.write(answer(202))
        return True

    def accept(self, order):
        self.orders_accepted += 1
        self.busy = True
        self.world.tasks.append(asyncio.create_task(self.change_stage(order["stage"])))

    async def carry_out_late(self, order):
        await asyncio.sleep(5)
        if not self.busy and order.get("expected", self.orders_accepted) == self.orders_accepted:
            self.world.record.line("server %s carries out the late order of %s" % (self.id, order.get("holder")))
            self.accept(order)

    async def change_stage(self, stage):
        await asyncio.sleep(3)
        self.stage, self.busy = stage, False
        await self.beat()

    async def run_plain(self, head, body, reader, writer):
        request = head.get("Request-Id")
        self.runs.append((self.world.record.now(), request, ""))
        self.world.record.line("server %s runs %s" % (self.id, request))
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, self.common(head) + [("Response-Seal", "seal." + self.id)], ("ran " + request).encode()))
        return True

    async def run_model(self, head, reader, writer):
        request = head.get("Request-Id")
        wants_prefill = head.get("Stage") == "prefill"
        if wants_prefill != (self.stage == "prefill"):
            writer.write(answer(421, self.common(head) + [("Instance-Id", self.id)]))
            return True
        if self.busy:
            writer.write(answer(503, self.common(head) + [("Not-Executed", "1")]))
            return True
        if wants_prefill:
            await asyncio.sleep(0.01)
            handle = new_id()[:12]
            self.handles[handle] = request
            tokens = int((head.get("Token-Count") or "0").split(",")[0])
            body = json.dumps({"kvHandle": handle, "tokens": tokens, "version": 1}).encode()
            writer.write(answer(200, self.common(head) + [("Content-Type", "application/json")], body))
            return True
        source = head.get("Kv-Source")
        if source:
            address, _, handle = source.partition("/")
            holder = self.world.server_at(address)
            if holder is None or holder.handles.pop(handle, None) is None:
                writer.write(answer(503, self.common(head) + [("Not-Executed", "1")]))
                return True
        return await self.stream(head, reader, writer)

    async def stream(self, head, reader, writer):
        request, after = head.get("Request-Id"), int(head.get("Last-Event-Id") or 0)
        self.runs.append((self.world.record.now(), request, head.get("Last-Event-Id")))
        self.world.record.line("server %s (version %s) runs %s%s" % (
            self.id, self.version, request, " after event %d" % after if after else ""))
        fields = self.common(head) + [("Response-Seal", "seal." + self.id), ("Content-Type", "text/event-stream"),
                                      ("Transfer-Encoding", "chunked")]
        text = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n"
        for event in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_interval)
            if reader.at_eof() or not self.alive:
                return False
            # The data names the run, the server and its version, so that a client sees what it got.
            piece = "id: %d\ndata: %s %s %s\n\n" % (event, event, self.id, self.version)
            writer.write(text.encode() + b"%x\r\n%s\r\n" % (len(piece), piece.encode()))
            text = ""
            await writer.drain()
        writer.write(text.encode() + b"0\r\n\r\n")
        await writer.drain()
        return True


class Daemon:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, world, name, zone, store_address):
        self.world, self.name, self.zone, self.process = world, name, zone, None
        self.started_at = 0.0
        host, _ = free_address()
        ports = random.sample(range(18000, 31000), 5)
        self.settings = {
            "nodeName": name, "zone": zone, "region": "region-a", "ip": host,
            "listen": {"frontend": "%s:%d" % (host, ports[0]), "readiness": "%s:%d" % (host, ports[1]),
                       "directory": "%s:%d" % (host, ports[2])},
            "portRange": [ports[3], ports[4]],
            "platform": {"address": store_address, "writesPerS": 400, "readsPerS": 2000},
            "limits": {"memoryMb": 414, "maxFds": 6150}, "bounds": BOUNDS,
        }
        self.path = os.path.join(world.directory, name + ".settings")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(render(self.settings))

    @property
    def entry(self):
        host, port = self.settings["listen"]["frontend"].split(":")
        return host, int(port)

    def start(self):
        command = deploy_command(self.path)
        log = open(os.path.join(self.world.directory, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LACEWINGTIDE_BOOT": self.path}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.started_at = self.world.record.now()
        self.world.record.line("daemon %s starts" % self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.world.record.line("daemon %s gets signal %d" % (self.name, number))
            self.process.send_signal(number)

    async def ready(self):
        host, port = self.settings["listen"]["readiness"].split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(("GET /api/readyz HTTP/1.1\r\nHost: %s\r\n\r\n" % host).encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log(self):
        with open(os.path.join(self.world.directory, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def deploy_command(settings_path):
    """Returns the run command of the deploy file with the path of the settings file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                words = line.split("=", 1)[1].strip().strip('"').split(" ")
                return [settings_path if word == "/etc/lacewingtide/settings.yaml" else word for word in words]
    raise RuntimeError("the deploy file has no run command")


def render(settings):
    """Fills in the deploy file's template of the settings."""
    with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as file:
        text = file.read()
    while "{{" in text:
        before, _, rest = text.partition("{{")
        name, _, after = rest.partition("}}")
        name, _, form = name.partition("|")
        value = settings
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        text = before + (json.dumps(value) if form == "json" else str(value)) + after
    return text


class World:
    """A small deployment: the store, servers and daemons."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = self.temporary.name
        self.tasks, self.servers, self.daemons = [], {}, []
        self.store = Store(self.record)
        self.routes = []

    async def start_store(self):
        await self.store.listener.start()

    async def add_server(self, *arguments, **options):
        server = Server(self, *arguments, **options)
        self.servers[server.id] = server
        await server.start()
        return server

    def server_at(self, address):
        for server in self.servers.values():
            if server.listener.address == address and server.alive:
                return server
        return None

    async def configure(self, routes, services, version=7):
        await self.store.put_json("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        })

    def add_daemons(self, count):
        zones = ["zone-a", "zone-a", "zone-b", "zone-c"]
        for number in range(count):
            zone = zones[number % 4]
            self.daemons.append(Daemon(self, "edge-%s-%d" % (zone, number + 1), zone, self.store.listener.address))

    async def add_daemons_with_network(self, count):
        """Adds daemons that reach each other and the store over paths that a partition cuts."""
        self.network = Network(self.record)
        zones = ["zone-a", "zone-a", "zone-b", "zone-c"]
        for number in range(count):
            zone = zones[number % 4]
            name = "edge-%s-%d" % (zone, number + 1)
            listener = await self.store.listener_for(self.network, name)
            self.daemons.append(Daemon(self, name, zone, listener.address))

    async def until_ready(self, daemons, limit_s=10):
        deadline = time.monotonic() + limit_s
        for daemon in daemons:
            while not await daemon.ready():
                if time.monotonic() > deadline:
                    raise CannotRun("daemon %s is not ready after %d s\n%s" % (daemon.name, limit_s, daemon.log()[-2000:]))
                await asyncio.sleep(0.05)

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for daemon in self.daemons:
                with open(os.path.join(keep, daemon.name + ".log"), "w", encoding="utf-8") as file:
                    file.write(daemon.log())
        for server in self.servers.values():
            server.stop()
        self.store.listener.stop()
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case couldn't run."""


def service_model(name="huvo11a"):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 250, "protocol": "h1", "tls": False,
            "engine": {"slots": 32, "kvCapacity": 232000, "kvBytes": 327680, "linkMbps": 8800000.0, "moves": True,
                       "backups": True, "stride": 51, "most": 12, "kvRetentionS": 5.0, "stageSwitchS": 3.0, "pinMs": 4000.0,
                       "holdMs": 2000.0, "models": [{"name": "m"}]}}


def route_chat(service="huvo11a"):
    return {"name": "r-chat", "host": HOST, "prefix": "/pufi791/", "type": "streaming", "timeoutMs": 15000,
            "targetLatencyMs": 120, "priority": 1, "service": service, "maxAttempts": 2, "sticky": True, "resumable": True,
            "targetItlMs": 150}


class Attempt:
    """One client attempt and what it got."""

    def __init__(self, request_id):
        self.id, self.status, self.events, self.complete, self.broken = request_id, 0, [], False, ""
        self.retry_after, self.sent_at, self.daemon = 0.0, 0.0, ""


async def resolve(world):
    """Asks up to three daemons where to connect, as a client does. Returns the daemons that they name."""
    for daemon in random.sample(world.daemons, min(3, len(world.daemons))):
        host, port = daemon.settings["listen"]["directory"].split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(("GET /api/resolve?name=%s&region=region-a&zone=zone-a HTTP/1.1\r\nHost: %s\r\n\r\n" % (HOST, host)).encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            body = await asyncio.wait_for(read_body(reader, head), 1)
            writer.close()
            addresses = json.loads(body).get("addresses", []) if " 200 " in head.first else []
            named = [daemon for daemon in world.daemons if "%s:%d" % daemon.entry in addresses]
            if named:
                return named
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            continue
    return []


async def attempt_stream(world, daemon, path, fields=(), resumes="", last_event="", deadline_s=15.0, drop=None,
                         resume_header="Last-Event-Id"):
    """Sends one client attempt of a chat to a daemon and reads its stream. drop is an event: when it is
    set, the client's connection breaks."""
    attempt = Attempt(new_id())
    attempt.sent_at, attempt.daemon = world.record.now(), daemon.name
    text = "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 140,200\r\n" % (path, HOST, attempt.id)
    text += "Prefix-Hash: %s:47,%s:93\r\nDeadline-Ms: %d\r\n" % (new_id()[:8], new_id()[:8], int(deadline_s * 1000))
    if last_event:
        text += "%s: %s\r\nResumes: %s\r\n" % (resume_header, last_event, resumes)
    text += "".join("%s: %s\r\n" % field for field in fields) + "Content-Length: 2\r\n\r\nhi"
    world.record.line("client sends %s to %s%s" % (
        attempt.id, daemon.name, ", resumes %s after event %s" % (resumes, last_event) if last_event else ""))
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*daemon.entry), 1)
        writer.write(text.encode())
        reading = asyncio.create_task(read_stream(reader, attempt))
        waits = {reading} | ({asyncio.create_task(drop.wait())} if drop else set())
        await asyncio.wait(waits, timeout=deadline_s + 1, return_when=asyncio.FIRST_COMPLETED)
        if not reading.done():
            reading.cancel()
            attempt.broken = "dropped by the client" if drop and drop.is_set() else "deadline"
        else:
            reading.result()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        attempt.broken = attempt.broken or type(error).__name__
    if writer:
        writer.close()
    world.record.line("client got for %s: status %d, events %s, %s" % (
        attempt.id, attempt.status, describe(attempt.events), "complete" if attempt.complete else "broken: " + attempt.broken))
    return attempt


async def read_stream(reader, attempt):
    head = await read_head(reader)
    attempt.status = int(head.first.split(" ")[1])
    attempt.retry_after = float(head.get("Retry-After") or 0)
    if attempt.status != 200 or not head.get("Response-Seal"):
        await read_body(reader, head)
        attempt.complete = True
        return
    pending = ""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            attempt.complete = True
            return
        pending += part[:-2].decode()
        while "\n\n" in pending:
            event, _, pending = pending.partition("\n\n")
            values = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
            number, server, version = values["data"].split(" ")
            attempt.events.append((int(values["id"]), server, version))


def describe(events):
    if not events:
        return "none"
    return "%d..%d from %s" % (events[0][0], events[-1][0], ",".join(sorted({"%s/%s" % event[1:] for event in events})))


def run_case(case, limit_s=110):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record_path = os.environ["RECORD"]
    code = 2
    world = None

    async def main():
        nonlocal world
        world = World(record_path)
        world.record.line("TROUBLE=%d" % TROUBLE)
        await world.start_store()
        return await asyncio.wait_for(case(world), limit_s)

    loop = asyncio.new_event_loop()
    try:
        broken, text = loop.run_until_complete(main())
        code = 1 if broken else 0
        world.record.line(("BROKEN: " if broken else "HELD: ") + text)
        print(("broken: " if broken else "held: ") + text)
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("could not run: %s" % error)
        if world:
            world.record.line("COULD NOT RUN: %s" % error)
    finally:
        if world:
            world.stop()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    os._exit(code)
