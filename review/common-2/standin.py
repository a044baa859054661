"""Stand-ins of the users' platform for the review's scripts, written from the users' pages.

The store, plain runners and model runners answer over HTTP/1.1 on loopback addresses. Only the
standard library is used. Everything but the product's programs runs on one asyncio loop, except
for the runners that a script wants to kill: these are processes (see runner.py).
"""

import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# As deploy/system.toml starts it: at the root, with the settings file named by a variable.
PROGRAM = "target/bin/holdpost-platform"

CALLERS_PORT = 21001
READY_PORT = 21002
MESH_PORT = 21003
RUNNER_PORT = 21005
ADMIN_PORT = 9464  # stands in the settings templates

# Bounds of the site anbudsnett.
CONTACT_MS = 3000
VERSION_MS = 8000
HEARTBEAT_S = 1.2


def host(machine):
    """The loopback address of a machine; each run has its own."""
    run = os.getpid() if "HOLDPOST_REVIEW_RUN" not in os.environ else int(
        os.environ["HOLDPOST_REVIEW_RUN"])
    return f"127.{64 + run // 256 % 128}.{run % 256}.{machine}"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# --- HTTP ---


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields  # names in lower case
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        return {k: v[-1] for k, v in urllib.parse.parse_qs(
            urllib.parse.urlsplit(self.target).query).items()}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_message(reader):
    first, fields = await read_head(reader)
    return Message(first, fields, await read_body(reader, fields))


def answer(status, body=b"", **fields):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Serves one request at a time on each connection."""

    async def listen(self, address):
        self.address = address
        self.tasks = set()
        self.server = await asyncio.start_server(self.serve, address[0], address[1], backlog=1024)
        return self

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if not await self.handle(message, writer, reader):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, message, writer, reader):
        raise NotImplementedError


# --- the store ---


class Store(Server):
    """The keyed topics of the platform's store. Records of runners that fall silent lapse."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.beats = {}
        self.is_down = False

    async def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def put_json(self, topic, key, value):
        await self.put(topic, key, json.dumps(value).encode())

    async def beat(self, runner, entry):
        self.beats[runner] = time.monotonic()
        await self.put_json("keyed.servers", runner, entry)

    async def drop(self, runner):
        self.beats.pop(runner, None)
        await self.put("keyed.servers", runner, b"")

    async def lapse_silent(self):
        while True:
            await asyncio.sleep(0.1)
            for runner, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    await self.drop(runner)

    async def handle(self, message, writer, reader):
        fields = {"Store_Era": 1}
        if message.path == "/standin/beat":  # how runner processes write their records here
            entry = json.loads(message.body)
            await self.beat(entry.pop("Id"), entry)
            writer.write(answer(200))
            return True
        if self.is_down:
            writer.write(answer(503, **fields))
            return True
        query = message.query
        topic = self.topics.setdefault(query.get("topic", ""), [])
        if message.path == "/holdpost/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(topic):
                newest[key] = (offset, value)
            items = [{"PrivateKey": key, "Value": base64.b64encode(value).decode(),
                      "offset": offset} for key, (offset, value) in sorted(newest.items()) if value]
            writer.write(answer(200, json.dumps({"Items": items, "more": False,
                                                 "end": len(topic)}),
                                Content_Type="application/json", **fields))
        elif message.path == "/holdpost/log-read":
            start = int(query["From"])
            wait = int(query.get("WaitMs", "0")) / 1000
            if len(topic) <= start and wait > 0:
                try:
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda: len(topic) > start), wait)
                except asyncio.TimeoutError:
                    pass
            body = struct.pack(">QQ", len(topic), 0)
            for key, value in topic[start:]:
                raw = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(raw)) + raw
            writer.write(answer(200, body, **fields))
        elif message.path == "/holdpost/log-append":
            offset = len(topic)
            rest = message.body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                raw, rest = rest[4:4 + size], rest[4 + size:]
                await self.put(query["topic"], raw[1:1 + raw[0]].decode("latin-1"),
                               raw[1 + raw[0]:])
            writer.write(answer(200, json.dumps({"offset": offset, "end": len(topic)}),
                                Content_Type="application/json", **fields))
        else:
            writer.write(answer(404, **fields))
        return True


# --- the product's programs ---


def fill(template, values, seeds):
    text = re.sub(r"\{\{#Seeds\}\}.*?\{\{/Seeds\}\}", ", ".join(f'"{s}"' for s in seeds), template)
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", str(value))
    assert "{{" not in text, text
    return text


