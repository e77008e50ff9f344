"""Workers are lost for good and the owner's machine is removed; lasting tasks stand still though there is room."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import cell as c

WORKERS = 15
TASKS = 2
REPLACED_AFTER_S = 1.0
# RULES.md, LOST: each task that lasts, from 6 s after its last run, for 3 s; these and the 4 s before them are calm
AFTER_LAST_RUN_S, CALM_BEFORE_S, STANDS_STILL_S = 6.0, 4.0, 3.0


def script(cell):
    cell.start_store()
    cell.configure([c.route("watch", "/watch/", attempts=2, priority=1, target_ms=2500)])
    processes = {f"w{i}": cell.start_workers(f"w{i}", [cell.worker(f"w{i}")]) for i in range(1, WORKERS + 1)}
    cell.start_boxes()
    cell.wait_until(cell.owner, 10, "an owner")
    time.sleep(4)

    job = c.new_id()
    tasks = [f"{job}.0.0.{index}" for index in range(TASKS)]
    cell.submit("/watch/" + job, c.job(0, count=TASKS, cpu=3400, long_running=True, anti_affinity=1))
    workers = [cell.wait_start(task)["worker"].split("-")[0] for task in tasks]
    # longer than leases of an earlier term could last
    time.sleep(16)
    if not c.TROUBLE:
        time.sleep(10)
        return c.HELD if cell.state("/watch/" + job) == "running" else c.NOT_RUN

    for worker in workers:
        processes[worker].kill()
    lost = time.monotonic()
    cell.note(f"workers {workers} are lost for good, both tasks with them")
    time.sleep(0.4)
    owner = cell.owner()
    cell.boxes[owner]["process"].kill()
    cell.note(f"the machine of {owner}, which owns the cell, is removed for good")
    time.sleep(REPLACED_AFTER_S)
    cell.note(f"{cell.add_box()} starts in its place, at another address")
    last_trouble = time.monotonic()

    bound = max(lost + AFTER_LAST_RUN_S, last_trouble + CALM_BEFORE_S) + STANDS_STILL_S
    time.sleep(24)
    broken = False
    for task in tasks:
        again = [e["at"] for e in cell.worker_events("start", task) if e["at"] > lost]
        stood_still = f"{again[0] - lost:.1f} s" if again else "for 25 s at least"
        cell.note(f"{task} ran again after {stood_still}; allowed are {bound - lost:.1f} s")
        broken |= not again or again[0] > bound
    return c.BROKEN if broken else c.HELD


c.run(__file__, script)
