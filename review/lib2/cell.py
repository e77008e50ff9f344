"""Starts a small deployment on loopback: boxes as the deploy file runs them, and stand-ins as processes."""
import asyncio
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
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LIB = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
MAX_SECONDS = 105
HOST, SERVICE = "desk.example", "desk"
# Bounds of a small deployment, as in the settings of sites/tbs-live.toml.
BOUNDS = {"status_s": 120, "grace_s": 6, "stop_timeout_ms": 200, "restore_ms": 250, "checkpoint_s": 0.5}


class NotRun(Exception):
    """The case could not be run; says nothing of the rule."""


class Proxy(threading.Thread):
    """Passes connections on to a target; while it is cut, nothing passes in either direction."""

    def __init__(self, listen, target):
        super().__init__(daemon=True)
        self.listen, self.target = listen, target
        self.loop = asyncio.new_event_loop()
        self.up = threading.Event()
        self.start()
        self.up.wait(5)

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.gate = asyncio.Event()
        self.gate.set()
        host, _, port = self.listen.rpartition(":")
        self.loop.run_until_complete(asyncio.start_server(self.connect, host, int(port)))
        self.up.set()
        self.loop.run_forever()

    async def connect(self, reader, writer):
        await self.gate.wait()
        if reader.at_eof() or reader.exception():
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not self.gate.is_set():
                    await self.gate.wait()
                    await asyncio.sleep(0)
                    if reader.at_eof() or reader.exception():
                        # its sender has ended the connection: what the cut held up is lost
                        data = b""
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def cut(self):
        self.loop.call_soon_threadsafe(self.gate.clear)

    def heal(self):
        self.loop.call_soon_threadsafe(self.gate.set)


