"""A small deployment on loopback: the routers are processes of the project,
started with the command of the deploy file; the platform's store, the engines
and the clients are stand-ins in this process.

Every address is a loopback address. All processes that are started here are
ended by their ids.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
REASONS = {200: "OK", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.out.write("%8.3f %s\n" % (self.now(), text))
        self.out.flush()


def choose_network():
    """A loopback network whose addresses are free."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(16, 250), random.randint(1, 250))
        try:
            for host in range(1, 30):
                with socket.socket() as probe:
                    probe.bind(("%s.%d" % (net, host), 9464))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


async def read_head(reader):
    """The first line and the fields; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's store: a log of keyed topics with long-poll reads."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.on_list = None  # called before a topic is listed
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (ip, port)

    def append(self, topic, key, value):
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    def _newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest

    def _list(self, topic, after):
        newest = self._newest(topic)
        keys = sorted(key for key in newest if after is None or key > after)
        items = [{"key": key.decode(),
                  "value": base64.b64encode(newest[key][1]).decode(),
                  "offset": newest[key][0]} for key in keys[:500]]
        return {"items": items, "more_pages": len(keys) > 500,
                "end": len(self.topics.get(topic, []))}

    async def _read(self, topic, start, wait_s):
        until = time.monotonic() + wait_s
        while len(self.topics.get(topic, [])) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        log = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            body += struct.pack(">IB", 1 + len(key) + len(value), len(key))
            body += key + value
        return body

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                answer = await self._answer(line.split(" ")[1], body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                             % len(answer) + answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        topic = asked.get("topic", "")
        if path == "/v1/log-append":
            log = self.topics.get(topic, [])
            first = len(log)
            while body:
                size, key_size = struct.unpack(">IB", body[:5])
                self.append(topic, body[5:5 + key_size],
                            body[5 + key_size:4 + size])
                body = body[4 + size:]
            return json.dumps({"offset": first,
                               "end": len(self.topics[topic])}).encode()
        if path == "/v1/log-newest":
            if self.on_list is not None:
                self.on_list(topic)
            await asyncio.sleep(0.004)
            return json.dumps(self._list(topic, asked["after"].encode()
                                         if "after" in asked else None)
                              ).encode()
        return await self._read(topic, int(asked["from"]),
                                int(asked.get("wait_ms", 0)) / 1000)


class StorePath:
    """The path of one router to the store. It can be cut: bytes and new
    channels are held up in both directions. The store can also turn the
    router away without a response: calls are dropped, and a channel on which
    a response was lost returns nothing further."""

    def __init__(self, store, record, name):
        self.store = store
        self.record = record
        self.name = name
        self.open = asyncio.Event()
        self.open.set()
        self.turned_away = False
        self.channels = []
        self.address = None
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % (ip,
                                  self.server.sockets[0].getsockname()[1])

    def cut(self):
        self.open.clear()
        self.record("path of %s to the store: cut" % self.name)

    def heal(self):
        self.open.set()
        self.record("path of %s to the store: healed" % self.name)

    def turn_away(self):
        self.turned_away = True
        for channel in self.channels:
            channel["dead"] = True
        self.record("the store gives %s no response" % self.name)

    def serve_again(self):
        self.turned_away = False
        self.record("the store serves %s again" % self.name)

    async def _pump(self, channel, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                if not channel["dead"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        await self.open.wait()
        channel = {"dead": self.turned_away}
        self.channels.append(channel)
        ip, port = self.store.address.split(":")
        try:
            to_store = await asyncio.open_connection(ip, int(port))
        except (ConnectionError, OSError):
            writer.close()
            return
        await asyncio.gather(self._pump(channel, reader, to_store[1]),
                             self._pump(channel, to_store[0], writer))


class Engine:
    """An engine of a service. `behave(engine, request)` decides what happens
    to a request; the default runs it and answers."""

    def __init__(self, fleet, service, behave=None, work_s=0.02):
        self.fleet = fleet
        self.service = service
        self.behave = behave or Engine.run
        self.work_s = work_s
        self.ip = fleet.next_ip()
        self.port = None
        self.server = None
        self.writers = set()
        self.arrivals = []  # (time, id) of requests meant for this engine
        self.runs = []      # (time, id) of requests that began to run
        self.crashes = 0
        fleet.engine_count += 1
        self.id = "i-%s-%d" % (service, fleet.engine_count)
        self.born = int(time.time() * 1000)

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.ip,
                                                 self.port or 0,
                                                 reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": "zone-a", "version": "v1", "slots": 6, "state": state,
            "cold_left_ms": 0, "stage": "both", "models": [], "seq": 1,
            "born": self.born}).encode()

    def register(self, state="ready"):
        self.fleet.store.append("keyed.servers", self.id.encode(),
                                self.entry(state))

    def leave(self):
        """Removes the entry, without a report of draining before it."""
        self.fleet.store.append("keyed.servers", self.id.encode(), b"")
        self.fleet.record("engine %s: the store accepted the removal of its "
                          "entry" % self.id)

    def close(self):
        """Ends the process: its listener and all its channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def crash(self, away_s):
        """Crashes, and is back under a new start after `away_s`."""
        self.crashes += 1
        self.close()
        await asyncio.sleep(away_s)
        self.born = int(time.time() * 1000)
        await self.listen()
        self.register()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, fields, body, writer)
                if not await self._handle(request):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request):
        record = self.fleet.record
        if request.target == "/healthz":
            request.answer(200, "Dandelionvalve-Instance-Id: %s\r\n" % self.id)
            return True
        if request.id is None:
            request.answer(404, "")
            return True
        if request.fields.get("dandelionvalve-expect-instance",
                              self.id) != self.id:
            request.answer(421, "Dandelionvalve-Request-Id: %s\r\n"
                           "Dandelionvalve-Instance-Id: %s\r\n"
                           % (request.id, self.id))
            return True
        self.arrivals.append((record.now(), request.id))
        return await self.behave(self, request)

    async def run(self, request):
        """Runs the request and answers it."""
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        request.answer(200, signed(request.id), b"result of " +
                       request.id.encode())
        return True

    def note_run(self, request):
        self.runs.append((self.fleet.record.now(), request.id))
        self.fleet.record("engine %s: runs %s" % (self.id, request.id))