class Programs:
    """The gateways and sidecars that a script starts, and their ends."""

    def __init__(self, store_address, record):
        self.folder = tempfile.TemporaryDirectory(prefix="holdpost-review-")
        self.store = store_address
        self.record = record
        self.processes = {}

    def start(self, role, machine, zone="a", seeds=(), service="llm"):
        name = f"{role}-{machine}"
        with open(os.path.join(ROOT, "platform", "settings", role + ".yaml")) as file:
            template = file.read()
        values = {
            "NodeName": name, "Region": "r", "Zone": zone, "Ip": host(machine),
            "Listen.Front": f"{host(machine)}:{CALLERS_PORT}",
            "Listen.Ready": f"{host(machine)}:{READY_PORT}",
            "InternalPorts.0": MESH_PORT, "Platform.Address": "%s:%d" % self.store,
            "app": f"{host(machine)}:{RUNNER_PORT}", "Service": service,
            "Bounds.version_ms": VERSION_MS, "Bounds.ContactMs": CONTACT_MS,
            "Bounds.DrainMs": 2000, "Bounds.GraceS": 8, "Bounds.RetryBudgetRatio": 0.2,
            "Bounds.BudgetExtra": 102, "Bounds.BudgetWindowS": 10, "Limits.LinkMbps": 7.3}
        path = os.path.join(self.folder.name, name + ".yaml")
        with open(path, "w") as file:
            file.write(fill(template, values, [f"{host(s)}:1" for s in seeds]))
        log = open(self.log_of(name), "a")
        self.processes[name] = subprocess.Popen([PROGRAM, role], cwd=ROOT, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL,
                                                env=dict(os.environ, HOLDPOST_NODE_FILE=path))
        self.record.note(f"start {name}")
        return self.processes[name]

    def add(self, name, command, **options):
        self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, **options)
        return self.processes[name]

    def log_of(self, name):
        return os.path.join(self.folder.name, name + ".log")

    def end_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if "HOLDPOST_REVIEW_KEEP" not in os.environ:
            self.folder.cleanup()


# --- callers ---


class Answer:
    def __init__(self, status, fields=None, body=b"", error=""):
        self.status = status  # 0: the connection ended without a whole answer
        self.fields = fields or {}
        self.body = body
        self.error = error


async def call(address, method, target, fields, body=b"", timeout=10.0, source=None):
    """One call on a connection of its own."""
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines + ["", ""]).encode() + body)
        while True:
            message = await read_message(reader)
            if message.status >= 200:
                return Answer(message.status, message.fields, message.body)

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return Answer(0, error="no answer in time")
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if writer:
            writer.close()


async def until(what, condition, seconds=25.0):
    """Waits for a condition of the preparation; the case cannot run without it."""
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            raise CannotRun("waited too long: " + what)
        await asyncio.sleep(0.1)


class CannotRun(Exception):
    pass


async def is_ready(machine):
    return (await call((host(machine), READY_PORT), "GET", "/holdpost/readiness",
                       {"Host": "ready"}, timeout=2)).status == 200


async def metric(machine, name):
    text = (await call((host(machine), ADMIN_PORT), "GET", "/metrics", {"Host": "m"},
                       timeout=2)).body.decode()
    found = re.search(r"^" + re.escape(name) + r" (\S+)$", text, re.M)
    return float(found.group(1)) if found else None


# --- configurations ---


def route(name, address, service, kind, timeout=4000, goal=300, attempts=2):
    return {"Name": name, "Host": address, "PathPrefix": "/", "Kind": kind, "TimeoutMs": timeout,
            "GoalMs": goal, "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "AllowAnonymous": False, "StreamResume": kind == "streaming", "StickySessions": False}


def plain_service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": False}


def model_service(name, model, layers, pieces, piece_bytes):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 424, "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": 16, "KvCapacity": 317000, "KvTokenBytes": 262144,
                       "LinkMbps": 400000.0, "Stride": 5,
                       "Models": [{"Name": model, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}],
                       "Mb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232,
                       "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18,
                       "chunk": 2048, "usual": {"prompt": 979, "answer": 92}, "layers": layers,
                       "Chunks": pieces, "ChunkBytes": piece_bytes}}


def config(version, routes, services):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "bygg", "ApiKeys": ["key-1"], "Priority": 1}]}


def entry(address, service, zone, slots, sequence, born, state="ready", models=None):
    made = {"Service": service, "Address": "%s:%d" % address, "Zone": zone, "Version": "v1",
            "Slots": slots, "State": state, "ColdLeftMs": 0, "Sequence": sequence, "born": born}
    if models is not None:
        made.update({"Stage": "colocated", "Models": models})
    return made


def run_case(main, folder):
    """Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(folder)

    async def run():
        # A script that is told to end leaves no process behind either.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(record), 115)

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    record.note(f"verdict: {'broken' if verdict else 'held'}")
    sys.exit(1 if verdict else 0)
