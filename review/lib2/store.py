"""Stand-in of the platform's store: store.py HOST PORT. Speaks the kv calls of PROTOCOL.md."""
import asyncio
import json
import sys
import time
from urllib.parse import parse_qs

import wire

HISTORY_S = 20.0
PAGE = 500


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 0
        self.events = []
        self.forgotten = 0
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()

    async def apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            made = self.items[key]["made"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
            self.items[key] = item
            self.events.append((time.monotonic(), item))
        for key in removals:
            if key in self.items:
                del self.items[key]
                self.events.append((time.monotonic(), {"key": key, "revision": self.revision, "gone": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (end, _) in self.leases.items() if end < now]:
                await self.end_lease(lease)
            while self.events and self.events[0][0] < now - HISTORY_S:
                self.forgotten = self.events.pop(0)[1]["revision"]

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    def grant(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return self.next_lease

    async def txn(self, body, operator):
        expected = body.get("expected_rev") or []
        keys = [row["key"] for row in body.get("put") or []] + list(body.get("remove") or [])
        if not operator and any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, None
        if any(self.items.get(r["key"], {}).get("revision", 0) != r["revision"] for r in expected):
            return 412, {"items": [self.items[r["key"]] for r in expected if r["key"] in self.items]}
        puts = [(r["key"], r["value"], r.get("lease", 0)) for r in body.get("put") or []]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, None
        return 200, {"revision": await self.apply(puts, body.get("remove") or [])}

    async def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.forgotten:
                return 410, None
            found = [e for _, e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": max(after, self.revision)}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, method, path, query, headers, body):
        args = {k: v[0] for k, v in parse_qs(query).items()}
        data = json.loads(body) if body else {}
        if path == "/v1/kv-key":
            item = self.items.get(args["key"])
            return (200, dict(item, at=self.revision)) if item else (404, None)
        if path == "/v1/kv-range":
            prefix, after = args.get("path_prefix", ""), args.get("depends_on", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:PAGE]]
            return 200, {"items": page, "more": len(keys) > PAGE, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(args["path_prefix"], int(args["depends_on"]), int(args["wait_ms"]))
        if path == "/v1/kv-txn":
            return await self.txn(data, False)
        if path == "/operator/txn":
            return await self.txn(data, True)
        if path == "/v1/kv-lease" or path == "/operator/lease":
            return 200, {"lease": self.grant(data["ttl_ms"]), "ttl_ms": data["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, None


async def main():
    store = Store()
    server = await wire.serve(sys.argv[1], int(sys.argv[2]), store.handle)
    print("ready", flush=True)
    await asyncio.gather(server.serve_forever(), store.expire())


asyncio.run(main())
