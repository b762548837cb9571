"""Stand-ins for the platform's store, backend servers and callers, and a launcher of the entry daemon.

Python 3 standard library only. Everything listens on loopback addresses; see ../REPORT-2.md.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Seconds since the script began, on the steady clock."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def line(self, *words):
        with self.lock:
            self.file.write("%9.3f  %s\n" % (now(), " ".join(str(word) for word in words)))


def free_ip():
    """A loopback address of its own, so that fixed ports don't collide."""
    return "127.%d.%d.%d" % (random.randint(1, 254), random.randint(0, 255), random.randint(1, 254))


# --- HTTP ------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in filter(None, query.split("&")):
            name, _, value = pair.partition("=")
            self.query[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), value.replace("+", " "))

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


def read_head(stream):
    line = stream.readline(65537)
    if not line:
        return None, None
    headers = {}
    while True:
        field = stream.readline(65537)
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        if not field:
            raise ConnectionError("head cut off")
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(stream, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = stream.readline(1024)
            if not line:
                raise ConnectionError("body cut off")
            size = int(line.split(b";")[0], 16)
            part = stream.read(size + 2)
            if len(part) < size + 2:
                raise ConnectionError("body cut off")
            if size == 0:
                return body
            body += part[:-2]
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        raise ConnectionError("body cut off")
    return body


class Listener:
    """An HTTP/1.1 server with a thread for each connection. Handle(request, connection) returns False to close."""

    def __init__(self, ip, port, handle):
        self.handle = handle
        self.connections = set()
        self.lock = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(512)
        self.address = "%s:%d" % self.socket.getsockname()
        self.open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                line, headers = read_head(stream)
                if line is None:
                    return
                method, target, _ = line.split(" ", 2)
                body = read_body(stream, headers)
                if self.handle(Request(method, target, headers, body), connection) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
                stream.close()
            except OSError:
                pass

    def close(self):
        self.open = False
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            close_connection(connection)


def close_connection(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    try:
        connection.close()
    except OSError:
        pass


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 404: "Not Found", 503: "Service Unavailable", 500: "Internal Server Error"}


def answer(connection, status, headers=(), body=b""):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    connection.sendall(head.encode("latin-1") + body)


def answer_json(connection, status, content, headers=()):
    answer(connection, status, [("Content-Type", "application/json"), *headers], json.dumps(content).encode())


# --- the platform's store --------------------------------------------------------------------------


class Store:
    """The table store: rows, transactions and the feed of changes. It loses nothing and is linearizable."""

    def __init__(self, delay=0.003):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.delay = delay
        self.listener = Listener(free_ip(), 8142, self.handle)
        self.address = self.listener.address

    def put(self, table, key, content):
        value = base64.b64encode(json.dumps(content).encode()).decode()
        with self.changed:
            self.version += 1
            self.write(table, "", key, value)
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            if (table, "", key) in self.rows and not self.rows[table, "", key].get("deleted"):
                self.version += 1
                self.write(table, "", key, None)
                self.changed.notify_all()

    def write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "rowVersion": self.version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        self.rows[table, part, key] = row

    def row_version(self, table, part, key):
        row = self.rows.get((table, part, key))
        return 0 if row is None or row.get("deleted") else row["rowVersion"]

    def handle(self, request, connection):
        time.sleep(self.delay)
        if request.path == "/api/rows-tx":
            return self.transact(request, connection)
        if request.path == "/api/rows-get":
            return self.get(request, connection)
        if request.path == "/api/rows-feed":
            return self.feed(request, connection)
        answer_json(connection, 404, {})
        return True

    def reply(self, connection, status, rows, **more):
        answer_json(connection, status, dict(rows=rows, rowVersion=self.version, nowMs=int(now() * 1000), **more),
                    [("Store-Era", "1")])
        return True

    def transact(self, request, connection):
        body = json.loads(request.body)
        with self.changed:
            expected = body.get("expected") or []
            fails = [entry for entry in expected
                     if self.row_version(entry["table"], entry.get("part", ""), entry["key"]) != entry.get("rowVersion", 0)]
            if fails:
                current = [self.rows[entry["table"], entry.get("part", ""), entry["key"]] for entry in expected
                           if self.row_version(entry["table"], entry.get("part", ""), entry["key"])]
                return self.reply(connection, 412, current)
            self.version += 1
            for entry in body.get("put") or []:
                self.write(entry["table"], entry.get("part", ""), entry["key"], entry["value"])
            for entry in body.get("remove") or []:
                self.write(entry["table"], entry.get("part", ""), entry["key"], None)
            self.changed.notify_all()
            return self.reply(connection, 200, [])

    def get(self, request, connection):
        query = request.query
        with self.changed:
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query.get("part", "") and not row.get("deleted")
                    and key >= query.get("from", "") and ("to" not in query or key < query["to"])]
            limit = int(query.get("limit", "500"))
            return self.reply(connection, 200, rows[:limit], hasMore=len(rows) > limit)

    def feed(self, request, connection):
        query = request.query
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000

        def changes():
            return sorted((row for (table, _, _), row in self.rows.items()
                           if table == query["table"] and row["rowVersion"] > after), key=lambda row: row["rowVersion"])

        with self.changed:
            rows = changes()
            while not rows and (left := until - time.monotonic()) > 0:
                self.changed.wait(left)
                rows = changes()
            return self.reply(connection, 200, rows, hasMore=False)


