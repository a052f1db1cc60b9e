"""Stand-in for the platform: it renders the settings, starts the daemons with
the command of the deploy file, asks for their readiness and stops them."""

import asyncio
import contextlib
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import http1
from .store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "regressionSlackMs": 250, "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 60,
    "recoveryS": 15, "maxHoldMs": 10000, "thawSlackMs": 300,
}
PORT_NAMES = ("inbound", "outbound", "ready", "controlPlane", "application")


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Daemons end also if the case is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.start = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        self.events.append((self.now(), what, fields))

    def of(self, what):
        return [(at, fields) for at, name, fields in self.events if name == what]

    def save(self):
        with open(self.path, "w", encoding="utf-8") as out:
            for at, what, fields in self.events:
                text = " ".join(f"{k}={v}" for k, v in fields.items())
                out.write(f"{at:9.3f} {what} {text}\n")


def render(template, fields):
    """Fills a settings template; see DEPLOY, "Settings of a process"."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def replace_section(match):
            value = look_up(match[2], scopes)
            shown = value is not None and value is not False
            if match[1] == "^":
                return "" if shown else fill(match[3], scopes)
            return fill(match[3], scopes) if shown else ""

        def replace_value(match):
            value = look_up(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        text = section.sub(replace_section, text)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace_value, text)

    return fill(template, [fields])


def free_port(ips, taken):
    """A port that is free on each of the addresses, and not in `taken`."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port in taken:
            continue
        try:
            for ip in ips[1:]:
                with socket.socket() as other:
                    other.bind((ip, port))
            taken.add(port)
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Machine:
    def __init__(self, name, ip, zone, region, service, ports, internal):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.service = service
        self.ports = ports
        self.internal = internal
        self.process = None
        self.starts = 0
        self.is_first_start = True


class Deployment:
    """Machines on loopback addresses, one daemon and one instance each."""

    def __init__(self, record, services, zones=None, memory_mb=260, link_mbps=1000.0,
                 bounds=None, heartbeat_ms=870):
        self.record = record
        self.zones = zones or {"noord-a": "nl-noord", "west-a": "nl-west", "zuid-a": "nl-zuid"}
        self.memory_mb = memory_mb
        self.link_mbps = link_mbps
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.heartbeat_ms = heartbeat_ms
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            (self.role,) = tomllib.load(source)["roles"].values()
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as source:
            self.template = source.read()
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("the daemon isn't built")
        self.folder = tempfile.mkdtemp(prefix="apricotstile-review-")
        ips = [f"127.0.{10 + i // 200}.{1 + i % 200}" for i in range(len(services))]
        everywhere = ["127.0.9.1", *ips]
        taken = set()
        ports = {name: free_port(everywhere, taken) for name in PORT_NAMES}
        internal = [free_port(everywhere, taken), free_port(everywhere, taken)]
        zone_names = list(self.zones)
        self.machines = []
        for index, service in enumerate(services):
            zone = zone_names[index % len(zone_names)]
            self.machines.append(
                Machine(f"sidecar-{zone}-{index}", ips[index], zone, self.zones[zone],
                        service, ports, internal)
            )
        self.store = Store("127.0.9.1", free_port(everywhere, taken))
        self.instances = []
        self.not_ready = {}
        self.tasks = []

    def settings_of(self, machine):
        fields = {
            "nodeName": machine.name, "role": "router", "machineClass": "sidecar",
            "serves": ["sidecar"], "ipAddress": machine.ip, "zone": machine.zone,
            "region": machine.region, "zones": self.zones,
            "listenAddresses": {
                n: f"{machine.ip}:{machine.ports[n]}"
                for n in ("inbound", "outbound", "ready", "controlPlane")
            },
            "internalPortRange": machine.internal, "seedNodes": [],
            "bootstrap": machine.is_first_start, "lossCounts": False,
            "limits": {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": self.memory_mb,
                       "fileDescriptors": 4100, "linkMbps": self.link_mbps, "diskMb": 0},
            "heartbeatMs": self.heartbeat_ms, "bounds": self.bounds, "grants": "heartbeat",
            "applicationAddress": f"{machine.ip}:{machine.ports['application']}",
            "service": machine.service,
            "platform": {"address": f"{self.store.host}:{self.store.port}", "form": "table"},
        }
        return render(self.template, fields)

    def start_daemon(self, machine):
        path = os.path.join(self.folder, f"{machine.name}.settings")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings_of(machine))
        log = open(os.path.join(self.folder, f"{machine.name}.log"), "ab")
        environment = {"APRICOTSTILE_CONFIG": path, "PATH": "/usr/bin:/bin", "LANG": "C.UTF-8"}
        command = self.role["run"].split()
        machine.process = subprocess.Popen(
            [os.path.join(ROOT, command[0]), *command[1:]], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent,
        )
        log.close()
        machine.starts += 1
        self.record.add("daemon_started", machine=machine.name, pid=machine.process.pid)

    async def is_ready(self, machine):
        try:
            answer = await http1.call(machine.ip, machine.ports["ready"], "GET", "/v1/readiness",
                                      timeout=1.0)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def ask_readiness(self):
        """Once a second; two misses take a machine's clients out."""
        while True:
            for machine, ready in zip(
                self.machines, await asyncio.gather(*(self.is_ready(m) for m in self.machines))
            ):
                self.not_ready[machine.name] = 0 if ready else self.not_ready.get(machine.name, 0) + 1
            await asyncio.sleep(1.0)

    def gets_clients(self, machine):
        return self.not_ready.get(machine.name, 0) < 2

    async def start(self, config, instances):
        await self.store.start()
        self.store.write_by_operator("op", "config", config)
        for machine in self.machines:
            self.start_daemon(machine)
        self.instances = instances
        for instance in instances:
            await instance.start()
        self.tasks.append(asyncio.create_task(self.ask_readiness()))
        end = time.monotonic() + 20
        while not all([await self.is_ready(m) for m in self.machines]):
            if time.monotonic() > end:
                raise CannotRun("the daemons didn't get ready")
            await asyncio.sleep(0.2)
        for machine in self.machines:
            machine.is_first_start = False
        # Traffic starts 8 s after the machines do.
        await asyncio.sleep(max(0.0, 8.0 - self.record.now()))

    def send_signal(self, machine, number):
        self.record.add("signal", machine=machine.name, signal=signal.Signals(number).name)
        machine.process.send_signal(number)

    async def kill_all(self, down_s):
        """All processes end at the same moment, and are started again."""
        for machine in self.machines:
            self.send_signal(machine, signal.SIGKILL)
        for machine in self.machines:
            machine.process.wait()
        await asyncio.sleep(down_s)
        for machine in self.machines:
            self.start_daemon(machine)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.stop()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs `case(record, trouble)`, which returns the breaches that it found.
    Exits with 1 if there are any, 0 if none, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, trouble), 115)

    try:
        breaches = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # Nothing else may count as broken.
        record.add("could_not_run", why=repr(error))
        record.save()
        print(f"could not run: {error!r}")
        return 2
    for breach in breaches:
        record.add("breach", text=breach)
    record.add("result", broken=len(breaches), trouble=trouble)
    record.save()
    with contextlib.suppress(OSError):
        print("\n".join(f"broken: {breach}" for breach in breaches) or "held", flush=True)
    return 1 if breaches else 0
