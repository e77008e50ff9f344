"""A gang fails once; its job is shown as failed although two attempts are allowed."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import cell as c

ATTEMPTS = 2
WORK_MS = 4000
CUT_BEFORE_END_S = 0.8
CUT_S = 3.5


def script(cell):
    cell.start_store()
    cell.configure([c.route("recap", "/recap/", attempts=ATTEMPTS, priority=2, target_ms=1200)])
    cell.start_workers("workers", [cell.worker(f"w{i}", proxied=True) for i in range(1, 11)])
    cell.start_boxes()
    cell.wait_until(cell.owner, 10, "an owner")
    time.sleep(4)

    # Both members fail at the same moment of the first run, and succeed in the second one.
    job = c.new_id()
    path, first, second = "/recap/" + job, job + ".0.0.0", job + ".0.0.1"
    cell.submit(path, c.job(WORK_MS, fails=1, count=2, gang=True, anti_affinity=1))
    cell.wait_start(first)
    start = cell.wait_start(second)
    if c.TROUBLE:
        disturb(cell, first, start)

    state = cell.wait_final(path, 30)
    failed_runs = {end["run"] for end in cell.ends(job, "failed")}
    cell.note(f"state {state}; runs of the gang that failed: {sorted(failed_runs)} of {ATTEMPTS} allowed")
    if state == "failed" and len(failed_runs) < ATTEMPTS:
        return c.BROKEN
    return c.HELD if state == "completed" else c.NOT_RUN


def disturb(cell, first, start):
    """Cuts off the second member's worker before the gang fails, and kills the owner once it took note of that."""
    worker = start["worker"].split("-")[0]
    time.sleep(max(0.0, start["at"] + WORK_MS / 1000 - CUT_BEFORE_END_S - time.monotonic()))
    cut = time.monotonic()
    cell.proxies[worker].cut()
    cell.note(f"worker {worker} is cut off from all boxes")
    cell.wait_until(lambda: cell.worker_events("noted", first), 4, "the first member's end taken note of")
    owner = cell.owner()
    cell.boxes[owner]["process"].kill()
    cell.note(f"{owner}, which owns the cell, is killed")
    cell.wait_until(lambda: cell.owner() not in (None, owner), 10, "another owner")
    cell.note(f"{cell.owner()} owns the cell")
    time.sleep(max(0.0, cut + CUT_S - time.monotonic()))
    cell.proxies[worker].heal()
    cell.note(f"worker {worker} is reached again after {time.monotonic() - cut:.1f} s")


c.run(__file__, script)
