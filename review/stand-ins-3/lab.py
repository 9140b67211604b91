"""Stand-ins for the cases of the third review: the platform's store, engines
and clients, all in one process, and the routers as processes of their own.

Only the standard library is used. The routers are started with the command,
the template and the environment of deploy/system.toml.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
# Figures of the small site that the claims name (nordvik-poles).
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_deadline_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "cap_factor": 2,
}
LIMITS = {"memory_mb": 260, "max_fds": 4100}
CONFIG_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt beside the script of the case."""

    def __init__(self, script):
        folder = os.path.dirname(os.path.abspath(script))
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


def host_ip(index):
    """A loopback address; different for scripts that run side by side."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (16 + pid // 250 % 200, 1 + pid % 250, index)


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """First line and fields of a message; None at the end of the stream."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: keyed topics, as the page of the protocol says."""

    def __init__(self, record):
        self.record = record
        self.ip = host_ip(1)
        self.port = free_port(self.ip)
        self.topics = {}
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()
        self.writers = set()
        self.calls = 0

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 22
        )

    def append(self, topic, key, value):
        """The offset, which is the acknowledgement; None while it is away."""
        if self.is_away:
            return None
        records = self.topics.setdefault(topic, [])
        records.append((key.encode(), value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put(self, topic, key, document):
        return self.append(topic, key, json.dumps(document).encode())

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    def go_away(self):
        """No call is answered; what was open is reset."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, copy):
        """Comes back from a copy: what was written since is gone."""
        self.topics = copy
        self.era += 1
        self.is_away = False

    async def serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None or self.is_away:
                    break
                body = await read_body(reader, head[1])
                self.calls += 1
                status, answer = await self.answer(head[0], body)
                if self.is_away:
                    break
                writer.write(
                    b"HTTP/1.1 %d X\r\nStore-Era: %d\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, self.era, len(answer))
                    + answer
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, line, body):
        target = line.split(" ")[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        if url.path == "/v1/log-read":
            return await self.read(topic, query)
        if url.path == "/v1/log-newest":
            return self.newest(topic, query)
        if url.path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            while body:
                size = int.from_bytes(body[:4], "big")
                item, body = body[4 : 4 + size], body[4 + size :]
                key = item[1 : 1 + item[0]].decode()
                self.append(topic, key, item[1 + item[0] :])
            end = len(self.topics[topic])
            return 200, json.dumps({"offset": end - 1, "end": end}).encode()
        return 404, b"{}"

    async def read(self, topic, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(self.topics.get(topic, [])) == start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        records = self.topics.get(topic, [])
        if start > len(records):
            return 410, json.dumps({"first": 0}).encode()
        out = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            size = 1 + len(key) + len(value)
            out += size.to_bytes(4, "big") + bytes([len(key)]) + key + value
        return 200, out

    def newest(self, topic, query):
        last = {}
        records = self.topics.get(topic, [])
        for offset, (key, value) in enumerate(records):
            last[key] = (value, offset)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(last.items())
            if value and key.decode() > query.get("after", "")
        ]
        answer = {"items": items, "more_pages": False, "end": len(records)}
        return 200, json.dumps(answer).encode()


class Engine:
    """A server of a plain service: answers at once, and records its runs."""

    def __init__(self, record, store, index, service, zone="valley-a"):
        self.record = record
        self.store = store
        self.id = "i-%08x" % (0x51AB0000 + index)
        self.service = service
        self.zone = zone
        self.ip = host_ip(100 + index)
        self.port = free_port(self.ip)
        self.runs = []  # (time, id, line, fields)
        self.sequence = 0
        self.state = "ready"
        self.registers = True
        self.born = int(time.time() * 1000)
        self.work_s = 0.005

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.create_task(self.beat())

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "both",
            "models": [],
            "seq": self.sequence,
            "born": self.born,
        }

    def register(self):
        return self.store.put("keyed.servers", self.id, self.entry())

    def leave_without_notice(self):
        """Its entry is removed, and it goes on serving."""
        self.registers = False
        return self.store.append("keyed.servers", self.id, b"")

    async def beat(self):
        while True:
            if self.registers:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                await self.answer(writer, line, fields, body)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def answer(self, writer, line, fields, body):
        request = fields.get("dandelionvalve-request-id")
        if line.split(" ")[1] == "/v1/kv-list":
            self.reply(writer, 404, None, b"{}")
            return
        if request is None:
            self.reply(writer, 400, None, b"", "Dandelionvalve-Not-Executed: 1\r\n")
            return
        if fields.get("dandelionvalve-expect-instance", self.id) != self.id:
            self.reply(writer, 421, request, b"")
            return
        self.runs.append((time.monotonic(), request, line, fields))
        self.record.line("run engine=%s id=%s %s" % (self.id, request, line))
        await asyncio.sleep(self.work_s)
        text = ("answer of %s to %s\n" % (self.id, request)).encode()
        self.reply(writer, 200, request, text, self.signature(text))

    @staticmethod
    def signature(text):
        return "Dandelionvalve-Server-Signature: 3e1b.07.%x\r\n" % (
            sum(text) & 0xFFFFFF
        )

    @staticmethod
    def reply(writer, status, request, body, fields=""):
        if request is not None:
            fields += "Dandelionvalve-Request-Id: %s\r\n" % request
        writer.write(
            ("HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=5\r\n" % (status, fields)).encode()
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )


def read_role():
    """The router's role in the deploy file: command, template, environment."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        text = file.read()

    def text_of(name):
        return re.search(r'^%s = "([^"]*)"' % name, text, re.M).group(1)

    inside = re.search(r"^env = \{(.*)\}\s*$", text, re.M).group(1)
    return {
        "run": text_of("run"),
        "template": text_of("template"),
        "env": dict(re.findall(r'(\w+) = "([^"]*)"', inside)),
    }


def render(text, fields):
    """The template's placeholders; sections are not used by it."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Router:
    """A router as the deploy file starts it."""

    def __init__(self, folder, index, store, zone="valley-a"):
        role = read_role()
        self.ip = host_ip(2 + index)
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.control = free_port(self.ip)
        self.name = "front-%s-%d" % (zone, index + 1)
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": self.ip,
            "seeds": ["%s:%d" % (self.ip, self.control)],
            "listen": {
                "front": "%s:%d" % (self.ip, self.front),
                "ready": "%s:%d" % (self.ip, self.ready),
                "control": "%s:%d" % (self.ip, self.control),
            },
            "platform": {"address": store.address},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), fields)
        settings = os.path.join(folder, "%s.toml" % self.name)
        with open(settings, "w") as file:
            file.write(text)
        self.command = [
            settings if word == "/etc/dandelionvalve/local.toml" else word
            for word in role["run"].split(" ")
        ]
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.env = {"PATH": os.environ["PATH"], "DANDELIONVALVE_SETTINGS": settings}
        for name, pattern in role["env"].items():
            self.env[name] = render(pattern, fields)
        self.log = os.path.join(folder, "%s.log" % self.name)
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.env, stdout=log, stderr=log
            )

    def is_running(self):
        return self.process.poll() is None

    def resident_mib(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    def stop(self):
        if self.process is not None and self.is_running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self):
        for _ in range(200):
            try:
                client = Client(self.ip, self.ready)
                answer = await client.request("GET", "/readyz", {})
                client.close()
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the router is not ready")


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


class Client:
    """A client's connection, kept for many requests."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.streams = None

    async def request(self, method, path, fields, body=b"", timeout_s=3.0):
        """The answer; status 0 if the channel ended without one."""
        try:
            if self.streams is None:
                self.streams = await asyncio.open_connection(self.ip, self.port)
            reader, writer = self.streams
            text = "%s %s HTTP/1.1\r\n" % (method, path)
            for name, value in fields.items():
                text += "%s: %s\r\n" % (name, value)
            if body:
                text += "Content-Length: %d\r\n" % len(body)
            writer.write(text.encode() + b"\r\n" + body)
            return await asyncio.wait_for(self.read(reader), timeout_s)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return Answer(0, {}, b"")

    async def read(self, reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed")
        line, fields = head
        body = await read_body(reader, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), fields, body)

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


@contextlib.asynccontextmanager
async def child(script, *arguments):
    """A Python program beside the case's own; ended with the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        script,
        *(str(argument) for argument in arguments),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def run_case(script, case):
    """Runs `case(record, folder)`, which returns 0 or 1; exits with 2 if it
    cannot run."""
    if not os.path.exists(os.path.join(ROOT, "target", "dvdirect")):
        print("target/dvdirect is missing: run the build of the deploy file")
        sys.exit(2)
    record = Record(script)
    with tempfile.TemporaryDirectory() as folder:
        routers = []
        try:
            status = asyncio.run(
                asyncio.wait_for(case(record, folder, routers), 110)
            )
        except Exception as error:  # pylint: disable=broad-except
            record.line("could not run: %r" % error)
            print("could not run: %r" % error)
            status = 2
        finally:
            for router in routers:
                router.stop()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copy(router.log, os.environ["KEEP_LOGS"] + "." + router.name)
    record.line("exit %d" % status)
    print("exit %d" % status)
    sys.exit(status)