# --- backend servers -------------------------------------------------------------------------------


class Server:
    """A backend server. A stage makes it a model engine. Override the methods to add troubles."""

    heartbeat_s = 1.2
    version = "v1"

    def __init__(self, fleet, service, zone, stage="", slots=6, work_s=0.03):
        self.fleet, self.service, self.zone, self.stage, self.slots, self.work_s = fleet, service, zone, stage, slots, work_s
        self.id = "i-%010x" % random.getrandbits(40)
        self.lock = threading.Lock()
        self.seq = self.orders = 0
        self.busy_until = 0.0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.handles = {}
        self.listener = Listener(free_ip(), 8080, self.handle)
        self.address = self.listener.address
        self.alive = True
        self.beating = True
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                 "state": self.state, "coldRemainingMs": 0, "seq": self.seq, "born": self.born}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return entry

    def beat(self):
        time.sleep(random.random() * 0.2)
        while self.alive:
            if self.beating:
                self.publish()
            time.sleep(self.heartbeat_s)

    def publish(self):
        with self.lock:
            self.fleet.store.put("servers", self.id, self.entry())

    def stop(self):
        self.alive = False
        self.listener.close()

    def crash(self, down_s, stage):
        """Ends the server's process and starts it again under its id, with nothing of before and in a stage."""
        self.fleet.record.line("crash", self.id, self.version, self.stage)
        ip, port = self.listener.socket.getsockname()
        self.beating = False
        self.listener.close()

        def back():
            time.sleep(down_s)
            self.stage, self.seq, self.orders, self.busy_until, self.handles = stage, 0, 0, 0.0, {}
            self.born = int(time.time() * 1000)
            self.listener = Listener(ip, port, self.handle)
            self.beating = True
            self.publish()
            self.fleet.record.line("back", self.id, self.version, self.stage)

        threading.Thread(target=back, daemon=True).start()

    def handle(self, request, connection):
        expected = request.header("Expected-Instance")
        if expected and expected != self.id:
            answer(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.header("Request-Id"))])
            return True
        if request.path == "/api/report":
            return self.report(connection)
        if request.path == "/api/order":
            return self.order(request, connection)
        if request.path.startswith("/api/kv-handle/"):
            self.handles.pop(request.path.rsplit("/", 1)[1], None)
            answer(connection, 200)
            return True
        if request.path == "/healthz":
            answer(connection, 200, [("Instance-Id", self.id)])
            return True
        return self.serve(request, connection)

    def report(self, connection):
        with self.lock:
            content = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                       "busy": now() < self.busy_until, "seq": self.orders, "waiting": 0, "running": 0, "kvUsed": 0,
                       "kvTotal": 232000, "kvHandles": len(self.handles), "born": self.born}
        answer_json(connection, 200, content)
        return True

    def order(self, request, connection):
        answer(connection, self.accept_order(json.loads(request.body)))
        return True

    def accept_order(self, body):
        with self.lock:
            if not body.get("holder") or not body.get("fencingToken"):
                return 400
            if body["stage"] == self.stage:
                return 200
            if now() < self.busy_until or body.get("expected", self.orders) != self.orders:
                return 409
            self.orders += 1
            self.busy_until = now() + self.fleet.stage_switch_s
        self.fleet.record.line("carries-out-order", self.id, body["stage"], "of", body["holder"])

        def finish():
            time.sleep(self.fleet.stage_switch_s)
            self.stage = body["stage"]
            self.publish()

        threading.Thread(target=finish, daemon=True).start()
        return 202

    def not_executed(self, request, connection):
        answer(connection, 503, [("Request-Id", request.header("Request-Id")), ("Not-Executed", "1")])
        return True

    def serve(self, request, connection):
        if self.stage and now() < self.busy_until:
            return self.not_executed(request, connection)
        if request.header("Stage") == "prefill":
            if self.stage != "prefill":
                answer(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.header("Request-Id"))])
                return True
            time.sleep(0.01)
            handle = "%012x" % random.getrandbits(48)
            self.handles[handle] = request.header("Request-Id")
            answer_json(connection, 200, {"kvHandle": handle, "tokens": 1, "version": 1},
                        [("Request-Id", request.header("Request-Id"))])
            return True
        return self.run(request, connection)

    def run(self, request, connection):
        request_id = request.header("Request-Id")
        self.fleet.record.line("run", request_id, "at", self.id)
        self.fleet.ran(request_id, self)
        if self.stage:
            return self.stream(request_id, connection)
        time.sleep(self.work_s)
        body = ("answer to %s" % request_id).encode()
        answer(connection, 200, [("Request-Id", request_id), ("Response-Seal", "seal"), ("Content-Type", "text/plain")], body)
        return True


    def stream(self, request_id, connection, events=5, gap_s=0.02):
        """Answers with a stream of events that ends by its last chunk."""
        connection.sendall(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n" % request_id).encode())
        for number in range(1, events + 1):
            time.sleep(gap_s)
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True


# --- the entry daemons -----------------------------------------------------------------------------


def render(template, fields):
    """Fills a template with the placeholders that the deploy file's template uses: {{a.b}} and {{a.b|json}}."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^{}]*)\}\}", value, template)


BOUNDS = {"drainMs": 2000, "graceS": 8, "leaseMs": 3000, "ttl_max_s": 5, "retryBudgetRatio": 0.2,
          "retryBudgetExtra": 58, "retryWindowS": 10}


class Daemon:
    """A machine that runs the role of the deploy file."""

    def __init__(self, fleet, name, zone, memory_mb=414, fds=6150):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.ip = free_ip()
        self.fields = {
            "nodeName": name, "zone": zone, "region": "ro-central", "ip": self.ip, "portRange": [7660, 7675],
            "listen": {"frontend": self.ip + ":8144", "readiness": self.ip + ":8140", "directory": self.ip + ":8143"},
            "limits": {"memoryMb": memory_mb, "maxFds": fds}, "bounds": BOUNDS,
            "platform": {"address": fleet.store.address, "writesPerS": 400, "readsPerS": 2000},
        }
        self.settings = os.path.join(fleet.folder, name + ".toml")
        self.log = os.path.join(fleet.folder, name + ".log")
        self.process = None

    @property
    def entry(self):
        return self.ip, 8144

    def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.toml")) as template:
            text = render(template.read(), self.fields)
        with open(self.settings, "w") as settings:
            settings.write(text)
        command = self.fleet.run_command.replace("/etc/lacewingtide/settings.yaml", self.settings).split()
        log = open(self.log, "ab")
        if self.fleet.ended:
            log.close()
            return
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record.line("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.fleet.record.line("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def ready(self):
        try:
            return ask((self.ip, 8140), "GET", "/api/readyz", timeout=0.5)[0] == 200
        except (OSError, ValueError):
            return False

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def ask(address, method, path, headers=(), body=b"", timeout=5.0):
    """One request on a new connection. Returns status, headers and body."""
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.settimeout(timeout)
        head = "%s %s HTTP/1.1\r\nHost: shop.example\r\n" % (method, path)
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        connection.sendall(head.encode("latin-1") + b"\r\n" + body)
        stream = connection.makefile("rb")
        line, fields = read_head(stream)
        if line is None:
            raise ConnectionError("closed without an answer")
        return int(line.split(" ")[1]), fields, read_body(stream, fields)


class Fleet:
    """A small deployment: a store, servers and daemons."""

    stage_switch_s = 3.0

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store()
        self.servers, self.daemons = [], []
        self.ended = False
        self.runs, self.run_lock = {}, threading.Lock()
        with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
            self.run_command = re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1)

    def ran(self, request_id, server):
        with self.run_lock:
            self.runs.setdefault(request_id, []).append((now(), server.id))

    def configure(self, version=7):
        host = {"host": "shop.example"}
        self.store.put("op", "config", {
            "version": version,
            "routes": [
                dict(host, name="r-list", prefix="/list/", type="streaming", timeoutMs=2000, targetLatencyMs=150, priority=0,
                     service="engines", maxAttempts=1, sticky=True, resumable=False, targetItlMs=150),
                dict(host, name="r-chat", prefix="/chat/", type="streaming", timeoutMs=15000, targetLatencyMs=120, priority=1,
                     service="engines", maxAttempts=2, sticky=True, resumable=True, targetItlMs=150),
                dict(host, name="r-order", prefix="/order/", type="non_idempotent", timeoutMs=2500, targetLatencyMs=150,
                     priority=2, service="shop", maxAttempts=2),
                dict(host, name="r-stock", prefix="/stock/", type="idempotent", timeoutMs=2500, targetLatencyMs=150,
                     priority=2, service="shop", maxAttempts=2),
            ],
            "services": [
                {"name": "engines", "healthPath": "/healthz", "maxConnections": 250, "protocol": "h1", "tls": False,
                 "engine": {"slots": 32, "kvCapacity": 232000, "kvBytes": 327680, "linkMbps": 8800000.0,
                            "kvRetentionS": 5.0, "stageSwitchS": self.stage_switch_s, "models": [{"name": "m"}]}},
                {"name": "shop", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        })

    def await_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all(daemon.ready() for daemon in self.daemons):
                return
            time.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    def daemon_of(self, address):
        return next((daemon for daemon in self.daemons if daemon.ip == address.split(":")[0]), None)

    def end(self):
        self.ended = True
        for daemon in self.daemons:
            daemon.end()
        for server in self.servers:
            server.stop()
        self.store.listener.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh turns BROKEN into 1, which Python also uses for its own errors


def main(case_folder, case):
    """Runs case(fleet, trouble), which returns whether the rule held, and exits with HELD, BROKEN or NOT_RUN."""

    def stop(*_):
        raise CannotRun("the time of the script is over")

    signal.signal(signal.SIGTERM, stop)
    fleet = None
    status = NOT_RUN
    try:
        fleet = Fleet(case_folder)
        held = case(fleet, os.environ.get("TROUBLE", "1") != "0")
        fleet.record.line("rule", "held" if held else "BROKEN")
        status = HELD if held else BROKEN
    except CannotRun as error:
        print("cannot run:", error)
    except Exception as error:  # a fault of the script itself
        print("cannot run:", repr(error))
        if os.environ.get("KEEP"):
            raise
    finally:
        if fleet is not None:
            fleet.end()
    sys.stdout.flush()
    os._exit(status)
