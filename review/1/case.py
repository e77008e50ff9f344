"""An owner that was frozen counts the answer to an old renewal as a new confirmation of its term."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from cell import CannotRun, Cell, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = JOB + ".0.0.0"
FREEZE_S = 4.0
CUT_S = 16.5
ENTRY_LAPSE_S = 4.5
TASK_MS = 60_000


def work(task, run, spec):
    return TASK_MS, "done"


def case(cell, record, trouble):
    cell.configure(max_attempts=2)
    cell.start()
    owner = cell.owner()
    near = cell.add_worker("i-7f3a91c2", work, zone=owner.zone)
    cell.await_true("the owner knows the worker of its zone", lambda: near.fence > 0, 10)
    status, _ = owner.call("POST", Cell.PREFIX + JOB, {"spec": "one task", "steps": [
        {"count": 1, "cpu": 4000, "mem_mb": 1000, "estimate_ms": TASK_MS}]})
    if status != 200:
        raise CannotRun("the job was not accepted")
    cell.await_true("the task runs", lambda: TASK in near.running, 10)
    far = cell.add_worker("i-59955d2b", work, zone=next(b.zone for b in cell.boxes if b.zone != owner.zone))
    cell.await_true("the owner knows the other worker", lambda: far.fence > 0, 10)
    time.sleep(2)
    if cell.owner() is not owner:
        raise CannotRun("the owner changed before the disruption")
    cut = disturb(cell, record, owner, near, far) if trouble else threading.Event()
    end = time.monotonic() + CUT_S + 3
    begin = None
    while time.monotonic() < end:
        if TASK in near.running and TASK in far.running:
            begin = begin or time.monotonic()
            last = time.monotonic()
        time.sleep(0.01)
    cut.clear()
    if trouble and cell.owner() is owner:
        raise CannotRun("no other box took over")
    return begin and f"TWICE: {TASK} ran on {near.name} and {far.name} at once for {last - begin:.2f} s"


def disturb(cell, record, owner, near, far):
    """Freezes the owner as the answer to its renewal is on its way, and cuts its zone off."""
    cut, frozen = threading.Event(), threading.Event()
    lease = cell.store.items["gaugehollow/owner"]["lease"]
    near_ips = {box.ip for box in cell.boxes if box.zone == owner.zone}
    cell.store.is_silent = lambda box: cut.is_set() and box == owner.name
    near.is_silent = lambda ip: cut.is_set() and ip not in near_ips
    far.is_silent = lambda ip: cut.is_set() and ip in near_ips

    def on_renewal(box, renewed):
        if box == owner.name and renewed == lease and not frozen.is_set():
            frozen.set()
            os.kill(owner.process.pid, signal.SIGSTOP)
            record(f"{owner.name}: frozen; the answer to its renewal is on its way")
            threading.Timer(0.05, begin_cut).start()

    def begin_cut():
        cut.set()
        record(f"zone {owner.zone} is cut off: {owner.name} and {near.name} on one side")
        threading.Timer(ENTRY_LAPSE_S, lambda: cell.store.remove("servers/" + near.name)).start()
        threading.Timer(FREEZE_S - 0.05, wake).start()
        threading.Timer(CUT_S, heal).start()

    def wake():
        os.kill(owner.process.pid, signal.SIGCONT)
        record(f"{owner.name}: wakes up")

    def heal():
        cut.clear()
        near.register()
        record(f"zone {owner.zone} is back")

    cell.store.on_renewal = on_renewal
    if not frozen.wait(5):
        raise CannotRun("the owner did not renew its lease")
    return cut


run_case(case)
