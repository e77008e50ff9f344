"""Stand-ins of workers: workers.py FILE, where FILE holds the workers of this process as JSON.

Each run's spec is a JSON text: {"ms": time of work, "fails": N}. The first N runs of a task end "failed",
later ones "done"; "ms": 0 means that the task lasts. Each worker appends what it does to the file "log", one JSON object a line, with the system's steady clock.
"""
import asyncio
import base64
import json
import os
import sys
import time

import wire

HOLD_MAX_MS = 10_000
GANG_TIMEOUT_MS = 3_000
STOP_S = 0.05
BEAT_S = 1.5


class Gangs:
    """What the members of gangs in this process know of each other."""

    def __init__(self):
        self.members = {}

    def key(self, run):
        return run.step, run.number

    def join(self, run):
        group = self.members.setdefault(self.key(run), {})
        group[run.task] = run
        if len(group) == run.work["gang"]:
            for member in group.values():
                member.begin()

    def ended(self, run):
        group = self.members.get(self.key(run), {})
        group.pop(run.task, None)
        return list(group.values())


class Run:
    def __init__(self, worker, task, number, spec):
        self.worker, self.task, self.number = worker, task, number
        self.step = task.rsplit(".", 1)[0]
        self.work = json.loads(spec)
        self.arrived = time.monotonic()
        self.started = None
        if not self.work.get("gang"):
            self.begin()

    def begin(self):
        self.started = time.monotonic()

    def outcome(self):
        return "failed" if self.number <= self.work["fails"] else "done"

    def percent(self):
        if self.started is None:
            return 0
        if not self.work["ms"]:
            return 100
        return min(100, int((time.monotonic() - self.started) * 100_000 / self.work["ms"]))

    def due(self):
        return (self.started is not None and self.work["ms"]
                and (time.monotonic() - self.started) * 1000 >= self.work["ms"])


class Worker:
    def __init__(self, spec, log, gangs):
        self.spec, self.log_file, self.gangs = spec, log, gangs
        self.id = spec["id"]
        self.clock_start = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running, self.ends, self.highest = {}, [], {}
        self.next_end = 1
        self.seq = 0
        self.changed = asyncio.Event()
        self.refuse_file = spec["refuse_file"]

    def log(self, what, **fields):
        self.log_file.write(json.dumps(dict(at=time.monotonic(), worker=self.id, what=what, **fields)) + "\n")
        self.log_file.flush()

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 100_000

    def end(self, run, how):
        self.running.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.log("end", task=run.task, run=run.number, how=how, n=self.next_end)
        self.next_end += 1
        self.changed.set()
        if run.work.get("gang"):
            others = self.gangs.ended(run)
            for other in others:
                if how == "done":
                    other.worker.end_gang_member(other, "done")
                elif other.due():
                    other.worker.end_gang_member(other, other.outcome())
                else:
                    other.worker.end_gang_member(other, "broken")

    def end_gang_member(self, run, how):
        self.gangs.ended(run)
        if self.running.get(run.task) is run:
            self.end(run, how)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.deadline and self.clock() > self.deadline:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                if self.running.get(run.task) is not run:
                    continue
                if run.due():
                    self.end(run, run.outcome())
                elif run.started is None and (time.monotonic() - run.arrived) * 1000 > GANG_TIMEOUT_MS:
                    self.end(run, "alone")

    async def beat(self):
        lease = None
        while True:
            try:
                if lease is None:
                    _, granted = await wire.call(self.spec["store"], "POST", "/operator/lease",
                                                 {"ttl_ms": int(3 * BEAT_S * 1000)})
                    lease = granted["lease"]
                    entry = {"service": self.spec["service"], "address": self.spec["listed"],
                             "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                             "capacity": self.spec["capacity"], "labels": self.spec["labels"],
                             "clock_ms": self.clock(), "seq": self.seq}
                    value = base64.b64encode(json.dumps(entry).encode()).decode()
                    await wire.call(self.spec["store"], "POST", "/operator/txn",
                                    {"put": [{"key": "servers/" + self.id, "value": value, "lease": lease}]})
                status, _ = await wire.call(self.spec["store"], "POST", f"/v1/kv-keep/{lease}")
                lease = lease if status == 200 else None
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(BEAT_S / 2)

    def accept(self, data):
        """Takes the fencing token and the lease of an order; returns whether its token is too low."""
        token = data.get("fencing_token", 0)
        if token < self.fence:
            return False
        self.fence = token
        if data.get("deadline_ms"):
            self.deadline = max(self.deadline, min(data["deadline_ms"], self.clock() + HOLD_MAX_MS))
        return True

    def conflict(self, reason, data):
        if "task" in data:
            self.log("rejected", task=data["task"], run=data.get("run"), reason=reason)
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def is_refusing(self):
        """Whether the worker is unhealthy and turns starts away; tells nobody of it."""
        return os.path.exists(self.refuse_file)

    def start(self, data):
        if self.is_refusing():
            self.log("rejected", task=data["task"], run=data["run"], reason="503")
            return 503, None
        if not self.accept(data):
            return self.conflict("fence", data)
        if data["deadline_ms"] <= self.clock():
            return self.conflict("late", data)
        task, number = data["task"], data["run"]
        current = self.running.get(task)
        if current and current.number == number:
            return 200, {"clock_ms": self.clock()}
        if self.highest.get(task, 0) >= number or current:
            return self.conflict("old", data)
        run = Run(self, task, number, data["spec"])
        self.running[task] = run
        self.log("start", task=task, run=number, fence=data["fencing_token"])
        if run.work.get("gang"):
            self.gangs.join(run)
        return 200, {"clock_ms": self.clock()}

    async def stop(self, data):
        if not self.accept(data):
            return self.conflict("fence", data)
        task, number = data["task"], data["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            async def finish():
                await asyncio.sleep(STOP_S)
                if self.running.get(task) is run:
                    self.end(run, "stopped")
            asyncio.get_running_loop().create_task(finish())
        return 200, {"clock_ms": self.clock()}

    async def hold(self, data):
        if not self.accept(data):
            return self.conflict("fence", data)
        seen = data.get("last_seen", 0)
        for end in [e for e in self.ends if e[0] <= seen]:
            self.ends.remove(end)
            self.log("noted", task=end[1], run=end[2], how=end[3], n=end[0])
        deadline = time.monotonic() + data.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < deadline:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        rows = [[r.task, r.number, "", r.percent(), 1.0] for r in self.running.values()]
        return 200, {"clock_ms": self.clock(), "running": rows, "exit": self.ends[:500]}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        data = json.loads(body) if body else {}
        if path == "/v1/run-start":
            return self.start(data)
        if path == "/v1/run-stop":
            return await self.stop(data)
        if path == "/v1/hold":
            return await self.hold(data)
        return 200, {"clock_ms": self.clock()}


async def main():
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    log, gangs, tasks = open(settings["log"], "a"), Gangs(), []
    for spec in settings["workers"]:
        worker = Worker(spec, log, gangs)
        host, _, port = spec["address"].rpartition(":")
        server = await wire.serve(host, int(port), worker.handle)
        tasks += [server.serve_forever(), worker.work(), worker.beat()]
        worker.log("up", address=spec["address"])
    await asyncio.gather(*tasks)


asyncio.run(main())
