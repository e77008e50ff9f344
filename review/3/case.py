"""A write of the counts of waiting jobs that the store carries out late replaces newer counts for good."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from cell import CannotRun, Cell, run_case  # noqa: E402

WORKERS = 4
JOBS = 16
LATE_S = 4.0
CONTACT_S = 3.0
VISIBLE_S = 3.0
PENDING_AGE_S = 2.0
JUDGED_S = 6.0
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}


def work(task, run, spec):
    return 100_000, "done"


def job_id(number):
    return f"5c0e7a21d94b{number:04x}"


def submit(cell, number, body):
    status, _ = cell.boxes[number % len(cell.boxes)].call("POST", Cell.PREFIX + job_id(number), body)
    if status != 200:
        raise CannotRun(f"job {number} was not accepted")


def case(cell, record, trouble):
    cell.configure()
    workers = [cell.add_worker(f"i-7f3a91c{i}", work) for i in range(WORKERS)]
    cell.start()
    submit(cell, 0, {"spec": "lasts", "steps": [{"count": WORKERS, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 500,
                                                 "long_running": True}]})
    cell.await_true("the tasks that last fill the workers", lambda: all(w.running for w in workers), 10)
    time.sleep(1.5)
    late = threading.Event()

    def on_txn(puts, removes):
        if trouble and not late.is_set() and any(put["key"] == "gaugehollow/summary" for put in puts):
            late.set()
            return LATE_S
        return None

    cell.store.on_txn = on_txn
    submit(cell, 1, {"spec": "waits", "steps": [STEP]})
    if trouble and not late.wait(3):
        raise CannotRun("the owner wrote no counts")
    for number in range(2, JOBS + 1):
        submit(cell, number, {"spec": "waits", "steps": [STEP]})
    time.sleep(max(LATE_S + CONTACT_S, VISIBLE_S + PENDING_AGE_S) + 1)
    return judge(cell, record, workers)


def judge(cell, record, workers):
    """Asks each box for the count while nothing has been disturbed for longer than contact_ms."""
    finding = None
    end = time.monotonic() + JUDGED_S
    while time.monotonic() < end:
        begun = [number for number in range(1, JOBS + 1)
                 if any(task.startswith(job_id(number)) for worker in workers for task in worker.running)]
        waiting = JOBS - len(begun)
        for box in cell.boxes:
            status, answer = box.call("GET", Cell.PREFIX)
            if status == 200 and answer["pending"] * 2 < waiting:
                finding = f"MIXED: {box.name} gives {answer['pending']} as pending, {waiting} jobs have not begun"
                record(finding)
        time.sleep(1)
    return finding


run_case(case)
