"""Stand-in for the platform's metadata store: rows, transactions and feeds."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http1

READ_ONLY = ("op", "servers")


class Store:
    def __init__(self, host, port, latency_s=0.004):
        self.host = host
        self.port = port
        self.latency_s = latency_s
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.calls = 0
        # While it is silent, calls are neither performed nor answered.
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def write_by_operator(self, table, key, value):
        """The operator's write, acknowledged when this returns."""
        self.apply([{"table": table, "part": "", "key": key, "value": value}], [])
        return time.monotonic()

    def apply(self, upserts, removals):
        self.version += 1
        for row in upserts:
            name = (row["table"], row.get("part", ""), row["key"])
            self.rows[name] = (row["value"], self.version)
            self.history.append((self.version, name, False))
        for row in removals:
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, name, True))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "schemaVersion": version,
        }

    def about(self):
        return {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                self.calls += 1
                await asyncio.sleep(self.latency_s)
                answer = None if self.silent else await self.answer(request)
                if answer is None or self.silent:
                    # A connection on which an answer is lost delivers nothing further.
                    await reader.read(-1)
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        url = urlsplit(request.target)
        fields = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx":
            return self.transaction(json.loads(request.body))
        if url.path == "/v1/rows-get":
            return self.get(fields)
        if url.path == "/v1/rows-feed":
            return await self.feed(fields)
        if url.path == "/v1/rows-parts":
            parts = sorted({n[1] for n in self.rows if n[0] == fields["table"]})
            return http1.json_response(200, {"parts": parts, **self.about()})
        return http1.json_response(404, {})

    def transaction(self, body):
        upserts = body.get("upserts", [])
        removals = body.get("remove", [])
        if any(row["table"] in READ_ONLY for row in upserts + removals):
            return http1.json_response(403, {})
        expected = body.get("expected", [])
        names = [(row["table"], row.get("part", ""), row["key"]) for row in expected]
        holds = all(
            self.rows.get(name, (None, 0))[1] == row["schemaVersion"]
            for name, row in zip(names, expected)
        )
        if not holds:
            rows = [self.row(name) for name in names if name in self.rows]
            return http1.json_response(412, {"rows": rows, **self.about()})
        self.apply(upserts, removals)
        return http1.json_response(200, self.about())

    def get(self, fields):
        limit = min(int(fields.get("limit", 500)), 500)
        names = sorted(
            n
            for n in self.rows
            if n[0] == fields["table"]
            and n[1] == fields.get("part", "")
            and n[2] >= fields.get("from", "")
            and ("target" not in fields or n[2] < fields["target"])
        )
        rows = [self.row(name) for name in names[:limit]]
        return http1.json_response(
            200, {"rows": rows, "hasMore": len(names) > limit, **self.about()}
        )

    async def feed(self, fields):
        after = int(fields["after"])
        end = time.monotonic() + min(int(fields.get("waitMs", 0)), 30000) / 1000

        def changes():
            newest = {}
            for version, name, deleted in self.history:
                if version > after and name[0] == fields["table"]:
                    newest[name] = (version, deleted)
            result = []
            for name, (version, deleted) in sorted(newest.items(), key=lambda i: i[1]):
                if deleted:
                    table, part, key = name
                    result.append(
                        {
                            "table": table,
                            "part": part,
                            "key": key,
                            "deleted": True,
                            "schemaVersion": version,
                        }
                    )
                else:
                    result.append(self.row(name))
            return result

        while True:
            rows = changes()
            left = end - time.monotonic()
            if rows or left <= 0:
                return http1.json_response(200, {"rows": rows, **self.about()})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def columns(names, entries):
    return {"columns": names, "rows": [[one.get(n) for n in names] for one in entries]}


def config_value(version, routes, services, limits=None):
    """A configuration in the project's shape, as `op/config` holds it."""
    route_fields = [
        "name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs",
        "priority", "trafficSplit", "retryAttempts", "service",
    ]
    service_fields = [
        "name", "healthCheckPath", "maxConnections", "protocol", "tls",
        "sharded", "warmupS", "grants",
    ]
    document = {
        "version": f"{version:08x}",
        "routes": columns(route_fields, routes),
        "services": columns(service_fields, services),
        "limits": limits
        or {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return base64.b64encode(json.dumps(document).encode()).decode()
