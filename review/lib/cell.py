"""Stand-ins for the platform's store and workers, a client, and the box processes of one small cell.

Each stand-in does only what PROTOCOL.md allows. Everything listens on loopback, on free ports.
"""
import base64
import http.client
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
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ("bole", "piassa", "kality")


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f}  {text}\n")
            self.file.flush()


class Silence(Exception):
    """The answer is lost: the connection says nothing further."""


class HttpServer:
    """HTTP/1.1 server with a thread for each connection. The handler returns (status, body)."""

    def __init__(self, handler, host="127.0.0.1", port=0):
        self.handler = handler
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(256)
        self.host, self.port = self.listener.getsockname()
        self.connections = set()
        self.lock = threading.Lock()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def _accept(self):
        while not self.closed:
            try:
                connection, peer = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection, peer[0]), daemon=True).start()

    def _serve(self, connection, peer):
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {"peer": peer}
                while True:
                    header = reader.readline().decode("latin-1").strip()
                    if not header:
                        break
                    name, value = header.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", "0")))
                parsed = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(parsed.query).items()}
                try:
                    status, answer = self.handler(method, parsed.path, query, headers, body)
                except Silence:
                    while reader.read(1):
                        pass
                    return
                content = b"" if answer is None else json.dumps(answer).encode()
                connection.sendall(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                                   f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def reset_connections(self):
        with self.lock:
            for connection in self.connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.closed = True
        self.listener.close()
        self.reset_connections()


class Store:
    """The platform's metadata store. on_txn may return None, 'lost' or seconds after which the lost call is done."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.lease_id = 1000
        self.on_txn = lambda puts, removes: None
        self.is_silent = lambda box: False
        self.on_renewal = lambda box, lease: None
        self.closed = False
        threading.Thread(target=self._expire, daemon=True).start()

    def endpoint(self, box):
        """Returns a server through which one box reaches the store."""
        return HttpServer(lambda *call: self._handle(box, *call))

    def _handle(self, box, method, path, query, headers, body):
        if self.is_silent(box):
            raise Silence
        if path == "/v1/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (404, {"at": self.revision}) if item is None else (200, dict(item, at=self.revision))
        if path == "/v1/kv-range":
            with self.changed:
                keys = sorted(k for k in self.items
                              if k.startswith(query["path_prefix"]) and k > query.get("depends_on", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]], "more": len(keys) > 500,
                             "at": self.revision}
        if path == "/v1/kv-watch":
            answer = self._watch(query["path_prefix"], int(query["depends_on"]), int(query.get("wait_ms", "0")))
            if self.is_silent(box):
                raise Silence
            return answer
        if path == "/v1/kv-txn":
            return self._txn_call(box, json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            with self.changed:
                self.lease_id += 1
                self.leases[self.lease_id] = [ttl / 1000, time.monotonic() + ttl / 1000]
                return 200, {"lease": self.lease_id, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            with self.changed:
                lease = self.leases.get(int(path.rsplit("/", 1)[1]))
                if lease is None:
                    return 404, None
                lease[1] = time.monotonic() + lease[0]
            self.on_renewal(box, int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path.startswith("/v1/kv-lease-end/"):
            with self.changed:
                self._end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
        return 404, None

    def _watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                if events or time.monotonic() >= end:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(max(0.001, end - time.monotonic()))

    def _txn_call(self, box, call):
        puts = [p["key"] for p in call.get("put", [])]
        fault = self.on_txn(call.get("put", []), call.get("remove", []))
        if fault is None:
            return self.txn(call)
        if fault == "lost":
            self.record(f"store: write of {puts} by {box} is done, its answer is lost: {self.txn(call)}")
        else:
            self.record(f"store: write of {puts} by {box} gets no answer, to be done {fault} s later")
            threading.Timer(fault, lambda: self.record(
                f"store: late write of {puts} by {box} is done now: {self.txn(call)[0]}")).start()
        raise Silence

    def txn(self, call):
        with self.changed:
            for row in call.get("expected_rev", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    found = [self.items[r["key"]] for r in call["expected_rev"] if r["key"] in self.items]
                    return 412, {"items": found}
            for put in call.get("put", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, None
            self.revision += 1
            for put in call.get("put", []):
                old = self.items.get(put["key"])
                item = {"key": put["key"], "value": put["value"], "revision": self.revision,
                        "made": old["made"] if old else self.revision, "lease": put.get("lease", 0)}
                self.items[put["key"]] = item
                self.history.append(item)
            for key in call.get("remove", []):
                self._remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "gone": True})

    def _end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self._remove(key)
            self.changed.notify_all()

    def _expire(self):
        while not self.closed:
            with self.changed:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                    self._end_lease(lease)
            time.sleep(0.02)

    def put(self, key, value):
        """Writes as the operator or a worker."""
        self.txn({"put": [{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}]})

    def remove(self, key):
        self.txn({"remove": [key]})

    def text(self, key):
        with self.changed:
            item = self.items.get(key)
            return base64.b64decode(item["value"]).decode() if item else None


class Worker:
    """A worker. work(task, run, spec) returns the milliseconds that a run takes and how it ends."""

    STOP_S = 0.05
    HOLD_MAX_MS = 10_000

    def __init__(self, name, store, record, work, cpu=4000, mem=16384, service="svc", labels=("a", "r1"),
                 zone="bole"):
        self.name, self.store, self.record, self.work, self.zone = name, store, record, work, zone
        self.changed = threading.Condition()
        self.clock_offset = random.randint(100_000, 900_000)
        self.started = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.end_number = 0
        self.acked = 0
        self.is_silent = lambda box_ip: False
        self.on_start = lambda body: None
        self.server = HttpServer(self._handle)
        self.entry = {"service": service, "address": self.server.address, "zone": zone, "version": "1",
                      "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "labels": list(labels),
                      "capacity": {"cpu": cpu, "mem_mb": mem, "gpu": 0}}
        self.register()
        self.closed = False
        threading.Thread(target=self._tick, daemon=True).start()

    def register(self):
        self.store.put("servers/" + self.name, self.entry)

    def clock(self):
        return self.clock_offset + int((time.monotonic() - self.started) * 1000)

    def _tick(self):
        while not self.closed:
            with self.changed:
                now = time.monotonic()
                lapsed = self.deadline and self.clock() >= self.deadline
                for task, run in list(self.running.items()):
                    if lapsed:
                        self._end(task, "lapsed")
                    elif now >= run["end"]:
                        self._end(task, run["how"])
            time.sleep(0.01)

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.end_number += 1
        self.ends.append([self.end_number, task, run["run"], how, ""])
        self.record(f"{self.name}: end {self.end_number}: {task} run {run['run']} {how}")
        self.changed.notify_all()

    def _handle(self, method, path, query, headers, body):
        if self.is_silent(headers["peer"]):
            raise Silence
        call = json.loads(body) if body else {}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, None
        with self.changed:
            if path in ("/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace"):
                if call.get("fencing_token", 0) < self.fence:
                    return 409, {"clock_ms": self.clock(), "reason": "fence"}
                self.fence = call.get("fencing_token", 0)
            if path == "/v1/run-start":
                return self._start(call)
            if path == "/v1/run-stop":
                return self._stop(call)
            if path == "/v1/pace":
                return 200, {"clock_ms": self.clock()}
            if path == "/v1/hold":
                return self._hold(call, headers["peer"])
        return 404, None

    def _extend(self, deadline):
        if deadline:
            self.deadline = max(self.deadline, min(deadline, self.clock() + self.HOLD_MAX_MS))

    def _start(self, call):
        task, run = call["task"], call["run"]
        self._extend(call.get("deadline_ms", 0))
        known = self.running.get(task)
        if known and known["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0) or known:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if call.get("deadline_ms", 0) <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        millis, how = self.work(task, run, call["spec"])
        self.running[task] = {"run": run, "begin": time.monotonic(), "millis": millis, "how": how,
                              "end": time.monotonic() + millis / 1000}
        self.record(f"{self.name}: starts {task} run {run} under fencing token {self.fence}")
        self.on_start(call)
        return 200, {"clock_ms": self.clock()}

    def _stop(self, call):
        task, run = call["task"], call["run"]
        known = self.running.get(task)
        if known and known["run"] <= run:
            known["end"], known["how"] = time.monotonic() + self.STOP_S, "stopped"
        else:
            self.highest[task] = max(self.highest.get(task, 0), run)
        self.record(f"{self.name}: told to stop {task} run {run}")
        return 200, {"clock_ms": self.clock()}

    def _hold(self, call, peer):
        self._extend(call.get("deadline_ms", 0))
        if self.running:
            self.record(f"{self.name}: hold by {peer} under fencing token {self.fence}, "
                        f"lease ends in {self.deadline - self.clock()} ms, runs {list(self.running)}")
        seen = call.get("last_seen", 0)
        if seen > self.acked:
            self.acked = seen
            for end in self.ends:
                if end[0] <= seen:
                    self.record(f"{self.name}: end {end[0]} ({end[1]} run {end[2]} {end[3]}) is taken note of")
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(max(0.001, until - time.monotonic()))
        if self.is_silent(peer):
            raise Silence
        now = time.monotonic()
        rows = [[task, run["run"], "", min(99, int((now - run["begin"]) * 100_000 / max(1, run["millis"]))), 0]
                for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "running": rows, "exit": self.ends[:500]}


class Box:
    """One box process, started as the deploy file says."""

    def __init__(self, cell, name, ip, zone):
        self.cell, self.name, self.ip, self.zone = cell, name, ip, zone
        self.store = cell.store.endpoint(name)
        self.front, self.ready, self.peer = f"{ip}:8161", f"{ip}:8167", f"{ip}:7720"
        self.settings = os.path.join(cell.folder, name + ".json")
        self.process = None

    def start(self):
        values = {"node_name": self.name, "zone": self.zone, "ip": self.ip, "advice": "",
                  "listen": {"front": self.front, "readiness": self.ready}, "internal_ports": [7720, 7735],
                  "platform": {"address": self.store.address},
                  "limits": {"cores": 1, "cpu_share": 0.75}, "bounds": self.cell.bounds}
        with open(os.path.join(ROOT, self.cell.role["template"]), encoding="utf-8") as template:
            text = re.sub(r"\{\{([^{}]+)\}\}", lambda gap: lookup(values, gap.group(1)), template.read())
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(text)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        env["GAUGEHOLLOW_NODE_FILE"] = self.settings
        with open(os.path.join(self.cell.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.cell.role["run"].split(), cwd=ROOT, env=env, stdout=log,
                                            stderr=subprocess.STDOUT, start_new_session=True)
        self.cell.record(f"{self.name}: process {self.process.pid} started")

    def kill(self):
        self.cell.record(f"{self.name}: killed")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def call(self, method, path, body=None, timeout=4.0, port="front", note=True):
        """Returns (status, answer); status 0 means no answer."""
        address = getattr(self, port)
        host, number = address.split(":")
        connection = http.client.HTTPConnection(host, int(number), timeout=timeout)
        try:
            connection.request(method, path, body=None if body is None else json.dumps(body),
                               headers={"Host": Cell.HOST, "Content-Type": "application/json",
                                        "X-Deadline-Ms": "3000"})
            response = connection.getresponse()
            content = response.read()
            answer = json.loads(content) if content else None
            status = response.status
        except (OSError, http.client.HTTPException, ValueError) as e:
            status, answer = 0, str(e)
        finally:
            connection.close()
        if note:
            self.cell.record(f"client: {method} {path} at {self.name} -> {status} {json.dumps(answer)}")
        return status, answer

    def is_ready(self):
        return self.call("GET", "/v1/readyz", port="ready", timeout=1.0, note=False)[0] == 200


def lookup(values, name):
    for part in name.strip().split("."):
        values = values[int(part)] if isinstance(values, list) else values[part]
    return str(values)


class Cell:
    """A store, workers and boxes."""

    HOST = "nony24.example"
    PREFIX = "/lohu930/"
    QUEUE = "goal"

    def __init__(self, record, boxes=3, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="gaugehollow-review-")
        self.bounds = {"status_s": 120, "grace_s": 6, "stop_timeout_ms": 200, "restore_ms": 250,
                       "checkpoint_s": 0.5, **(bounds or {})}
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            text = deploy.read()
        self.role = {key: re.search(rf'^{key} = "(.*)"$', text, re.MULTILINE).group(1)
                     for key in ("run", "template")}
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("not built: run the build line of deploy/system.toml first")
        self.store = Store(record)
        self.workers = []
        self.boxes = []
        self.version = 0
        net = self._claim_net()
        for i in range(boxes):
            zone = ZONES[i % len(ZONES)]
            self.boxes.append(Box(self, f"frontend-{zone}-{i // len(ZONES) + 1}", f"{net}.{i + 1}", zone))

    def _claim_net(self):
        for _ in range(200):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                self.claim = socket.socket()
                self.claim.bind((net + ".254", 7710))
                return net
            except OSError:
                self.claim.close()
        raise CannotRun("no free loopback addresses")

    def configure(self, max_attempts=2, priority=0, target_ms=250, stretch=1.5):
        self.version += 7
        self.store.put("op/config", {
            "version": self.version,
            "routes": [{"name": self.QUEUE, "host": self.HOST, "path_prefix": self.PREFIX, "service": "svc",
                        "priority": priority, "max_attempts": max_attempts, "stretch": stretch,
                        "target_latency_ms": target_ms}],
            "services": [{"name": "svc", "enforces_capacity": False}], "limits": {}})

    def add_worker(self, name, work, **options):
        worker = Worker(name, self.store, self.record, work, **options)
        self.workers.append(worker)
        return worker

    def start(self):
        for box in self.boxes:
            box.start()
        self.await_true("all boxes are ready", lambda: all(box.is_ready() for box in self.boxes), 30)
        self.await_true("a box owns the cell", self.owner, 15)
        self.record(f"cell: {self.owner().name} owns the cell")

    def owner(self):
        """Returns the box that owns the cell by the store, or None."""
        value = self.store.text("gaugehollow/owner")
        return next((box for box in self.boxes if value and value.startswith(box.name + "~")), None)

    def await_true(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun("waited in vain: " + what)

    def close(self):
        for box in self.boxes:
            if box.process and box.process.poll() is None:
                box.process.send_signal(signal.SIGCONT)
                box.process.kill()
                box.process.wait()
        for worker in self.workers:
            worker.closed = True
            worker.server.close()
        self.store.closed = True
        self.claim.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("with the disruption" if trouble else "without the disruption")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    cell = None
    status = 2
    try:
        cell = Cell(record)
        finding = case(cell, record, trouble)
        status = 1 if finding else 0
        record(f"verdict: {finding}" if finding else "verdict: the rule held")
    except CannotRun as e:
        record(f"verdict: the case could not run: {e}")
    finally:
        if cell:
            cell.close()
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read().splitlines()[-1])
    sys.exit(status)
