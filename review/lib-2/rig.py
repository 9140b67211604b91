"""Stand-ins for the platform's store, engines and clients, and the routers
themselves as processes, for the cases of the second review.

The stand-ins run on an event loop in a thread. Clients are blocking sockets.
Each run takes a loopback network of its own.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
PROGRAM = os.path.join(ROOT, "target", "dvdirect")
TEMPLATE = os.path.join(ROOT, "deploy", "router.toml.in")

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The figures of a small deployment, as its site file states them.
MEMORY_MB = 260
DESCRIPTORS = 4100
BOUNDS = {"contact_ms": 3000, "grace_s": 8, "budget_window_s": 10,
          "retry_budget_ratio": 0.2, "budget_slack": 52, "cap_factor": 2}


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = now()

    def say(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() - self.started, text))
            self.file.flush()


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.at = now()

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def id(self):
        return self.get("Dandelionvalve-Request-Id")


async def read_request(reader):
    """The next request on a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = [tuple(part.strip() for part in line.split(":", 1))
              for line in lines[1:] if line]
    request = Request(method, target, fields, b"")
    length = int(request.get("Content-Length", "0") or 0)
    if length:
        try:
            request.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


def message(status, fields=(), body=b"", reason="X"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    head += "".join("%s: %s\r\n" % field for field in fields)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


class Loop:
    """An event loop in a thread; `call` runs a coroutine on it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(30)

    def soon(self, function, *args):
        self.loop.call_soon_threadsafe(function, *args)


class Store:
    """The platform's store: a log with keyed topics, each of one partition.

    `mode` of a listening address: "up", "busy" (503), "reset", "silent".
    """

    def __init__(self, loop, record):
        self.loop = loop
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.mode = {}
        self.waiting = {}
        self.servers = []

    def listen(self, ip, port):
        self.mode[(ip, port)] = "up"
        self.waiting[(ip, port)] = set()

        async def start():
            return await asyncio.start_server(
                lambda r, w: self.serve(r, w, (ip, port)), ip, port)
        self.servers.append(self.loop.call(start()))

    def set_mode(self, address, mode):
        self.record.say("store: %s:%d is now %s" % (*address, mode))
        self.mode[address] = mode
        if mode != "up":
            self.loop.soon(self._wake)

    def readers(self, topic):
        """The addresses at which a read of the topic is waiting."""
        return [address for address, topics in list(self.waiting.items())
                if topic in topics]

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self._wake()

    def put(self, topic, key, value):
        """Appends a record; an empty value drops the key."""
        done = threading.Event()

        def run():
            self._append(topic, key.encode(), value)
            done.set()
        self.loop.soon(run)
        done.wait(10)

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    async def serve(self, reader, writer, address):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                mode = self.mode[address]
                if mode == "up":
                    answer = await self.answer(request, address)
                    mode = self.mode[address]
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "busy":
                    answer = message(503)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, address):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.topics.setdefault(query.get("topic", ""), [])
        if url.path == "/v1/log-append":
            offset = len(records)
            at = 0
            while at + 4 <= len(request.body):
                size = struct.unpack(">I", request.body[at:at + 4])[0]
                item = request.body[at + 4:at + 4 + size]
                key = item[1:1 + item[0]]
                self._append(query["topic"], key, item[1 + item[0]:])
                at += 4 + size
            return self.json({"offset": offset, "end": len(records)})
        if url.path == "/v1/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            items = [{"key": key.decode(),
                      "value": base64.b64encode(value).decode(),
                      "offset": offset}
                     for key, (value, offset) in sorted(newest.items())
                     if value]
            return self.json({"items": items, "more_pages": False,
                              "end": len(records)})
        if url.path == "/v1/log-read":
            start = int(query["from"])
            until = now() + int(query.get("wait_ms", "0")) / 1000
            waits = until > now()
            if waits:
                self.waiting[address].add(query["topic"])
            while len(records) <= start and now() < until and \
                    self.mode[address] == "up":
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
            if waits:
                self.waiting[address].discard(query["topic"])
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                item = bytes([len(key)]) + key + value
                body += struct.pack(">I", len(item)) + item
            return message(200, (), body)
        return message(404)

    @staticmethod
    def json(value):
        return message(200, [("Content-Type", "application/json")],
                       json.dumps(value).encode())


class Engine:
    """An engine or a plain service. `handler` is a coroutine function that
    takes the engine, the request, the reader and the writer, writes one
    answer and returns False to close the connection."""

    def __init__(self, rig, name, service, address, handler, slots=64,
                 zone="z1"):
        self.rig = rig
        self.name = name
        self.service = service
        self.address = address
        self.handler = handler
        self.slots = slots
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.connections = set()

        async def start():
            return await asyncio.start_server(self.serve, *address)
        self.server = rig.loop.call(start())

    def entry(self, state="ready"):
        return {"service": self.service,
                "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state,
                "cold_left_ms": 0, "seq": 1, "born": self.born}

    def announce(self, state="ready"):
        self.rig.record.say("engine %s: entry is %s" % (self.name, state))
        self.rig.store.put_json("keyed.servers", self.name,
                                self.entry(state))

    def lapse(self):
        self.rig.record.say("engine %s: entry is removed" % self.name)
        self.rig.store.put("keyed.servers", self.name, b"")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                expected = request.get("Dandelionvalve-Expect-Instance")
                if expected and expected != self.name:
                    writer.write(message(421, self.fields(request)))
                    continue
                if request.id:
                    self.arrivals.append(request)
                    self.rig.record.say("engine %s: got id=%s %s %s" % (
                        self.name, request.id, request.method,
                        request.target))
                if await self.handler(self, request, reader,
                                      writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def fields(self, request, *more):
        return [("Dandelionvalve-Request-Id", request.id),
                ("Dandelionvalve-Instance-Id", self.name)] + list(more)

    def signed(self, request, *more):
        return self.fields(
            request, ("Dandelionvalve-Server-Signature", "sound." + request.id),
            *more)


class Router:
    def __init__(self, rig, index):
        self.rig = rig
        self.ip = "%s.%d" % (rig.net, 10 + index)
        self.name = "front-%d" % (index + 1)
        self.store = ("%s.%d" % (rig.net, 100 + index), 8223)
        self.callers = (self.ip, 8227)
        self.ready = (self.ip, 8220)
        self.process = None
        self.starts = 0

    def settings(self):
        values = {
            "node_name": self.name, "zone": "z1",
            "platform.address": "%s:%d" % self.store,
            "listen.front": "%s:%d" % self.callers,
            "listen.ready": "%s:%d" % self.ready,
            "listen.control": "%s:8229" % self.ip,
            "ip": self.ip,
            "seeds|json": json.dumps(
                ["%s:8229" % router.ip for router in self.rig.routers[:3]]),
        }
        values.update({"bounds." + key: str(value)
                       for key, value in BOUNDS.items()})
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        assert "{{" not in text, text
        return text

    def start(self):
        path = os.path.join(self.rig.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.starts += 1
        self.log = os.path.join(
            self.rig.folder, "%s.%d.log" % (self.name, self.starts))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env.update(DVDIRECT_COLD_RATE_FACTOR="", DVDIRECT_COLD_SLACK="",
                   DVDIRECT_MEMORY_LIMIT_MB=str(MEMORY_MB),
                   DVDIRECT_DESCRIPTORS_MAX=str(DESCRIPTORS),
                   DANDELIONVALVE_SETTINGS=path)
        with open(self.log, "wb") as out:
            self.process = subprocess.Popen(
                [PROGRAM, "--config", path], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        self.rig.record.say("router %s: started, pid %d" % (
            self.name, self.process.pid))

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if self.is_ready():
                self.rig.record.say("router %s: ready" % self.name)
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.05)
        raise CannotRun("router %s is not ready: %s" % (
            self.name, open(self.log, encoding="utf-8",
                            errors="replace").read()[-800:]))

    def signal(self, number):
        self.rig.record.say("router %s: %s" % (
            self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def status(self, field):
        """A line of /proc/PID/status in kB, or None if the process is gone."""
        try:
            with open("/proc/%d/status" % self.process.pid,
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except OSError:
            pass
        return None


class MemoryWatch:
    """Does what the platform does: kills a process whose memory exceeds that
    of its machine. Only resident memory of the process itself is counted."""

    def __init__(self, rig, router):
        self.rig = rig
        self.router = router
        self.limit_kb = MEMORY_MB * 1024
        self.peak_kb = 0
        self.killed = False
        self.stopped = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        said = now()
        while not self.stopped and self.router.process.poll() is None:
            held_kb = self.router.status("VmRSS") or 0
            self.peak_kb = max(self.peak_kb, held_kb)
            if now() - said >= 1:
                said = now()
                self.rig.record.say("router %s: holds %d kB" % (
                    self.router.name, held_kb))
            if held_kb > self.limit_kb:
                self.rig.record.say(
                    "platform: kills router %s, which holds %d kB of %d kB" % (
                        self.router.name, held_kb, self.limit_kb))
                self.killed = True
                self.router.process.kill()
                return
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        self.thread.join(5)
        self.rig.record.say("router %s: held at most %d kB of %d kB" % (
            self.router.name, self.peak_kb, self.limit_kb))


class CannotRun(Exception):
    pass


class Rig:
    def __init__(self, folder):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/dvdirect is not built")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="dvreview.")
        self.net = "127.%d.%d" % (random.randint(20, 250),
                                  random.randint(1, 250))
        self.loop = Loop()
        self.store = Store(self.loop, self.record)
        self.routers = []
        self.engines = []

    def add_routers(self, count):
        for index in range(count):
            self.routers.append(Router(self, index))
            self.store.listen(*self.routers[-1].store)

    def add_engine(self, name, service, handler, **options):
        address = ("%s.%d" % (self.net, 150 + len(self.engines)), 8080)
        engine = Engine(self, name, service, address, handler, **options)
        self.engines.append(engine)
        return engine

    def configure(self, configuration):
        self.record.say("operator: version %d" % configuration["version"])
        self.store.put_json("keyed.op", "config", configuration)

    def start(self):
        for engine in self.engines:
            engine.announce()
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_ready()

    def stop(self):
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            if router.process is not None:
                router.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def route(name, service, kind, prefix, **more):
    return dict({"name": name, "host": "a.example", "path_prefix": prefix,
                 "kind": kind, "timeout_ms": 12000, "slo_ms": 1000,
                 "priority": 1, "service": service, "max_attempts": 2,
                 "public": False, "sticky": False}, **more)


def configuration(version, routes, services, limits=None):
    return {"version": version, "routes": routes,
            "services": [dict({"name": name, "health_path": "/healthz",
                               "max_conns": 360, "protocol": "h1",
                               "tls": False}, **more)
                         for name, more in services],
            "limits": dict(LIMITS, **(limits or {})),
            "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}]}


ids = iter(range(1, 1 << 30))


def new_id(prefix="r"):
    return "%s%06x" % (prefix, next(ids))


def request_bytes(method, target, request_id, body=b"", deadline_ms=12000,
                  fields=()):
    head = ("%s %s HTTP/1.1\r\nHost: a.example\r\n"
            "Dandelionvalve-Request-Id: %s\r\n"
            "Dandelionvalve-Deadline-Ms: %d\r\n"
            "Authorization: Bearer key-1\r\n" % (
                method, target, request_id, deadline_ms))
    head += "".join("%s: %s\r\n" % field for field in fields)
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.error = ""


def read_answer(sock, limit_s, pace=None, has_body=True):
    """Reads one answer; `pace` is called with the bytes received so far."""
    answer = Answer()
    until = now() + limit_s
    data = b""
    received = 0

    def more():
        nonlocal data, received
        left = until - now()
        if left <= 0:
            raise TimeoutError("time limit")
        sock.settimeout(left)
        piece = sock.recv(16384)
        if not piece:
            raise EOFError("closed")
        data += piece
        received += len(piece)
        if pace:
            pace(received)

    try:
        while b"\r\n\r\n" not in data:
            more()
        head, data = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.fields = {line.split(":", 1)[0].strip().lower():
                         line.split(":", 1)[1].strip()
                         for line in lines[1:]}
        if "content-length" in answer.fields:
            length = int(answer.fields["content-length"])
            chunks = []
            got = len(data)
            chunks.append(data)
            data = b""
            while got < length and has_body:
                more()
                got += len(data)
                chunks.append(data)
                data = b""
            answer.body = b"".join(chunks)
        elif answer.fields.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in data:
                    more()
                line, data = data.split(b"\r\n", 1)
                size = int(line, 16)
                while len(data) < size + 2:
                    more()
                answer.body += data[:size]
                data = data[size + 2:]
                if size == 0:
                    break
        else:
            try:
                while True:
                    more()
            except EOFError:
                answer.body = data
        answer.complete = True
    except (OSError, EOFError, TimeoutError) as error:
        answer.error = "%s" % (str(error) or type(error).__name__)
        if not answer.body:
            answer.body = data
    return answer


def slow_connection(address):
    """A channel with small windows and segments, as on a poor link."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.settimeout(2)
    sock.connect(address)
    return sock


def ask(address, data, limit_s=12, sock=None):
    """Sends one request on a new connection and reads its answer."""
    own = sock is None
    try:
        sock = sock or socket.create_connection(address, 1)
        sock.sendall(data)
        return read_answer(sock, limit_s)
    except OSError as error:
        answer = Answer()
        answer.error = str(error)
        return answer
    finally:
        if own and sock is not None:
            sock.close()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case):
    """Runs `case(rig)`, which returns what broke the rule, or ""."""
    rig = None
    status = NOT_RUN
    try:
        rig = Rig(folder)
        rig.record.say("disruption: %s" % ("yes" if trouble() else "no"))
        broken = case(rig)
        rig.record.say("result: %s" % (broken or "the rule held"))
        print(broken or "the rule held")
        status = BROKEN if broken else HELD
    except CannotRun as error:
        print("cannot run: %s" % error)
        if rig is not None:
            rig.record.say("cannot run: %s" % error)
    finally:
        if rig is not None:
            rig.stop()
    sys.stdout.flush()
    os._exit(status)
