"""Stand-in of the platform's store, as PROTOCOL.md tells it: items, watches, transactions, leases.

It runs in the process of the script. Runners, which are processes of their own, write their entries
through `/standin/beat`; an entry is removed after three beats of silence, as the page says.
"""

import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    def __init__(self, address, heartbeat_s=1.2):
        self.address = address
        self.heartbeat_s = heartbeat_s
        self.items = {}
        self.history = []
        self.revision = 100
        self.era = None
        self.waiters = set()
        self.beats = {}
        self.leases = {}
        self.next_lease = 1
        self.on_change = None

    # Changes

    def put(self, key, value, lease=0):
        if not isinstance(value, (bytes, bytearray)):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self._changed({**item})
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self._changed({"key": key, "revision": self.revision, "tombstone": True})

    def _changed(self, event):
        self.history.append(event)
        if self.on_change:
            self.on_change(event)
        for waiter in list(self.waiters):
            if not waiter.done():
                waiter.set_result(None)

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    # Copies, as in the drill that the news page tells

    def copy(self):
        return {key: dict(item) for key, item in self.items.items()}, self.revision

    def restore(self, copy, era):
        items, revision = copy
        self.items = {key: dict(item) for key, item in items.items()}
        self.revision = revision
        self.history = [event for event in self.history if event["revision"] <= revision]
        self.leases = {}
        self.era = era
        for waiter in list(self.waiters):
            if not waiter.done():
                waiter.set_result(None)

    # Runners

    def beat(self, name, entry):
        """An entry that a runner wrote. Nothing but `sequence` changing is no change of the entry."""
        self.beats[name] = time.monotonic()
        self.put("servers/" + name, entry)

    def leave(self, name):
        self.beats.pop(name, None)
        self.remove("servers/" + name)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, at in list(self.beats.items()):
                if now - at > 3 * self.heartbeat_s:
                    self.leave(name)
            for lease, (end, keys) in list(self.leases.items()):
                if now > end:
                    del self.leases[lease]
                    for key in keys:
                        self.remove(key)

    # HTTP

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)
        self.expiry = asyncio.ensure_future(self.expire())

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split()
                length = 0
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    name, _, value = header.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                if self.era is not None:
                    head += f"Store-Era: {self.era}\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        if path == "/standin/beat":
            data = json.loads(body)
            if data.get("gone"):
                self.leave(data["name"])
            else:
                self.beat(data["name"], data["entry"])
            return 200, {}
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "truncated": len(keys) > 500, "storeRevision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, [])
            return 200, {"lease": lease, "ttlMs": ttl}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        era = self.era
        while True:
            if self.era != era or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait([waiter], timeout=left)
            finally:
                self.waiters.discard(waiter)

    def commit(self, body):
        rows = body.get("expectedRevision") or []
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((item["revision"] if item else 0) != row["revision"]
               for row in rows for item in [current[row["key"]]]):
            return 412, {"items": [item for item in current.values() if item]}
        for row in body.get("writes") or []:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes") or []:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            if row.get("lease"):
                self.leases[row["lease"]][1].append(row["key"])
        for key in body.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}
