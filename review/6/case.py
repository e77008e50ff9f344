"""The only worker that may run a job crashes three times; the job is shown as failed though no run has failed."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import cell as c

ATTEMPTS = 4
WORK_MS = 4000
CRASHES = 3
AT_WORK_S = 1.5
DOWN_S = 3.0


def script(cell):
    cell.start_store()
    cell.configure([c.route("recap", "/recap/", attempts=ATTEMPTS, priority=2, target_ms=1200)])
    cell.start_workers("workers", [cell.worker(f"w{i}") for i in range(1, 10)])
    process = cell.start_workers("flaky-1", [cell.worker("flaky", labels=("big", "r2"))])
    cell.start_boxes()

    job = c.new_id()
    path, task = "/recap/" + job, job + ".0.0.0"
    cell.submit(path, c.job(WORK_MS, requires="big"))
    for crash in range(1, CRASHES + 1 if c.TROUBLE else 1):
        cell.wait_until(lambda: len(cell.worker_events("start", task)) >= crash, 25, f"start {crash}")
        time.sleep(AT_WORK_S)
        process.kill()
        cell.note(f"worker flaky crashes, after the task was at work for {AT_WORK_S} s")
        time.sleep(DOWN_S)
        process = cell.start_workers(f"flaky-{crash + 1}", [cell.worker("flaky", generation=crash + 1)])
        cell.note("worker flaky is up again at its address, under a new id")

    state = cell.wait_final(path, 30)
    failed = cell.ends(job, "failed")
    cell.note(f"state {state}; ends failed: {len(failed)}; starts: {len(cell.worker_events('start', task))}")
    if state == "failed" and len(failed) < ATTEMPTS:
        return c.BROKEN
    return c.HELD if state == "completed" else c.NOT_RUN


c.run(__file__, script)
