"""A small deployment on loopback addresses: the store, entry hosts, runners and clients.

Entry hosts are processes with the command, the template and the environment of the deploy file.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, HERE)

from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"

BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000,
          "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 54, "exposureShare": 0.15,
          "exposureSlack": 30, "rollbackMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 9,
          "sessionS": 5}


class CannotRun(Exception):
    """The case could not run, which tells nothing of the rule."""


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def render(text, fields):
    """Fills in a template of the deploy file, as far as this project's template goes."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        if name != ".":
            for part in name.split("."):
                if isinstance(found, list):
                    found = found[int(part)] if int(part) < len(found) else None
                elif isinstance(found, dict):
                    found = found.get(part)
                else:
                    found = None
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, bool):
            return str(found).lower()
        if isinstance(found, list):
            return ",".join(map(str, found))
        return json.dumps(found) if isinstance(found, dict) else str(found)
    return re.sub(r"\{\{([^#^/}]+)\}\}", value, text)


class Record:
    """What was sent, answered and run, in order; written to `record.txt` at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def add(self, **row):
        at = row.pop("at", time.monotonic())
        with self.lock:
            self.lines.append((at, row))

    def say(self, text):
        self.add(what="note", text=text)
        print(f"{time.monotonic() - self.began:7.2f} {text}", flush=True)

    def write(self):
        with self.lock, open(self.path, "w") as out:
            for at, row in sorted(self.lines, key=lambda line: line[0]):
                out.write(f"{at - self.began:8.3f} {json.dumps(row)}\n")


class Process:
    """A process of the deployment whose standard output is read line by line."""

    def __init__(self, command, environment, on_line):
        self.command, self.environment, self.on_line = command, environment, on_line
        self.start()

    def start(self):
        self.child = subprocess.Popen(self.command, cwd=ROOT, env=self.environment, stdin=subprocess.DEVNULL,
                                      stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        reader = threading.Thread(target=self.read, args=(self.child,), daemon=True)
        reader.start()

    def read(self, child):
        for line in child.stdout:
            self.on_line(line.rstrip("\n"))

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


class Small:
    """The deployment. `zones` names the zone of each entry host; runners are given as dictionaries."""

    def __init__(self, folder, net, zones, runners, config, memory_mb=110, heartbeat_s=1.2):
        self.record = Record(folder)
        self.net = net
        self.zones = zones
        self.config = config
        self.memory_mb = memory_mb
        self.heartbeat_s = heartbeat_s
        self.temporary = tempfile.mkdtemp(prefix="review-")
        store_ip = f"127.{net}.0.1"
        self.store = Store((store_ip, free_port(store_ip)), heartbeat_s)
        self.store.on_change = self.log_store
        self.hosts, self.runners, self.host_logs = [], {}, []
        self.runner_specs = runners
        self.ran = []

    def log_store(self, event):
        key = event["key"]
        if not key.startswith("servers/") or event.get("tombstone"):
            row = {"what": "store", "key": key, "revision": event["revision"]}
            if event.get("tombstone"):
                row["removed"] = True
            self.record.add(**row)

    # Start

    async def start(self):
        await self.store.start()
        self.store.put("op/config", self.config)
        for spec in self.runner_specs:
            self.start_runner(spec)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as source:
            self.deploy = tomllib.load(source)["roles"]["entry"]
        for index, zone in enumerate(self.zones):
            self.start_host(index, zone)
        end = time.monotonic() + 15
        for host in self.hosts:
            while not await is_ready(host["readiness"]):
                if time.monotonic() > end:
                    raise CannotRun("an entry host isn't ready")
                await asyncio.sleep(0.1)
        # The hosts find each other in the store and by their reports.
        await asyncio.sleep(2.5)

    def start_runner(self, spec):
        spec = {"slots": 8, "zone": self.zones[0], "drain_s": BOUNDS["drainMs"] / 1000,
                "heartbeat_s": self.heartbeat_s, "store": self.store.address, **spec}
        if "address" not in spec:
            ip = f"127.{self.net}.2.{len(self.runners) + 1}"
            spec["address"] = (ip, free_port(ip))
        command = [sys.executable, os.path.join(HERE, "runner.py"), json.dumps(spec)]
        process = Process(command, dict(os.environ), self.on_runner_line)
        self.runners[spec["id"]] = {"spec": spec, "process": process}

    def on_runner_line(self, line):
        try:
            row = json.loads(line)
        except ValueError:
            row = {"what": "runner output", "text": line}
        at = row.pop("at", time.monotonic())
        self.ran.append((at, row))
        self.record.add(at=at, **{("event" if key == "what" else key): value for key, value in row.items()},
                        what="runner")

    def start_host(self, index, zone):
        ip = f"127.{self.net}.1.{index + 1}"
        ports = [free_port(ip) for _ in range(4)]
        zones = {name: "is-sudvestur" for name in self.zones}
        fields = {
            "nodeName": f"edge-{zone}-{index + 1}", "role": "entry", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "is-sudvestur", "zones": zones,
            "listen": {"front": f"{ip}:{ports[0]}", "readiness": f"{ip}:{ports[1]}",
                       "control": f"{ip}:{ports[2]}"},
            "internalPorts": [ports[3], ports[3] + 15], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": self.memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(self.heartbeat_s * 1000), "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % self.store.address, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        with open(os.path.join(ROOT, self.deploy["template"])) as template:
            settings = render(template.read(), fields)
        path = os.path.join(self.temporary, f"settings-{index + 1}.toml")
        with open(path, "w") as out:
            out.write(settings)
        command = self.deploy["run"].replace("/etc/clementinearch/settings.json", path).split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} isn't built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CLEMENTINEARCH_SETTINGS"] = path
        for name, text in self.deploy.get("env", {}).items():
            environment[name] = render(text, fields)
        log = []
        self.host_logs.append(log)
        process = Process(command, environment, lambda line: self.on_host_line(index, log, line))
        self.hosts.append({"front": (ip, ports[0]), "readiness": (ip, ports[1]), "control": (ip, ports[2]),
                           "name": fields["nodeName"], "process": process, "index": index})

    def on_host_line(self, index, log, line):
        log.append(line)
        self.record.add(what="host", host=index + 1, line=line[:400])

    # End

    def stop(self):
        for one in self.hosts:
            one["process"].end()
        for one in self.runners.values():
            one["process"].end()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.write()


async def is_ready(address):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = None


async def call(address, method, path, attempt, deadline_ms, body=b"", headers=(), on_data=None):
    """Sends a request on a new channel and reads its answer until it ends, as a client does."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
                 f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}",
                 f"Content-Length: {len(body)}", *headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer, on_data), deadline_ms / 1000 + 1)
    except asyncio.TimeoutError:
        answer.error = "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"{type(error).__name__} {error}".strip()
    finally:
        if writer:
            writer.close()
    return answer


async def read_answer(reader, answer, on_data):
    line = await reader.readline()
    if not line:
        raise ConnectionResetError("the channel was closed without an answer")
    answer.status = int(line.split()[1])
    while True:
        header = (await reader.readline()).decode().strip()
        if not header:
            break
        name, _, value = header.partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            piece = (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
            answer.body += piece
            if on_data:
                on_data(piece)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.complete = True


def run(case, limit_s=110):
    """Runs a case: a coroutine that returns the breaks of the rule that it saw."""
    async def bounded():
        # SIGTERM ends the case as its time limit does: all processes that it started end with it.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(case(), limit_s)
    try:
        breaks = asyncio.run(bounded())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"the case couldn't run: {type(error).__name__} {error}")
        sys.exit(2)
    print(f"the rule was broken {len(breaks)} times" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
