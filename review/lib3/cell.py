"""A small deployment for the scripts of review 3: stand-ins of the platform's store, of workers and of
clients, and boxes as processes of their own, started with the command of the deploy file.

Everything runs on loopback addresses and the real clock. The stand-ins speak what PROTOCOL.md tells."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"status_s": 120, "grace_s": 6, "stop_timeout_ms": 200, "restore_ms": 250, "checkpoint_s": 0.5}
VALUE_BYTES = 1048576
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


def free_port(host):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return s.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1; the handler returns a status and an object, or None to give no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                peer = writer.get_extra_info("peername")[0]
                reply = await self.handler(peer, method, url.path, query, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                status, value = reply
                data = json.dumps(value).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                              % (status, len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}     # key -> [value, revision, made, lease]
        self.revision = 1
        self.history = []   # (revision, key, value or None)
        self.leases = {}    # lease -> [ttl, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.refused_values = 0
        self.away = set()   # addresses of boxes that are turned away with 503

    async def start(self, host):
        self.http = await HttpServer(self.handle).start(host)
        self.address = self.http.address
        self.expiry = asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item[3] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            made = self.items[key][2] if key in self.items else self.revision
            self.items[key] = [value, self.revision, made, lease]
            self.history.append((self.revision, key, value))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        return self.apply([(key, json.dumps(value).encode(), 0)], [])

    def item(self, key):
        value, revision, made, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "made": made,
                "lease": lease}

    async def handle(self, peer, method, path, query, headers, body):
        if peer in self.away:
            return 503, {}
        if path == "/v1/kv-key":
            return (200, dict(self.item(query["key"]), at=self.revision)) if query["key"] in self.items \
                else (404, {"at": self.revision})
        if path == "/v1/kv-range":
            return 200, self.range(query["path_prefix"], query.get("depends_on", ""))
        if path == "/v1/kv-watch":
            return await self.watch(query["path_prefix"], int(query["depends_on"]), int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
            return 200, {"ttl_ms": self.leases[lease][0]}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            if len(items) == PAGE_ITEMS or items and size + len(self.items[key][0]) > PAGE_BYTES:
                break
            items.append(self.item(key))
            size += len(self.items[key][0])
        return {"items": items, "more": len(items) < len(keys), "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [({"key": k, "revision": r, "gone": True} if v is None else
                       {"key": k, "revision": r, "value": base64.b64encode(v).decode(), "lease": 0, "made": r})
                      for r, k, v in self.history if r > after and k.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, txn):
        conditions = txn.get("expected_rev", [])
        puts, removals = txn.get("put", []), txn.get("remove", [])
        if len(conditions) + len(puts) + len(removals) > 32:
            return 400, {}
        for row in puts:
            if len(base64.b64decode(row["value"])) > VALUE_BYTES or len(row["key"]) > 200:
                self.refused_values += 1
                return 400, {}
        for row in conditions:
            current = self.items[row["key"]][1] if row["key"] in self.items else 0
            if current != row["revision"]:
                return 412, {"items": [self.item(c["key"]) for c in conditions if c["key"] in self.items]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        return 200, {"revision": self.apply(
            [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in puts], removals)}


class Worker:
    """A worker that runs tasks; `spec` tells the time of a task: "ms=800"."""

    def __init__(self, cell, number, service, capacity, life=1):
        self.cell, self.service, self.capacity = cell, service, capacity
        self.index = number
        self.life = life
        self.id = "w%02d-%d" % (number, life)
        self.rack = "r1-%d" % (number // 4)
        self.labels = ["a", self.rack]
        self.zone = cell.zones[number % len(cell.zones)]
        self.born = time.monotonic()
        self.running = {}     # task -> [run, end time or None, started, spec]
        self.blocked = {}     # task -> highest run that was stopped or ended here
        self.exits = []
        self.number = 0
        self.fence = 0
        self.deadline = 0
        self.up = True
        self.draining = False
        self.seq = 0
        self.ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 100000

    async def start(self, host, port=0):
        self.http = await HttpServer(self.handle).start(host, port)
        self.write_entry()
        self.ticker = asyncio.create_task(self.tick())
        return self

    async def crash(self):
        """Ends at once and says nothing: connections break, and all that runs is gone."""
        self.up = False
        self.cell.record("worker crashed", worker=self.id, running=",".join(self.running) or "nothing")
        self.ticker.cancel()
        self.http.server.close()
        for writer in list(self.http.writers):
            writer.transport.abort()
        self.running = {}
        asyncio.create_task(self.lose_entry())

    async def lose_entry(self):
        """The entry goes after three heartbeats of silence."""
        await asyncio.sleep(4.5)
        self.cell.store.apply([], ["servers/" + self.id])

    def write_entry(self):
        self.seq += 1
        self.cell.store.put("servers/" + self.id, {
            "service": self.service, "address": self.http.address, "zone": self.zone, "version": "1.0",
            "slots": 8, "state": "draining" if self.draining else "ready", "cold_left_ms": 0, "seq": self.seq,
            "capacity": self.capacity, "labels": self.labels})

    async def tick(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now - beat > 1.5:
                beat = now
                self.write_entry()
            if self.running and self.deadline and self.clock() > self.deadline:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, (run, end, _, spec) in list(self.running.items()):
                if end is not None and end <= now:
                    self.end(task, "failed" if "fail" in spec else "done")

    def end(self, task, how):
        run, _, started, _ = self.running.pop(task)
        self.blocked[task] = max(self.blocked.get(task, 0), run)
        self.number += 1
        self.exits.append([self.number, task, run, how, ""])
        self.cell.record("end", worker=self.id, task=task, run=run, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def answer(self, status, **fields):
        return status, dict(fields, clock_ms=self.clock())

    async def handle(self, peer, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = call.get("fencing_token", 0)
        if "deadline_ms" in call:
            self.deadline = max(self.deadline, min(call["deadline_ms"], self.clock() + 10000))
        if path == "/v1/run-start":
            return self.start_run(call)
        if path == "/v1/run-stop":
            self.cell.record("stop", worker=self.id, task=call["task"], run=call["run"])
            if call["task"] in self.running and self.running[call["task"]][0] <= call["run"]:
                self.end(call["task"], "stopped")
            self.blocked[call["task"]] = max(self.blocked.get(call["task"], 0), call["run"])
            return self.answer(200)
        if path == "/v1/pace":
            return self.answer(200)
        if path == "/v1/hold":
            self.exits = [e for e in self.exits if e[0] > call.get("last_seen", 0)]
            if not self.exits and call.get("wait_ms"):
                try:
                    await asyncio.wait_for(self.ended.wait(), call["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            now = time.monotonic()
            running = [[task, run, "", 100 if end is None else
                        min(99, int(100 * (now - started) / max(0.001, end - started))), 0]
                       for task, (run, end, started, _) in self.running.items()]
            return self.answer(200, running=running, exit=self.exits[:500])
        return self.answer(400)

    def start_run(self, call):
        task, run = call["task"], call["run"]
        if task in self.running and self.running[task][0] == run:
            return self.answer(200)
        if self.blocked.get(task, 0) >= run or task in self.running:
            return self.answer(409, reason="old")
        if call["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        now = time.monotonic()
        spec = call["spec"]
        end = None
        for word in spec.split():
            if word.startswith("ms="):
                end = now + int(word[3:]) / 1000
        self.running[task] = [run, end, now, spec]
        self.cell.record("start", worker=self.id, task=task, run=run)
        return self.answer(200)


class Box:
    """A box: a process that the deploy file's command starts."""

    def __init__(self, cell, number):
        self.cell = cell
        self.name = "frontend-%s-%d" % (cell.zones[number % len(cell.zones)], number)
        self.ip = "127.0.%d.%d" % (cell.net, 11 + number)
        self.zone = cell.zones[number % len(cell.zones)]
        self.front = "%s:%d" % (self.ip, free_port(self.ip))
        self.readiness = "%s:%d" % (self.ip, free_port(self.ip))
        self.peer = "%s:%d" % (self.ip, free_port(self.ip))
        self.metrics = "%s:%d" % (self.ip, free_port(self.ip))
        self.file = os.path.join(cell.folder, self.name + ".json")
        self.starts = 0
        self.exits = []
        self.process = None
        self.wanted = False

    def write_settings(self):
        with open(self.file, "w") as f:
            json.dump({"box": self.name, "hall": self.zone, "callerAddress": self.front,
                       "readinessAddress": self.readiness, "peerAddress": self.peer,
                       "metricsAddress": self.metrics, "storeAddress": self.cell.store.address,
                       "adviceAddress": "", "statusSeconds": BOUNDS["status_s"],
                       "drainSeconds": BOUNDS["grace_s"], "processors": 1, "processorShare": 0.75,
                       "stopMillis": BOUNDS["stop_timeout_ms"], "restoreMillis": BOUNDS["restore_ms"],
                       "checkpointSeconds": BOUNDS["checkpoint_s"]}, f)

    async def start(self):
        self.write_settings()
        self.wanted = True
        self.log = open(os.path.join(self.cell.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.cell.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": self.cell.folder, "LANG": "C.UTF-8",
                 "GAUGEHOLLOW_NODE_FILE": self.file})
        self.starts += 1
        self.cell.record("box started", box=self.name, pid=self.process.pid)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        """Restarts a process that ends by itself, as the platform does after a short delay."""
        code = await process.wait()
        self.cell.record("box ended", box=self.name, code=code, own=self.wanted)
        if self.wanted and self.process is process:
            self.exits.append(time.monotonic())
            await asyncio.sleep(1.0)
            if self.wanted:
                await self.start()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.wanted = False
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Cell:
    """The whole deployment."""

    def __init__(self, case_folder, boxes=3, workers=8, capacity=None, net=None):
        self.case = case_folder
        self.zones = ["bole", "piassa", "kality"]
        self.net = net or 100 + os.getpid() % 100
        self.host = "127.0.%d.1" % self.net
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.began = time.monotonic()
        self.out = open(os.path.join(case_folder, "record.txt"), "w")
        self.out.write("machine %s, TROUBLE=%s\n" % (os.uname().machine, os.environ.get("TROUBLE", "1")))
        self.events = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.command = tomllib.load(f)["roles"]["box"]["run"].split()
        self.n_boxes, self.n_workers = boxes, workers
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 32768, "gpu": 0}

    def record(self, what, **fields):
        at = time.monotonic() - self.began
        self.events.append((at, what, fields))
        self.out.write("%8.3f %s %s\n" % (at, what, " ".join("%s=%s" % f for f in fields.items())))
        self.out.flush()

    def config(self, version=1, **changes):
        routes = [{"name": "push", "host": "nony24.example", "path_prefix": "/lohu930/", "service": "scoreboard",
                   "priority": 0, "max_attempts": 2, "stretch": 1.5, "target_latency_ms": 250},
                  {"name": "recap", "host": "nony24.example", "path_prefix": "/recap7/", "service": "scoreboard",
                   "priority": 2, "max_attempts": 3, "stretch": 2.2, "target_latency_ms": 1200}]
        return dict({"version": version, "routes": routes,
                     "services": [{"name": "scoreboard", "enforces_capacity": False}], "limits": {}}, **changes)

    async def start(self):
        self.store = await Store().start(self.host)
        self.store.put("op/config", self.config())
        self.workers = [await Worker(self, i, "scoreboard", self.capacity).start(self.host)
                        for i in range(self.n_workers)]
        self.boxes = [Box(self, i) for i in range(self.n_boxes)]
        for box in self.boxes:
            await box.start()
        end = time.monotonic() + 25
        while time.monotonic() < end:
            ready = [await self.ready(box) for box in self.boxes]
            if all(ready) and "gaugehollow/owner" in self.store.items:
                await asyncio.sleep(1.5)
                self.record("ready")
                return self
            await asyncio.sleep(0.2)
        raise RuntimeError("the cell is not ready")

    async def ready(self, box):
        try:
            return (await self.call(box.readiness, "GET", "/v1/readyz", None, 1))[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def crash_and_return(self, index, down_s):
        """A worker crashes and starts again at its address, with a new id."""
        old = self.workers[index]
        await old.crash()
        await asyncio.sleep(down_s)
        new = Worker(self, index, old.service, old.capacity, old.life + 1)
        new.labels = old.labels
        self.workers[index] = await new.start(*[f(x) for f, x in zip((str, int), old.http.address.split(":"))])
        self.record("worker back", worker=new.id)

    def owner(self):
        item = self.store.items.get("gaugehollow/owner")
        if item is None:
            return None
        return next((b for b in self.boxes if item[0].decode().startswith(b.name + "~")), None)

    async def call(self, address, method, path, body, timeout, host="nony24.example"):
        return await asyncio.wait_for(self.exchange(address, method, path, body, timeout, host), timeout)

    async def exchange(self, address, method, path, body, timeout, host):
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, host, timeout * 1000, len(data))).encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("no answer")
            line, _, answer = message
            try:
                value = json.loads(answer) if answer else {}
            except ValueError:
                value = {}
            return int(line.split(" ")[1]), value
        finally:
            writer.close()

    async def request(self, box, method, path, body=None, timeout=3):
        """A client's call; returns status and answer, status 0 for no answer."""
        try:
            status, value = await self.call(box.front, method, path, body, timeout)
        except (OSError, asyncio.TimeoutError, ConnectionError) as e:
            status, value = 0, {"error": type(e).__name__}
        self.record("call", box=box.name, method=method, path=path, status=status, answer=json.dumps(value)[:120])
        return status, value

    async def submit(self, path, body, tries=12, first=0):
        """Hands a job in as clients do: after no answer, 429, 502, 503 or 504 again, at another box."""
        for i in range(tries):
            status, _ = await self.request(self.boxes[(first + i) % len(self.boxes)], "POST", path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.4)
        return False

    def runs(self, job):
        return [(at, f) for at, what, f in self.events if what == "start" and f["task"].startswith(job + ".")]

    async def stop(self):
        for box in self.boxes:
            if box.process is not None:
                await box.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def main(scenario, **options):
    """Runs a scenario in the folder that argument 1 names; TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        cell = Cell(sys.argv[1], **options)
        code = 2
        try:
            await cell.start()
            broken = await asyncio.wait_for(scenario(cell, trouble), 88)
            cell.record("verdict", broken=json.dumps(broken))
            code = 1 if broken else 0
        except Exception as e:  # the case could not run
            cell.record("could not run", error=repr(e))
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(cell.folder, keep, dirs_exist_ok=True)
            await cell.stop()
        return code

    code = asyncio.run(play())
    print("exit", code)
    os._exit(code)
