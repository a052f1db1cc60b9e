"""A heartbeat of another writer, without an address, beside a keyed instance."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import clients, deployment, http1, instance, store  # noqa: E402

HOST = "jepu9.example"
KEYED = "scheepsbezoek"
MOST_SHARED_S = 0.5
SAMPLE_S = 0.01


def shared_keys(instances):
    """Pairs of instances that hold the same keys now."""
    found = {}
    for left in instances:
        for right in instances:
            if left.id >= right.id:
                continue
            for a in left.held_now():
                for b in right.held_now():
                    first, last = max(a[0], b[0]), min(a[1], b[1])
                    if first <= last:
                        found[(left.id, right.id)] = (first, last, a[2], b[2])
    return found


async def watch(record, instances, longest):
    """Notes how long two instances hold the same keys."""
    since = {}
    while True:
        now = time.monotonic()
        shared = shared_keys(instances)
        for pair in list(since):
            if pair not in shared:
                record.add("shared_end", pair="+".join(pair), for_s=f"{now - since.pop(pair):.3f}")
        for pair, keys in shared.items():
            if pair not in since:
                since[pair] = now
                record.add("shared", pair="+".join(pair), first=keys[0], last=keys[1],
                           fences=f"{keys[2]},{keys[3]}")
            longest[pair] = max(longest.get(pair, 0.0), now - since[pair])
        await asyncio.sleep(SAMPLE_S)


async def send_requests(record, machine, stop_at):
    number = 0
    while time.monotonic() < stop_at:
        number += 1
        asyncio.create_task(
            clients.send(record, machine, "GET", HOST, f"/v/{number}", 600,
                         headers=[("X-Apricotstile-Shard-Key", str(number * 7919 % 65536))])
        )
        await asyncio.sleep(0.05)


async def case(record, trouble):
    world = deployment.Deployment(record, [KEYED, KEYED, KEYED, "factuur", "factuur", "factuur"])
    tasks = []
    try:
        routes = [{"name": "r-1", "host": HOST, "prefix": "/v/", "kind": "idempotent",
                   "timeoutMs": 600, "targetLatencyMs": 250, "priority": 2,
                   "retryAttempts": 2, "service": KEYED}]
        known = [
            {"name": KEYED, "healthCheckPath": "/health", "maxConnections": 120,
             "protocol": "h1", "tls": False, "sharded": True, "warmupS": 3.0,
             "grants": "heartbeat"},
            {"name": "factuur", "healthCheckPath": "/health", "maxConnections": 120,
             "protocol": "h1", "tls": False},
        ]
        instances = [
            instance.Instance(m, m.service, record, keyed=m.service == KEYED)
            for m in world.machines
        ]
        await world.start(store.config_value(7, routes, known), instances)
        keyed = [one for one in instances if one.keyed]
        end = time.monotonic() + 20
        while not all(one.held_now() for one in keyed):
            if time.monotonic() > end:
                raise deployment.CannotRun("the instances got no keys")
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        longest = {}
        tasks.append(asyncio.create_task(watch(record, keyed, longest)))
        for machine in world.machines[1:]:
            tasks.append(asyncio.create_task(
                send_requests(record, machine, time.monotonic() + 9)))
        await asyncio.sleep(1.5)
        if trouble:
            machine = world.machines[0]
            body = {"service": KEYED, "zone": machine.zone, "version": "v1", "slots": 14,
                    "state": "draining", "coldRemainingMs": 0, "sequence": 1,
                    "born": int(time.time() * 1000), "holds": [], "released": []}
            answer = await http1.call(
                machine.ip, machine.ports["controlPlane"], "POST",
                "/v1/Instances.Heartbeat/i-other", [("Content-Type", "application/json")],
                json.dumps(body).encode())
            record.add("other_writer", machine=machine.name, status=answer.status,
                       body=json.dumps(body))
        await asyncio.sleep(8)
        return [
            f"OWNER: {left} and {right} held the same keys for {seconds:.2f} s"
            for (left, right), seconds in longest.items()
            if seconds > MOST_SHARED_S
        ]
    finally:
        for task in tasks:
            task.cancel()
        world.stop()


if __name__ == "__main__":
    sys.exit(deployment.main(case, FOLDER))