def signed(request_id):
    return ("Dandelionvalve-Request-Id: %s\r\n"
            "Dandelionvalve-Server-Signature: 1.a\r\n" % request_id)


def reset(writer):
    """Closes a channel with a reset, as a crashed process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Request:
    def __init__(self, method, target, fields, body, writer):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.writer = writer
        self.id = fields.get("dandelionvalve-request-id")

    def answer(self, status, fields, body=b""):
        self.writer.write(
            ("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n"
             % (status, REASONS.get(status, "Status"), fields, len(body))
             ).encode() + body)


class Router:
    """One process, run as the deploy file says."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.ip = "%s.%d" % (fleet.net, 10 + index)
        self.name = "front-%d" % index
        self.callers = (self.ip, 8227)
        self.file = os.path.join(fleet.dir, self.name + ".toml")
        self.process = None
        self.started = None
        self.store_path = None

    def write_settings(self, seeds):
        with open(os.path.join(ROOT, "deploy", "router.toml.in"),
                  encoding="utf-8") as source:
            text = source.read()
        values = dict(self.fleet.settings)
        values.update({
            "node_name": self.name, "zone": "zone-a", "ip": self.ip,
            "platform.address": (self.store_path
                                 or self.fleet.store).address,
            "listen.front": "%s:8227" % self.ip,
            "listen.ready": "%s:8220" % self.ip,
            "listen.control": "%s:8229" % self.ip,
            "seeds|json": json.dumps(seeds)})
        text = re.sub(r"{{#([^{}]+)}}\n(.*?){{/\1}}\n",
                      lambda part: part[2] if part[1] in values else "",
                      text, flags=re.S)
        text = re.sub(r"{{([^{}]+)}}", lambda name: str(values[name[1]]),
                      text)
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(text)

    def start(self):
        log = open(os.path.join(self.fleet.dir, self.name + ".log"), "ab")
        command = self.fleet.command.replace(
            "/etc/dandelionvalve/local.toml", self.file).split(" ")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.started = self.fleet.record.now()
        self.fleet.record("router %s: started" % self.name)

    def send_signal(self, number):
        self.fleet.record("router %s: %s" % (self.name,
                                             signal.Signals(number).name))
        self.process.send_signal(number)

    async def wait_end(self, limit_s):
        until = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        try:
            status, _, _ = await http_get(self.ip, 8220, "/readyz")
            return status == 200
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    async def metrics(self):
        _, _, text = await http_get(self.ip, 9464, "/metrics")
        return text.decode()

    def log_text(self):
        with open(os.path.join(self.fleet.dir, self.name + ".log"),
                  encoding="utf-8", errors="replace") as log:
            return log.read()


