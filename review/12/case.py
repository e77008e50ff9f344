"""A worker is lost for good, and right after it the zone of the owner; the worker's lasting task stands still."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import cell as deployment

JOB = "5c0e7a21d94b36f8"
WORKERS = 10
ZONE_LOSS_AFTER_S = 0.4
REPLACED_AFTER_S = 2.0
BOUND_S = 9.0       # 6 s after its last run, and 3 s


async def scenario(cell, trouble):
    step = {"count": 6, "cpu": 3400, "mem_mb": 6200, "estimate_ms": 400, "long_running": True, "anti_affinity": 1}
    if not await cell.submit("/lohu930/" + JOB, {"spec": "watch", "steps": [step]}):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(8)
    owner = cell.owner()
    lost = next(w for w in cell.workers if w.running)
    tasks = list(lost.running)
    lost_at = time.monotonic() - cell.began
    if trouble:
        await lost.crash()
        await asyncio.sleep(ZONE_LOSS_AFTER_S)
        zone = [box for box in cell.boxes if box.zone == owner.zone]
        for box in zone:
            box.wanted = False
            box.signal(signal.SIGKILL)
        cell.record("zone lost", zone=owner.zone, boxes=",".join(box.name for box in zone), owner=owner.name)
        await asyncio.sleep(REPLACED_AFTER_S)
        for number, box in enumerate(zone):
            cell.boxes.remove(box)
            new = deployment.Box(cell, 20 + number)
            new.zone = owner.zone
            cell.boxes.append(new)
            await new.start()
    await asyncio.sleep(20)
    now = time.monotonic() - cell.began
    idle = 0.0
    for task in tasks if trouble else []:
        begun = min([at for at, f in cell.runs(JOB) if f["task"] == task and at > lost_at], default=now)
        cell.record("task", id=task, lost="%.2f" % lost_at, begun="%.2f" % begun, idle="%.2f" % (begun - lost_at))
        idle = max(idle, begun - lost_at)
    return ["LOST: a lasting task had nothing running for %.1f s" % idle] if idle > BOUND_S else []


deployment.main(scenario, boxes=7, workers=WORKERS)
