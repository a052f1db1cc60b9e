"""An instance leaves while the store is down; then all daemons are killed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import clients, deployment, instance, store  # noqa: E402

HOST = "jepu9.example"
DRAIN_S = 2.0
CONTACT_S = 3.0
# How long the instance serves on after its acknowledgement.
STAYS_S = 10.0
DOWN_S = 0.5


async def send_orders(record, machine):
    number = 0
    while True:
        number += 1
        asyncio.create_task(clients.send(record, machine, "POST", HOST, f"/f/{number}", 800,
                                         b"invoice"))
        await asyncio.sleep(0.05)


async def case(record, trouble):
    world = deployment.Deployment(
        record, ["factuur", "factuur", "factuur", "tarief", "tarief", "tarief"])
    tasks = []
    try:
        routes = [{"name": "r-1", "host": HOST, "prefix": "/f/", "kind": "non_idempotent",
                   "timeoutMs": 800, "targetLatencyMs": 300, "priority": 1,
                   "retryAttempts": 2, "service": "factuur"}]
        known = [{"name": name, "healthCheckPath": "/health", "maxConnections": 120,
                  "protocol": "h1", "tls": False} for name in ("factuur", "tarief")]
        instances = [instance.Instance(m, m.service, record, work_s=0.078)
                     for m in world.machines]
        await world.start(store.config_value(7, routes, known), instances)
        for machine in world.machines[3:]:
            tasks.append(asyncio.create_task(send_orders(record, machine)))
        await asyncio.sleep(3.0)
        leaving = instances[0]
        world.store.silent = True
        record.add("store", state="silent")
        await asyncio.sleep(1.0)
        while not await leaving.deregister():
            await asyncio.sleep(0.2)
        acknowledged = record.now()
        if trouble:
            await world.kill_all(DOWN_S)
        started = record.now()
        await asyncio.sleep(1.0)
        world.store.silent = False
        record.add("store", state="answers")
        # From here on machines are in touch.
        in_touch = max(started, record.now()) + CONTACT_S
        await asyncio.sleep(max(0.0, acknowledged + STAYS_S - record.now()))
        leaving.exit()
        await asyncio.sleep(1.5)
        sent = {fields["id"]: at for at, fields in record.of("sent")}
        late = [
            at - acknowledged
            for at, fields in record.of("run")
            if fields["instance"] == leaving.id
            and at > acknowledged + DRAIN_S
            and sent[fields["id"]] > in_touch
        ]
        record.add("late_requests", count=len(late),
                   at=",".join(f"{one:.2f}" for one in late[:20]))
        if not late:
            return []
        ended = {fields["id"] for _, fields in record.of("run_end")}
        answers = {fields["id"]: str(fields["outcome"]) for _, fields in record.of("answered")}
        lost = [
            fields["id"]
            for at, fields in record.of("run")
            if fields["instance"] == leaving.id and at > acknowledged + DRAIN_S
            and fields["id"] not in ended and answers.get(fields["id"]) != "200"
        ]
        return [f"DRAIN: {len(late)} requests reached the instance {late[0]:.2f} to "
                f"{late[-1]:.2f} s after its departure was acknowledged; {len(lost)} orders "
                f"were lost with it when it ended"]
    finally:
        for task in tasks:
            task.cancel()
        world.stop()


if __name__ == "__main__":
    sys.exit(deployment.main(case, FOLDER))