def render(template, fields):
    """Fills the plain gaps of a template, as DEPLOY.md tells."""
    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Cell:
    def __init__(self, case, boxes=3):
        self.case = case
        self.dir = tempfile.mkdtemp(prefix="gaugehollow-review-")
        self.log = os.path.join(self.dir, "workers.jsonl")
        open(self.log, "w").close()
        self.processes, self.workers, self.boxes, self.proxies = [], {}, {}, {}
        self.net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.start_time = time.monotonic()
        self.lines = []
        self.store = f"{self.net}.1:{self.free_port(self.net + '.1')}"
        self.box_count = boxes
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for entry in self.worker_events():
            self.lines.append((entry.pop("at"), "worker " + json.dumps(entry)))
        with open(os.path.join(self.case, "record.txt"), "w") as file:
            for at, text in sorted(self.lines):
                file.write(f"{at - self.start_time:8.3f} s  {text}\n")
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def note(self, text):
        self.lines.append((time.monotonic(), text))

    @staticmethod
    def free_port(host):
        with socket.socket() as probe:
            probe.bind((host, 0))
            return probe.getsockname()[1]

    def spawn(self, name, command, **options):
        output = open(os.path.join(self.dir, name + ".log"), "ab")
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, **options)
        self.processes.append(process)
        return process

    # platform ---------------------------------------------------------------------------------------

    def start_store(self):
        host, port = self.store.split(":")
        self.store_process = self.spawn("store", [sys.executable, os.path.join(LIB, "store.py"), host, port])
        self.wait_until(lambda: self.store_call("GET", "/v1/kv-range?path_prefix=x")[0] == 200, 10, "the store")

    def store_call(self, method, path, body=None):
        host, port = self.store.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        try:
            connection.request(method, path, json.dumps(body) if body else None)
            answer = connection.getresponse()
            data = answer.read()
            return answer.status, json.loads(data) if data else None
        finally:
            connection.close()

    def read(self, key):
        status, item = self.store_call("GET", "/v1/kv-key?key=" + key)
        return base64.b64decode(item["value"]).decode() if status == 200 else None

    def configure(self, routes):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                                "tls": False, "enforces_capacity": False, "headroom": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000}}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        status, _ = self.store_call("POST", "/operator/txn", {"put": [{"key": "op/config", "value": value}]})
        self.note(f"operator writes configuration version {self.version}: {status}")

    # workers ----------------------------------------------------------------------------------------

    def worker(self, name, generation=1, proxied=False, cpu=16000, labels=("a", "r1")):
        """Describes a worker; one that is restarted keeps its address and gets a new id."""
        known = self.workers.get(name)
        if known:
            spec = dict(known, id=f"{name}-{generation}")
        else:
            host = f"{self.net}.{100 + len(self.workers)}"
            address = f"{host}:{self.free_port(host)}"
            listed = address
            if proxied:
                listed = f"{host}:{self.free_port(host)}"
                self.proxies[name] = Proxy(listed, address)
            spec = {"id": f"{name}-{generation}", "address": address, "listed": listed, "store": self.store,
                    "service": SERVICE, "capacity": {"cpu": cpu, "mem_mb": 32768, "gpu": 0},
                    "labels": list(labels), "refuse_file": os.path.join(self.dir, name + ".unhealthy")}
        self.workers[name] = spec
        return spec

    def set_unhealthy(self, name, unhealthy):
        """Makes a worker turn starts away with 503, or start them again."""
        path = self.workers[name]["refuse_file"]
        if unhealthy:
            open(path, "w").close()
        else:
            os.remove(path)
        self.note(f"worker {name} is {'unhealthy' if unhealthy else 'healthy'}")

    def start_workers(self, name, specs):
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as file:
            json.dump({"log": self.log, "workers": specs}, file)
        return self.spawn(name, [sys.executable, os.path.join(LIB, "workers.py"), path])

    def worker_events(self, what=None, task=None):
        with open(self.log) as file:
            entries = [json.loads(line) for line in file if line.endswith("\n")]
        return [e for e in entries if what in (None, e["what"]) and (task is None or e.get("task") == task)]

    # boxes ------------------------------------------------------------------------------------------

    def start_boxes(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["box"]
        for _ in range(self.box_count):
            self.add_box()
        self.wait_until(lambda: all(self.is_ready(name) for name in self.boxes), 30, "the boxes")

    def add_box(self):
        """Starts a box on a further machine, at an address of its own; returns its name."""
        number = len(self.boxes) + 1
        ip = f"{self.net}.{10 + number}"
        name = f"frontend-z-{number}"
        front, ready, peer = (self.free_port(ip) for _ in range(3))
        fields = {"node_name": name, "zone": "z", "ip": ip, "advice": "", "bounds": BOUNDS,
                  "listen": {"front": f"{ip}:{front}", "readiness": f"{ip}:{ready}"},
                  "internal_ports": [peer, peer + 15], "platform": {"address": self.store},
                  "limits": {"cores": 1, "cpu_share": 0.75}}
        with open(os.path.join(ROOT, self.role["template"])) as file:
            template = file.read()
        settings = os.path.join(self.dir, name + ".json")
        with open(settings, "w") as file:
            file.write(render(template, fields))
        self.boxes[name] = {"ip": ip, "front": front, "ready": ready, "settings": settings}
        self.start_box(name)
        return name

    def start_box(self, name):
        box = self.boxes[name]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        environment["GAUGEHOLLOW_NODE_FILE"] = box["settings"]
        box["process"] = self.spawn(name, self.role["run"].split(), cwd=ROOT, env=environment)

    def is_ready(self, name):
        box = self.boxes[name]
        try:
            connection = http.client.HTTPConnection(box["ip"], box["ready"], timeout=1)
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def owner(self):
        """Returns the name of the box that owns the cell, or None."""
        value = self.read("gaugehollow/owner")
        return value.split("~")[0] if value else None

    # clients ----------------------------------------------------------------------------------------

    def ask(self, method, path, body=None, box=None, deadline_ms=3000):
        """Sends one client's request; returns (status, body), or (None, reason) if there is no answer."""
        running = [n for n in self.boxes if self.boxes[n]["process"].poll() is None]
        if not running:
            raise NotRun("no box is running")
        name = box or random.choice(running)
        target = self.boxes[name]
        try:
            connection = http.client.HTTPConnection(target["ip"], target["front"], timeout=deadline_ms / 1000)
            connection.request(method, path, json.dumps(body) if body else None,
                               {"Host": HOST, "Content-Type": "application/json",
                                "X-Deadline-Ms": str(deadline_ms)})
            answer = connection.getresponse()
            data = answer.read()
            result = answer.status, json.loads(data) if data else None
        except (OSError, http.client.HTTPException) as e:
            result = None, repr(e)
        self.note(f"client {method} {path} at {name}: {result[0]} {json.dumps(result[1])}")
        return result

    def submit(self, path, job):
        """Hands a job in, again under the same id after no answer, 502 or 504, as PROTOCOL.md tells."""
        self.note(f"client hands in {path}: {json.dumps(job)}")
        for _ in range(5):
            status, _ = self.ask("POST", path, job)
            if status == 200:
                return
            time.sleep(0.5)
        raise NotRun(f"{path} was not accepted")

    def wait_final(self, path, seconds):
        """Asks for a job's state until it is final or the time is over; returns the last state."""
        deadline = time.monotonic() + seconds
        while True:
            state = self.state(path)
            if state in ("completed", "failed", "cancelled", "410") or time.monotonic() > deadline:
                return state
            time.sleep(0.5)

    def ends(self, job, how):
        """Returns the ends of a job's runs that workers have listed with this outcome."""
        return [e for e in self.worker_events("end") if e["task"].startswith(job) and e["how"] == how]

    def state(self, path):
        """Asks for a job's state; returns it, "410", or None if no box answers."""
        for _ in range(4):
            status, body = self.ask("GET", path)
            if status in (200, 410):
                return body["state"] if status == 200 else "410"
            time.sleep(0.3)
        return None

    # time -------------------------------------------------------------------------------------------

    def now(self):
        return time.monotonic() - self.start_time

    @staticmethod
    def wait_until(condition, seconds, what):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                found = condition()
                if found:
                    return found
            except OSError:
                pass
            time.sleep(0.05)
        raise NotRun(f"{what}: not there after {seconds} s")

    def wait_start(self, task, number=None, seconds=20):
        """Waits for a start of a task; returns what its worker logged."""
        def found():
            starts = [e for e in self.worker_events("start", task) if number in (None, e["run"])]
            return starts[-1] if starts else None
        return self.wait_until(found, seconds, f"a start of {task}")


def route(name, prefix, attempts=2, priority=0, target_ms=250):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
            "target_latency_ms": target_ms, "priority": priority, "service": SERVICE, "max_attempts": attempts,
            "stretch": 2.2}


