"""Stand-in for an application instance, as PROTOCOL describes a sound one."""

import asyncio
import json
import random
import time

from . import http1

HEARTBEAT_TIMEOUT_S = 1.0


class Instance:
    def __init__(self, machine, service, record, slots=14, keyed=False, work_s=0.06,
                 heartbeat_s=0.87):
        self.machine = machine
        self.service = service
        self.record = record
        self.slots = slots
        self.keyed = keyed
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.at_work = {}
        # Keys: ranges [from, to, fence] and when the hold ends.
        self.holds = []
        self.hold_ends = 0.0
        self.released = []
        self.highest = [0] * 65536 if keyed else []
        self.acknowledged = 0
        self.tasks = []
        self.writers = set()
        self.has_exited = False
        self.server = None
        self.body_for = lambda request: b"ok " + request.target.encode()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.ports["application"], limit=1 << 20
        )
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    def exit(self):
        """The process ends, with whatever it is at work on."""
        self.record.add("exit", instance=self.id, at_work=self.running)
        self.has_exited = True
        self.stop()
        for writer in self.writers:
            writer.transport.abort()

    # Requests.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                answer = await self.handle(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("X-Apricotstile-Server-Load", f"{self.running},{self.waiting},{self.slots}")

    def refuse(self, status, request_id):
        return http1.response_bytes(
            status,
            [
                ("X-Apricotstile-Not-Executed", "1"),
                ("X-Apricotstile-Instance-Id", self.id),
                ("X-Apricotstile-Request-Attempt-Id", request_id),
                self.load(),
            ],
        )

    async def handle(self, request, reader):
        if request.target == "/health":
            return http1.response_bytes(200, [("X-Apricotstile-Instance-Id", self.id), self.load()])
        request_id = request.header("X-Apricotstile-Request-Attempt-Id")
        expected = request.header("X-Apricotstile-Expected-Instance")
        if not request_id:
            return self.refuse(400, "")
        if expected and expected != self.id:
            self.record.add("misdirected", instance=self.id, id=request_id)
            return self.refuse(421, request_id)
        key = request.header("X-Apricotstile-Shard-Key")
        if self.keyed and not self.holds_key(int(key)):
            self.record.add("not_held", instance=self.id, id=request_id, key=key)
            return self.refuse(421, request_id)
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.record.add(
            "run", instance=self.id, service=self.service, id=request_id,
            method=request.method, target=request.target, bytes=len(request.body), key=key or "-",
        )
        if self.keyed:
            self.at_work[request_id] = int(key)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
            self.at_work.pop(request_id, None)
        if self.has_exited:
            return None
        body = self.body_for(request)
        self.record.add("run_end", instance=self.id, id=request_id, answer_bytes=len(body))
        return http1.response_bytes(
            200,
            [
                ("X-Apricotstile-Request-Attempt-Id", request_id),
                ("X-Apricotstile-Response-Signature", f"{self.id}.{request_id}"),
                self.load(),
            ],
            body,
        )

    # Keys.

    def holds_key(self, key):
        return time.monotonic() < self.hold_ends and any(
            first <= key <= last for first, last, _ in self.holds
        )

    def held_now(self):
        return [list(row) for row in self.holds] if time.monotonic() < self.hold_ends else []

    def take_grants(self, answer, sent):
        if "holds" not in answer:
            return
        granted = [row[:3] for row in answer["holds"]]
        accepted = [
            row for row in granted if max(self.highest[row[0]:row[1] + 1]) <= row[2]
        ]
        for first, last, fence in accepted:
            for key in range(first, last + 1):
                self.highest[key] = max(self.highest[key], fence)
        for row in self.held_now():
            for part in subtract(row, accepted):
                self.released.append([part[0], part[1], f"{random.getrandbits(64):016x}"])
        before = self.held_now()
        self.holds = accepted
        self.hold_ends = sent + answer["holdMs"] / 1000
        if sorted(before) != sorted(accepted):
            self.record.add("holds", instance=self.id, machine=self.machine.name,
                            ranges=json.dumps(accepted), hold_ms=answer["holdMs"])

    # Heartbeats.

    def heartbeat(self):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.machine.ports['application']}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.keyed:
            body["holds"] = self.held_now()
            body["released"] = list(self.released)
        return body

    async def beat(self):
        body = self.heartbeat()
        reported = len(body.get("released", []))
        sent = time.monotonic()
        try:
            answer = await http1.call(
                self.machine.ip, self.machine.ports["controlPlane"], "POST",
                f"/v1/Instances.Heartbeat/{self.id}", [("Content-Type", "application/json")],
                json.dumps(body).encode(), HEARTBEAT_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.record.add("beat_unanswered", instance=self.id, machine=self.machine.name)
            return False
        if answer is None or not 200 <= answer.status < 300 or len(answer.body) > 4096:
            self.record.add("beat_refused", instance=self.id, machine=self.machine.name,
                            status=answer.status if answer else 0)
            return False
        self.acknowledged += 1
        del self.released[:reported]
        if self.keyed and answer.body:
            self.take_grants(json.loads(answer.body), sent)
        return True

    async def send_heartbeats(self):
        while True:
            await self.beat()
            await asyncio.sleep(0.1 if self.released else self.heartbeat_s)

    async def deregister(self):
        """Whether the departure is acknowledged."""
        try:
            answer = await http1.call(
                self.machine.ip, self.machine.ports["controlPlane"], "POST",
                f"/v1/Instances.Deregister/{self.id}", [("Content-Type", "application/json")],
                json.dumps({"born": self.born}).encode(), HEARTBEAT_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = answer.status if answer else 0
        self.record.add("deregistered", instance=self.id, status=status)
        return 200 <= status < 300


def subtract(row, others):
    """The parts of a range that none of the others covers."""
    parts = [(row[0], row[1])]
    for other in others:
        rest = []
        for first, last in parts:
            if other[1] < first or other[0] > last:
                rest.append((first, last))
                continue
            if first < other[0]:
                rest.append((first, other[0] - 1))
            if last > other[1]:
                rest.append((other[1] + 1, last))
        parts = rest
    return parts
