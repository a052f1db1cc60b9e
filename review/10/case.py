"""A request crashes each instance; all daemons are killed, twice."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import minifleet  # noqa: E402

CONTACT_S = 3.0
# The services beside which the request comes in, in each round. All daemons
# are killed between two rounds.
ROUNDS = (
    ("tarief", "tarief"),
    ("tarief", "tarief"),
    ("tarief", "tarief", "tarief", "factuur"),
)
PATH = "/issue/crash"


async def scenario(world):
    record = world.record
    routes = [
        ["r-1", "dues.example", "/issue/", "non_idempotent", 3000, 1000, 1, None, 2, "factuur"],
    ]
    services = [
        ["factuur", "/health", 120, "h1", False, None, None, None],
        ["tarief", "/health", 120, "h1", False, None, None, None],
    ]
    await world.start(["factuur", "tarief"], minifleet.ZONES, minifleet.config(routes, services))
    for machine in world.machines:
        await world.start_instance(machine, crashes_on=PATH)
    await world.wait_ready()
    await asyncio.sleep(CONTACT_S)
    crashes = []  # when an instance began the request
    late = []  # those later than contactMs after the third
    ordinary = {}

    async def attempt(machine):
        """The same request again, at another machine."""
        client = minifleet.Client(world, machine)
        sent = record.now()
        request, _, _ = await client.request("POST", "dues.example", PATH, 2500, b"dues")
        client.close()
        for _ in world.runs.get(request, []):
            if len(crashes) >= 3 and sent - crashes[2] > CONTACT_S:
                late.append(request)
            crashes.append(record.now())

    for number, services_beside in enumerate(ROUNDS):
        for turn, service in enumerate(services_beside):
            senders = [m for m in world.machines if m.service == service]
            await attempt(senders[(2 * number + turn) % len(senders)])
            client = minifleet.Client(world, senders[0])
            _, status, _ = await client.request("POST", "dues.example", "/issue/1", 2500, b"dues")
            client.close()
            ordinary[status] = ordinary.get(status, 0) + 1
            await asyncio.sleep(3.5)
        if number == len(ROUNDS) - 1:
            break
        if minifleet.TROUBLE:
            record("platform: SIGKILL to all daemons")
            for machine in world.machines:
                machine.kill(signal.SIGKILL)
        # Machines are in touch again contactMs after the daemons run.
        await asyncio.sleep(1.5)
        await world.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
    print(f"the request crashed {len(crashes)} instances; ordinary ones: {ordinary}")
    print(f"BUDGET: {len(late)} late retries reached an instance (3 are allowed)")
    record(f"crashes {len(crashes)}, late retries {len(late)}, ordinary {ordinary}")
    return 1 if len(late) > 3 else 0


minifleet.run(scenario, HERE)