async def http_get(ip, port, path):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port),
                                            1)
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                      "\r\n" % (path, ip)).encode())
        head = await asyncio.wait_for(read_head(reader), 2)
        if head is None:
            raise ConnectionError("closed")
        body = await asyncio.wait_for(reader.read(), 2)
        return int(head[0].split(" ")[1]), head[1], body
    finally:
        writer.close()


class Answer:
    """What a client saw: status 0 is a channel that ended without a complete
    answer, or none within the time limit."""

    def __init__(self, status=0, fields=None, body=b"", detail=""):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.detail = detail


class Fleet:
    def __init__(self, record, routers):
        self.record = record
        self.net = choose_network()
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.next_host = 100
        self.engine_count = 0
        self.engines = []
        self.tasks = set()
        self.request_count = 0
        self.version = 0
        self.settings = {
            "bounds.grace_s": 8, "bounds.contact_ms": 3000,
            "bounds.budget_window_s": 10, "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": 54, "bounds.cap_factor": 2}
        self.store = Store(record)
        self.routers = [Router(self, i + 1) for i in range(routers)]
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as deploy:
            self.command = re.search(r'^run = "(.*)"$', deploy.read(),
                                     re.M)[1]
        # Another build of the same program, such as one with sanitizers.
        program = os.environ.get("REVIEW_PROGRAM")
        if program:
            self.command = " ".join([program] + self.command.split(" ")[1:])
        if not os.path.exists(os.path.join(ROOT,
                                           self.command.split(" ")[0])):
            raise CannotRun("the project is not built")

    def next_ip(self):
        """An address of the network; later ones share addresses."""
        self.next_host = self.next_host % 250 + 1
        if self.next_host < 100:
            self.next_host = 101
        return "%s.%d" % (self.net, self.next_host)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self, routes, services, keys=("key-1",)):
        """Writes the next version of the configuration."""
        self.version += 3
        document = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys),
                         "priority": 1}]}
        self.store.append("keyed.op", b"config",
                          json.dumps(document,
                                     separators=(",", ":")).encode())

    async def add_engine(self, service, behave=None, work_s=0.02):
        engine = Engine(self, service, behave, work_s)
        await engine.listen()
        engine.register()
        self.engines.append(engine)
        return engine

    async def add_store_paths(self):
        for router in self.routers:
            router.store_path = StorePath(self.store, self.record,
                                          router.name)
            await router.store_path.start(self.next_ip())

    async def start_routers(self, routers=None):
        routers = self.routers if routers is None else routers
        seeds = ["%s:8229" % router.ip for router in self.routers[:3]]
        for router in routers:
            router.write_settings(seeds)
            router.start()
        for router in routers:
            await self.wait_ready(router)

    async def wait_ready(self, router):
        for _ in range(200):
            if await router.is_ready():
                return
            if router.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("router %s is not ready" % router.name)

    def next_id(self, prefix="r"):
        self.request_count += 1
        return "%s%06d" % (prefix, self.request_count)

    async def call(self, router, method, target, body=b"", deadline_ms=1500,
                   request_id=None, fields="", key="key-1"):
        """Sends one request on a new channel and waits for its end."""
        request_id = request_id or self.next_id()
        self.record("client: sends %s %s %s to %s" % (request_id, method,
                                                      target, router.name))
        try:
            answer = await asyncio.wait_for(
                self._call(router, method, target, body, deadline_ms,
                           request_id, fields, key), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            answer = Answer(detail="no answer 1 s after the time limit")
        except (ConnectionError, OSError) as error:
            answer = Answer(detail=str(error))
        self.record("client: %s ended with %s %s" % (
            request_id, answer.status or "no answer", answer.detail))
        return answer

    async def _call(self, router, method, target, body, deadline_ms,
                    request_id, fields, key):
        reader, writer = await asyncio.open_connection(*router.callers,
                                                       limit=1 << 20)
        try:
            length = ("Content-Length: %d\r\n" % len(body)
                      if body or method == "POST" else "")
            writer.write((
                "%s %s HTTP/1.1\r\nHost: %s\r\n"
                "Dandelionvalve-Request-Id: %s\r\n"
                "Dandelionvalve-Deadline-Ms: %d\r\n"
                "Authorization: Bearer %s\r\n%s%s\r\n"
                % (method, target, HOST, request_id, deadline_ms, key, fields,
                   length)).encode() + body)
            head = await read_head(reader)
            if head is None:
                return Answer(detail="the channel ended before a head")
            status = int(head[0].split(" ")[1])
            try:
                data = await read_body(reader, head[1])
            except (asyncio.IncompleteReadError, ConnectionError, OSError):
                return Answer(detail="the answer with status %d is incomplete"
                              % status)
            return Answer(status, head[1], data)
        finally:
            writer.close()

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()
        for engine in self.engines:
            engine.close()
        for server in [self.store] + [router.store_path for router
                                      in self.routers if router.store_path]:
            if server.server is not None:
                server.server.close()
        if "KEEP" in os.environ:
            shutil.copytree(self.dir, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


class KeptChannel:
    """A client's channel that is used for one request after another."""

    def __init__(self, fleet, router):
        self.fleet = fleet
        self.router = router
        self.streams = None
        self.requests = 0  # on the present channel

    async def call(self, method, target, body=b"", deadline_ms=3000,
                   request_id=None):
        """Status 0: the channel has ended without a complete answer; None: the
        client has waited for 1 s beyond its time limit."""
        request_id = request_id or self.fleet.next_id()
        self.fleet.record("client: sends %s %s %s to %s" % (
            request_id, method, target, self.router.name))
        try:
            if self.streams is None:
                self.requests = 0
                self.streams = await asyncio.open_connection(
                    *self.router.callers, limit=1 << 20)
            self.requests += 1
            status = await asyncio.wait_for(
                self._call(method, target, body, deadline_ms, request_id),
                deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            status = None
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            status = 0
        self.fleet.record("client: %s ended with %s" % (request_id, status or
                                                        "no answer"))
        if not status:
            self.close()
        return status

    async def _call(self, method, target, body, deadline_ms, request_id):
        reader, writer = self.streams
        length = ("Content-Length: %d\r\n" % len(body)
                  if body or method == "POST" else "")
        writer.write((
            "%s %s HTTP/1.1\r\nHost: %s\r\n"
            "Dandelionvalve-Request-Id: %s\r\n"
            "Dandelionvalve-Deadline-Ms: %d\r\n"
            "Authorization: Bearer key-1\r\n%s\r\n"
            % (method, target, HOST, request_id, deadline_ms, length)
        ).encode() + body)
        head = await read_head(reader)
        if head is None:
            return 0
        await read_body(reader, head[1])
        if head[1].get("connection", "") == "close":
            self.close()
        return int(head[0].split(" ")[1])

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        data = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return data
            data += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def route(name, service, kind, attempts=1, timeout_ms=800, slo_ms=300,
          **more):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name,
            "kind": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms,
            "priority": 2, "service": service, "max_attempts": attempts,
            "public": False, "sticky": False, "resumable": False, **more}


def service(name, max_conns=100):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns,
            "protocol": "h1", "tls": False}


def main(case, routers, folder, limit_s=115):
    """Runs `case(fleet)`, which returns whether the rule held."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        fleet = None
        try:
            fleet = Fleet(record, routers)
            await fleet.store.start(fleet.next_ip())
            held = await asyncio.wait_for(case(fleet), limit_s)
            record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except CannotRun as error:
            record("cannot run: %s" % error)
            return 2
        except asyncio.TimeoutError:
            record("cannot run: not finished in %d s" % limit_s)
            return 2
        except Exception:  # a fault of the stand-ins shows no broken rule
            record("cannot run: %s" % traceback.format_exc())
            return 2
        finally:
            if fleet is not None:
                await fleet.stop()

    record("trouble: %s" % ("on" if TROUBLE else "off"))
    status = asyncio.run(run())
    print("%s: %s" % (os.path.basename(folder),
                      {0: "held", 1: "broken", 2: "could not run"}[status]))
    return status
