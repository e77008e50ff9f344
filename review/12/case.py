"""A scheduled job is handed in after its times have passed; while it runs the cell stops for good."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import cell as deployment
import checks

SCHEDULED = "00000000000000cc"
TIMES = 3600            # once a second for an hour
TASKS = 4
INTERVAL_MS = 1000
WATCH_S = 50


async def scenario(cell, trouble):
    needs, accepted = {}, {}

    async def small(number):
        job = "%016x" % (0xabc000 + number)
        needs[job] = (500, 64)
        body = {"spec": "ms=300", "steps": [{"count": 3, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}]}
        if await cell.submit("/lohu930/" + job, body, tries=6, first=number):
            accepted[job] = time.monotonic() - cell.began

    for i in range(5):
        await small(i)
    await asyncio.sleep(1)
    needs[SCHEDULED] = (50, 1)
    times = TIMES if trouble else 20
    body = {"spec": "ms=10", "steps": [{"count": TASKS, "cpu": 50, "mem_mb": 1, "estimate_ms": 10}],
            "repeat_count": times, "interval_ms": INTERVAL_MS,
            "start_at_ms": int(time.time() * 1000) - times * INTERVAL_MS}
    if not await cell.submit("/recap7/" + SCHEDULED, body):
        raise RuntimeError("the scheduled job was not accepted")
    end = time.monotonic() + WATCH_S
    calls, number = [], 100
    while time.monotonic() < end:
        calls.append(asyncio.create_task(small(number)))
        number += 1
        await asyncio.sleep(1)
    await asyncio.gather(*calls)
    now = time.monotonic() - cell.began
    usage = checks.Usage(cell, needs)
    broken = []
    for job, at in accepted.items():
        begun = min([t for t, _ in cell.runs(job)], default=now)
        idle = usage.longest_idle(job, cell.workers, at, begun)
        cell.record("job", id=job, accepted="%.1f" % at, begun="%.1f" % begun if cell.runs(job) else "never",
                    idle_with_room_s=idle)
        if idle > 3:
            broken.append("LOST: %s had nothing running for %.1f s" % (job, idle))
    cell.record("owners", terms=sum(open(box.file[:-5] + ".log").read().count("OWNER_BEGAN") for box in cell.boxes))
    return broken


deployment.main(scenario, boxes=3, workers=8)
