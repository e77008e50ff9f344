"""A route gets another name and a new route gets its old one; the jobs that wait are told as pending at the new one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import cell as deployment

WAITING = 10
SETTLE_S = 8.0      # config_apply_ms 2 s, and visible_ms + 2 s = 5 s after the acceptance


async def scenario(cell, trouble):
    step = {"count": 8, "cpu": 16000, "mem_mb": 1000, "estimate_ms": 400, "long_running": True}
    if not await cell.submit("/lohu930/00000000000000f1", {"spec": "watch", "steps": [step]}):
        raise RuntimeError("the lasting job was not accepted")
    await asyncio.sleep(3)
    accepted = []
    for number in range(WAITING):
        job = "%016x" % (0xe0 + number)
        step = {"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 100}
        if await cell.submit("/recap7/" + job, {"spec": "ms=100", "steps": [step]}, first=number):
            accepted.append(job)
    config = cell.config(version=7)
    config["routes"] = [dict(route) for route in config["routes"]]
    if trouble:
        renamed = config["routes"][1]
        config["routes"].append(dict(renamed, path_prefix="/recap8/"))
        renamed["name"] = "recap-archive"
    cell.store.put("op/config", config)
    cell.record("configuration", version=7, names=",".join(r["path_prefix"] + "=" + r["name"] for r in config["routes"]))
    await asyncio.sleep(SETTLE_S)
    waiting = [job for job in accepted if not cell.runs(job)]
    if len(waiting) < WAITING:
        raise RuntimeError("not all jobs wait")
    broken = []
    for box in cell.boxes:
        status, own = await cell.request(box, "GET", "/recap7/")
        _, other = await cell.request(box, "GET", "/recap8/" if trouble else "/lohu930/")
        if status != 200:
            raise RuntimeError("the count was not answered")
        cell.record("pending", box=box.name, at_own_address=own["pending"], at_other_address=other.get("pending"))
        if own["pending"] * 2 < len(waiting):
            broken.append("MIXED: %s gives %d pending of %d" % (box.name, own["pending"], len(waiting)))
    return broken


deployment.main(scenario, boxes=3, workers=8)