def job(ms, fails=0, count=1, cpu=1000, **step):
    """Returns a job of one step; its spec tells the stand-ins of workers what each run does."""
    spec = {"ms": ms, "fails": fails}
    if step.get("gang"):
        spec["gang"] = count
    return {"spec": json.dumps(spec),
            "steps": [dict({"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": ms or 1000}, **step)]}


def new_id():
    return f"{random.getrandbits(64):016x}"


def stop_running(*_):
    raise NotRun("stopped, or out of time")


def run(case, script, **options):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop_running)
    signal.alarm(MAX_SECONDS)
    code = NOT_RUN
    try:
        with Cell(os.path.dirname(os.path.abspath(case)), **options) as cell:
            code = run_in(cell, script)
    except Exception as e:  # the cell could not be set up or taken down
        code = NOT_RUN
        print(f"not run: {e!r}")
    sys.exit(code)


def run_in(cell, script):
    """Runs a script in a cell that is ended afterwards; returns the exit code."""
    code = NOT_RUN
    try:
        code = script(cell)
    except Exception as e:  # a fault of the script says nothing of the rule
        cell.note(f"not run: {e!r}")
        print(f"not run: {e!r}")
    signal.alarm(0)
    result = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case could not run"}[code]
    cell.note(result)
    print(result)
    return code
