"""Stand-ins for the hosting platform, its store, instances and clients.

Everything listens on loopback addresses, a machine an address, and speaks what
PROTOCOL.md and DEPLOY.md say. Where those pages are silent, the stand-ins
behave like a sound store, instance or client. The daemons under test are
separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/platform/apricotstiled-platform")
PREFIX = "X-Apricotstile-"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the kernel end a daemon when the script ends, even by SIGKILL."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """The first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(ip, port, method, path, body=b"", timeout=1.0):
    """One exchange on a connection of its own: status and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            headers = [("Host", f"{ip}:{port}")]
            if body:
                headers.append(("Content-Type", "application/json"))
            writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            first, answer_headers = await read_head(reader)
            return int(first.split()[1]), await read_body(reader, answer_headers)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Store:
    """The platform's metadata store: rows, conditional writes and a feed."""

    latency = 0.004

    def __init__(self, ip, record):
        self.ip = ip
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.start = time.monotonic()
        self.down = False

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def write(self, upserts, remove=()):
        """Applies a transaction; returns its version."""
        self.version += 1
        for row in upserts:
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = (row["value"], self.version)
            self.history.append((self.version, key, False))
        for row in remove:
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows.pop(key, None)
            self.history.append((self.version, key, True))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value, part=""):
        if isinstance(value, str):
            value = value.encode()
        text = base64.b64encode(value).decode()
        return self.write([{"table": table, "part": part, "key": key, "value": text}])

    def row(self, key, deleted=False):
        table, part, name = key
        result = {"table": table, "part": part, "key": name}
        value, version = self.rows.get(key, ("", 0))
        if deleted:
            result["deleted"] = True
        else:
            result["value"] = value
        result["schemaVersion"] = version
        return result

    def stamp(self):
        now = int((time.monotonic() - self.start) * 1000)
        return {"schemaVersion": self.version, "nowMs": now}

    def transact(self, body):
        work = json.loads(body)
        for row in work.get("upserts", []) + work.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        failed = False
        current = []
        for row in work.get("expected", []):
            key = (row["table"], row.get("part", ""), row["key"])
            failed = failed or self.rows.get(key, ("", 0))[1] != row["schemaVersion"]
            if key in self.rows:
                current.append(self.row(key))
        if failed:
            return 412, {"rows": current, **self.stamp()}
        self.write(work.get("upserts", []), work.get("remove", []))
        return 200, self.stamp()

    async def answer(self, method, path, query, body):
        if path == "/v1/rows-tx":
            return self.transact(body)
        table = query.get("table", "")
        if path == "/v1/rows-get":
            keys = sorted(
                key
                for key in self.rows
                if key[0] == table
                and key[1] == query.get("part", "")
                and key[2] >= query.get("from", "")
                and ("target" not in query or key[2] < query["target"])
            )
            most = min(500, int(query.get("limit", "500")))
            rows = [self.row(key) for key in keys[:most]]
            return 200, {"rows": rows, "hasMore": len(keys) > most, **self.stamp()}
        if path == "/v1/rows-feed":
            after = int(query.get("after", "0"))
            end = time.monotonic() + min(30.0, int(query.get("waitMs", "0")) / 1000)
            while True:
                news = [one for one in self.history if one[0] > after and one[1][0] == table]
                left = end - time.monotonic()
                if news or left <= 0:
                    rows = [
                        self.row(key, deleted) | {"schemaVersion": version}
                        for version, key, deleted in news
                    ]
                    return 200, {"rows": rows, **self.stamp()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    async def serve(self, reader, writer):
        from urllib.parse import parse_qsl, urlsplit

        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                parts = urlsplit(target)
                await asyncio.sleep(self.latency)
                if self.down:
                    writer.close()
                    return
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                status, result = await self.answer(method, parts.path, query, body)
                text = json.dumps(result).encode()
                kind = [("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status} Status", kind, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Machine:
    """A machine of the platform with its daemon's process."""

    def __init__(self, world, name, ip, zone, region, service):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.service = service
        self.process = None
        self.bootstrap = True
        self.ends = []
        self.expected_end = False
        self.starts = 0
        self.keep_running = True

    def settings(self):
        bounds = self.world.bounds
        ports = self.world.ports
        return {
            "host": {
                "name": self.name,
                "failure_domain": self.zone,
                "region": self.region,
                "link_mbps": 1000.0,
                "memory_mb": self.world.memory_mb,
            },
            "listen": {
                "callers": f"{self.ip}:{ports['outbound']}",
                "peers": f"{self.ip}:{ports['peers']}",
                "readiness": f"{self.ip}:{ports['ready']}",
                "heartbeats": f"{self.ip}:{ports['control']}",
                "metrics": f"{self.ip}:{ports['metrics']}",
            },
            "upstream": {
                "address": f"{self.ip}:{ports['application']}",
                "service": self.service,
                "heartbeat_ms": self.world.heartbeat_ms,
                "drain_timeout_ms": bounds["drainTimeoutMs"],
                "longest_hold_ms": bounds["maxHoldMs"],
            },
            "retries": {
                "ratio": bounds["retryBudgetRatio"],
                "extra": bounds["budgetExtraRetries"],
                "window_s": bounds["budgetWindowS"],
            },
            "stop": {"grace_s": bounds["gracePeriodS"]},
            "store": f"{self.world.store.ip}:{self.world.store.port}",
            "start": "first" if self.bootstrap else "again",
        }

    async def run(self):
        """Starts the process, and again after a short delay whenever it ends."""
        while self.keep_running:
            path = os.path.join(self.world.folder, f"{self.name}.json")
            with open(path, "w") as file:
                json.dump(self.settings(), file)
            env = {"PATH": os.environ["PATH"], "HOME": self.world.folder}
            env["APRICOTSTILE_CONFIG"] = path
            log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a")
            self.process = await asyncio.create_subprocess_exec(
                DAEMON,
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
            log.close()
            self.starts += 1
            self.world.record(f"platform: {self.name} starts, pid {self.process.pid}")
            status = await self.process.wait()
            self.bootstrap = False
            if not self.keep_running:
                return
            self.world.record(f"platform: {self.name} ended with status {status}")
            self.ends.append((self.world.record.now(), status, self.expected_end))
            self.expected_end = False
            await asyncio.sleep(0.5)

    def kill(self, number):
        self.expected_end = True
        self.process.send_signal(number)

    def memory_mb(self):
        """Memory that the process has of its own now, in MB; not its code."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0


class Instance:
    """A sound instance of a service on a machine."""

    slots = 14
    queue = 56

    def __init__(self, machine, work_s=0.05, keyed=False, crashes_on=None):
        self.machine = machine
        self.world = machine.world
        self.work_s = work_s
        self.keyed = keyed
        self.crashes_on = crashes_on
        self.writers = set()
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.holds = []
        self.holds_until = 0.0
        self.released = []
        self.running = True
        self.read_pace = None
        self.beat_statuses = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.world.ports["application"], limit=1 << 16
        )
        self.beats = asyncio.create_task(self.beat())

    def description(self):
        result = {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{self.world.ports['application']}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.keyed:
            now = time.monotonic()
            held = self.holds if now < self.holds_until else []
            result["holds"] = [row[:3] for row in held]
            result["released"] = self.released
        return result

    async def beat(self):
        while self.running:
            self.sequence += 1
            body = json.dumps(self.description()).encode()
            sent = time.monotonic()
            pause = self.world.heartbeat_ms / 1000
            try:
                status, answer = await call(
                    self.machine.ip,
                    self.world.ports["control"],
                    "POST",
                    f"/v1/Instances.Heartbeat/{self.id}",
                    body,
                )
                self.beat_statuses.append(status)
                if status == 200 and self.keyed and self.take_grants(answer, sent):
                    pause = 0.1
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.beat_statuses.append(0)
            await asyncio.sleep(max(0.02, pause - (time.monotonic() - sent)))

    def take_grants(self, answer, sent):
        """Takes the answer's keys; returns whether another beat is due at once."""
        self.released = []
        grants = json.loads(answer or b"{}")
        if "holds" not in grants:
            return False
        kept = {(row[0], row[1]) for row in grants["holds"]}
        for row in self.holds:
            if (row[0], row[1]) not in kept:
                self.released.append([row[0], row[1], f"{random.getrandbits(64):016x}"])
        self.holds = grants["holds"]
        self.holds_until = sent + grants["holdMs"] / 1000
        return bool(self.released)

    def holds_key(self, key):
        return time.monotonic() < self.holds_until and any(
            row[0] <= key <= row[1] for row in self.holds
        )

    async def leave(self, seconds):
        """Deregisters first, as some instances do; serves on for `seconds` after
        the acknowledgement, with heartbeats as before, and exits. Returns when
        it was acknowledged, or None if it never was."""
        path = f"/v1/Instances.Deregister/{self.id}"
        for _ in range(4):
            sent = time.monotonic()
            try:
                status, _ = await call(self.machine.ip, self.world.ports["control"], "POST", path)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = None
            self.world.record(f"{self.machine.name} instance: deregistration answered {status}")
            if status == 200:
                self.world.tasks.append(asyncio.create_task(self.exit_after(seconds)))
                return self.world.record.now()
            await asyncio.sleep(max(0.0, 3.0 - (time.monotonic() - sent)))
        return None

    async def exit_after(self, seconds):
        await asyncio.sleep(seconds)
        self.world.record(f"{self.machine.name} instance: exits")
        self.running = False
        self.beats.cancel()
        self.server.close()

    def crash(self):
        """Ends as a killed process does, and starts again some seconds later."""
        self.running = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.tasks.append(asyncio.create_task(self.start_again()))

    async def start_again(self):
        await asyncio.sleep(2.0)
        kept = {"work_s": self.work_s, "keyed": self.keyed, "crashes_on": self.crashes_on}
        await self.world.start_instance(self.machine, **kept)

    async def read_request(self, reader):
        first, headers = await read_head(reader)
        size = int(headers.get("content-length", "0"))
        body = 0
        while body < size:
            if self.read_pace:
                piece = await reader.read(min(1 << 14, size - body))
                await asyncio.sleep(len(piece) / self.read_pace)
            else:
                piece = await reader.read(min(1 << 20, size - body))
            if not piece:
                raise asyncio.IncompleteReadError(b"", size)
            body += len(piece)
        return first, headers, size

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, size = await self.read_request(reader)
                await self.handle(first, headers, size, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, size, writer):
        request = headers.get(PREFIX.lower() + "request-attempt-id", "")
        echo = [(PREFIX + "Request-Attempt-Id", request)]
        load = f"{self.slots - self.free._value},{self.waiting},{self.slots}"
        echo.append((PREFIX + "Server-Load", load))
        expected = headers.get(PREFIX.lower() + "expected-instance", self.id)
        key = headers.get(PREFIX.lower() + "shard-key")
        if expected != self.id or (self.keyed and not self.holds_key(int(key or 0))):
            self.world.record(f"{self.machine.name} instance: {request} not run, 421")
            refused = echo + [(PREFIX + "Not-Executed", "1")]
            writer.write(message("HTTP/1.1 421 Misdirected Request", refused))
            return
        if self.waiting >= self.queue:
            refused = echo + [(PREFIX + "Not-Executed", "1")]
            writer.write(message("HTTP/1.1 503 Service Unavailable", refused))
            return
        if self.crashes_on and self.crashes_on in first:
            self.world.record(f"{self.machine.name} instance: begins {request} and crashes")
            self.world.runs.setdefault(request, []).append(self.machine.name)
            self.crash()
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.world.runs.setdefault(request, []).append(self.machine.name)
            self.world.record(f"{self.machine.name} instance: runs {request}, {size} bytes")
            await asyncio.sleep(self.work_s)
        signed = echo + [(PREFIX + "Response-Signature", f"sig.{request}")]
        writer.write(message("HTTP/1.1 200 OK", signed, self.answer_body(request)))

    def answer_body(self, request):
        return b"done " + request.encode()


class World:
    """A small deployment."""

    heartbeat_ms = 870
    memory_mb = 260
    bounds = {
        "drainTimeoutMs": 2000,
        "maxHoldMs": 10000,
        "retryBudgetRatio": 0.2,
        "budgetExtraRetries": 60,
        "budgetWindowS": 10,
        "gracePeriodS": 6,
    }

    def __init__(self, record_folder):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.record = Record(record_folder)
        self.machines = []
        self.instances = {}
        self.runs = {}
        self.tasks = []
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.store = Store(f"{self.net}.250", self.record)
        self.ports = {}

    def choose_ports(self, ips):
        """Port numbers that are free on all machines."""
        names = ("outbound", "peers", "ready", "control", "metrics", "application")
        first = random.randint(20000, 30000)
        while True:
            numbers = range(first, first + len(names))
            if all(is_free(ip, number) for ip in ips for number in numbers):
                self.ports = dict(zip(names, numbers))
                return
            first += len(names)

    async def start(self, services, zones, config):
        """Starts the store and a machine with an instance a service and zone."""
        ips = [f"{self.net}.{1 + n}" for n in range(len(services) * len(zones))]
        self.choose_ports(ips)
        await self.store.listen()
        self.store.put("op", "config", json.dumps(config))
        for number, ip in enumerate(ips):
            service = services[number % len(services)]
            zone, region = zones[number // len(services)]
            name = f"sidecar-{zone}-{1 + number % len(services)}"
            machine = Machine(self, name, ip, zone, region, service)
            self.machines.append(machine)
            self.tasks.append(asyncio.create_task(machine.run()))

    async def start_instance(self, machine, kind=Instance, **properties):
        instance = kind(machine, **properties)
        self.instances[machine.name] = instance
        await instance.start()
        return instance

    async def wait_ready(self, limit=30.0):
        end = time.monotonic() + limit
        for machine in self.machines:
            while True:
                try:
                    status, _ = await call(
                        machine.ip, self.ports["ready"], "GET", "/v1/readiness"
                    )
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{machine.name} isn't ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for machine in self.machines:
            machine.keep_running = False
            if machine.process and machine.process.returncode is None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                except ProcessLookupError:
                    pass
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Client:
    """A client's connection to a machine, kept for many requests."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.machine.ip, self.world.ports["outbound"]
        )

    async def request(self, method, host, path, deadline_ms, body=b"", key=None, note=""):
        """Sends a request; returns its id, the status or None, and the body."""
        request = f"{random.getrandbits(64):016x}"
        headers = [
            ("Host", host),
            (PREFIX + "Request-Attempt-Id", request),
            (PREFIX + "Deadline-Remaining", str(deadline_ms)),
        ]
        if key is not None:
            headers.append((PREFIX + "Shard-Key", str(key)))
        record = self.world.record
        record(f"client at {self.machine.name}: {request} {method} {path} {len(body)} bytes {note}")
        try:
            if self.writer is None:
                await self.open()
            self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            first, answer = await asyncio.wait_for(
                read_head(self.reader), deadline_ms / 1000 + 2
            )
            text = await read_body(self.reader, answer)
            status = int(first.split()[1])
            if answer.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.close()
            record(f"client at {self.machine.name}: {request} no answer, {type(error).__name__}")
            return request, None, b""
        record(f"client at {self.machine.name}: {request} answered {status}")
        return request, status, text

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def config(routes, services, version="00000007"):
    """A configuration as the operator writes it for this project."""
    columns = ["name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs"]
    columns += ["priority", "trafficSplit", "retryAttempts", "service"]
    kinds = ["name", "healthCheckPath", "maxConnections", "protocol", "tls"]
    kinds += ["sharded", "warmupS", "grants"]
    return {
        "version": version,
        "routes": {"columns": columns, "rows": routes},
        "services": {"columns": kinds, "rows": services},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "baseVersion": "00000005",
    }


ZONES = [
    ("noord-a", "nl-noord"),
    ("west-a", "nl-west"),
    ("zuid-a", "nl-zuid"),
    ("noord-b", "nl-noord"),
    ("west-b", "nl-west"),
    ("zuid-b", "nl-zuid"),
]


def run(scenario, folder):
    """Runs the scenario; exits with its status, or with 2 if it couldn't run."""

    async def guarded():
        world = World(folder)
        task = asyncio.ensure_future(scenario(world))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            status = await asyncio.wait_for(task, 110)
        except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
            world.record(f"the case couldn't run: {error!r}")
            print(f"couldn't run: {error!r}", file=sys.stderr)
            status = 2
        finally:
            world.stop()
        return status

    status = asyncio.run(guarded())
    sys.stdout.flush()
    os._exit(status)
