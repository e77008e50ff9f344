"""The operator replaces a queue's route by one of another name; jobs accepted before are answered with 410."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import cell as c

PREFIX = "/recap/"
# config_apply_ms and visible_ms of the deployment, each with half a second to spare
CONFIG_APPLY_S = 2.5
VISIBLE_S = 3.5


def script(cell):
    cell.start_store()
    cell.configure([c.route("r-3hwrr6x", PREFIX, attempts=3, priority=2, target_ms=1200)])
    cell.start_workers("workers", [cell.worker(f"w{i}") for i in range(1, 6)])
    cell.start_boxes()
    cell.wait_until(cell.owner, 10, "an owner")

    job = c.new_id()
    cell.submit(PREFIX + job, c.job(12_000))
    cell.wait_start(job + ".0.0.0")
    time.sleep(VISIBLE_S)
    if any(answer(cell, job, box) != "running" for box in cell.boxes):
        raise c.NotRun("the job was not running before the change")

    if c.TROUBLE:
        # the same host, prefix, service and figures
        cell.configure([c.route("r-73d3zji", PREFIX, attempts=3, priority=2, target_ms=1200)])
    time.sleep(CONFIG_APPLY_S)
    found = {box: answer(cell, job, box) for box in cell.boxes}

    # The client hands the job in again, as it does now and then seconds after the 2xx, and asks once it has ended.
    status, _ = cell.ask("POST", PREFIX + job, c.job(12_000))
    time.sleep(6)
    cell.wait_until(lambda: cell.ends(job, "done"), 10, "the end of the job's run")
    time.sleep(1)
    ended = {box: answer(cell, job, box) for box in cell.boxes}
    cell.note(f"after the change: {found}; handed in again: {status}; after the run has ended done: {ended}")
    lost = "410" in found.values() or status == 200 and "410" in ended.values()
    return c.BROKEN if lost else c.HELD


def answer(cell, job, box):
    status, body = cell.ask("GET", PREFIX + job, box=box)
    return body["state"] if status == 200 else str(status)


c.run(__file__, script)
