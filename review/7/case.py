"""A worker turns starts away; the jobs that wait for it are missing from the queue's count of pending jobs."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import cell as c

JOBS = 10
UNHEALTHY_S = 6.5
# visible_ms + 2 s: jobs accepted longer ago have to be counted
COUNTED_AFTER_S = 5.0


def script(cell):
    cell.start_store()
    cell.configure([c.route("recap", "/recap/", attempts=3, priority=2, target_ms=1200)])
    cell.start_workers("workers", [cell.worker(f"w{i}") for i in range(1, 10)]
                       + [cell.worker("sick", labels=("big", "r2"))])
    cell.start_boxes()
    cell.wait_until(cell.owner, 10, "an owner")
    time.sleep(4)

    begin = time.monotonic()
    if c.TROUBLE:
        cell.set_unhealthy("sick", True)
    ids = [c.new_id() for _ in range(JOBS)]
    for job in ids:
        cell.submit("/recap/" + job, c.job(20_000, requires="big"))
    accepted = time.monotonic()
    time.sleep(COUNTED_AFTER_S + 0.1)

    answers, wrong = 0, 0
    while time.monotonic() < begin + UNHEALTHY_S - 0.1:
        for box in cell.boxes:
            asked = time.monotonic()
            status, body = cell.ask("GET", "/recap/", box=box)
            # those that had not begun when the answer was here, accepted more than 5 s before it was asked for
            begun = {e["task"].split(".")[0] for e in cell.worker_events("start")}
            waiting = [job for job in ids if job not in begun] if asked > accepted + COUNTED_AFTER_S else []
            if status == 200:
                answers += 1
                if 2 * body["pending"] < len(waiting):
                    wrong += 1
                    cell.note(f"{box} gives {body['pending']} pending jobs; {len(waiting)} have not begun")
        time.sleep(0.1)
    if c.TROUBLE:
        cell.set_unhealthy("sick", False)
    cell.note(f"{wrong} of {answers} answers gave fewer than half")
    if not answers:
        return c.NOT_RUN
    return c.BROKEN if wrong else c.HELD


c.run(__file__, script)
