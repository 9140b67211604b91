"""An engine leaves while one request of each router is still at work there,
and answers it with an event that does not end."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
sys.dont_write_bytecode = True
import fleet as f  # noqa: E402

LOST_MAX = 3       # of the rule
SPOILED = 0.05     # garble "unframed": x, of the engine's answers
ROUTERS = 2
LOOKS = 12         # clients of plain requests for each router
CHATS = 6          # clients of streams for each router
WORK_S = 0.06      # of an engine for a plain request
EVENT_S = 0.005
DOWN_S = 0.5       # a process that has ended is restarted after a short delay
AT_ONCE = 2        # engines that are replaced one after the other
SERVES_S = 2.5     # drain_ms and a little longer
BYTES_MAX = 16 * 1024 * 1024
LENGTH_S = float(os.environ.get("LENGTH", 95.0))


async def stream(engine, request):
    """A sound stream of a few events."""
    engine.note_run(request)
    request.writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n" % f.signed(request.id)).encode())
    after = int(request.fields.get("last-event-id") or 0)
    for number in range(after + 1, 5):
        await asyncio.sleep(EVENT_S)
        event = b"id: %d\ndata: piece\n\n" % number
        request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    request.writer.write(b"0\r\n\r\n")
    return True


class Leaving:
    """Answers well, leaves, and spoils its last answer to each router."""

    def __init__(self, sent):
        self.sent = sent  # request id -> router
        self.answered = 0
        self.left = False
        self.spoiled = {}  # router -> request id
        self.done = asyncio.Event()

    async def behave(self, engine, request):
        router = self.sent.get(request.id)
        due = ROUTERS <= SPOILED * self.answered
        if not due or self.left or router in self.spoiled:
            self.answered += 1
            return await stream(engine, request)
        self.spoiled[router] = request.id
        engine.note_run(request)
        if len(self.spoiled) < ROUTERS:
            await asyncio.sleep(0.05)
        if not self.left:
            self.left = True
            engine.leave()
        await asyncio.sleep(0.15)
        if not f.TROUBLE:
            await stream(engine, request)
        else:
            await self.send_endless(engine, request)
        if router == list(self.spoiled)[-1]:
            self.done.set()
        return not f.TROUBLE

    async def send_endless(self, engine, request):
        size = 0
        try:
            request.writer.write((
                "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n"
                "id: 1\ndata: " % f.signed(request.id)).encode())
            while size < BYTES_MAX:
                request.writer.write(b"x" * 65536)
                size += 65536
                await request.writer.drain()
        except (ConnectionError, OSError):
            pass
        engine.fleet.record("engine %s: %s got %d bytes, until the caller "
                            "closed" % (engine.id, request.id, size))


class Client:
    """Sends one request after the other on a kept channel."""

    def __init__(self, fleet, router, sent, method, target):
        self.fleet = fleet
        self.router = router
        self.sent = sent
        self.method = method
        self.target = target
        self.cut = []  # requests on a kept channel that ended without answer

    async def run(self):
        channel = f.KeptChannel(self.fleet, self.router)
        while True:
            request_id = self.fleet.next_id(self.target[1:5] + "-")
            self.sent[request_id] = self.router.name
            status = await channel.call(self.method, self.target,
                                        request_id=request_id)
            if status == 0 and channel.requests > 1:
                self.fleet.record("client: %s on a kept channel to %s ended "
                                  "without an answer" % (request_id,
                                                         self.router.name))
                self.cut.append(request_id)
            if status != 200:
                await asyncio.sleep(0.2)


async def restart_when_ended(fleet, router, ends):
    while True:
        await asyncio.sleep(0.05)
        if router.process.poll() is not None:
            ends.append(router.process.returncode)
            fleet.record("router %s: ended by itself, status %d"
                         % (router.name, router.process.returncode))
            await asyncio.sleep(DOWN_S)
            router.start()


async def end(engine):
    """An engine serves for drain_ms after it has left, and then exits."""
    await asyncio.sleep(SERVES_S)
    engine.close()


def find_lost(clients, sound):
    """Requests of kept channels that sound engines got and that ended
    without an answer."""
    ran = {run[1] for engine in sound for run in engine.runs}
    return [request_id for client in clients for request_id in client.cut
            if request_id in ran]


async def replace_engines(fleet, sent, goes_on):
    """Adds an engine that leaves, and another one when it has left."""
    count = 0
    while goes_on():
        count += 1
        leaving = Leaving(sent)
        engine = await fleet.add_engine("models", leaving.behave)
        try:
            await asyncio.wait_for(leaving.done.wait(), 5)
        except asyncio.TimeoutError:
            fleet.record("engine %s: not all routers used it" % engine.id)
        if not leaving.left:
            engine.leave()
        fleet.spawn(end(engine))
    return count


async def case(fleet):
    sent = {}
    fleet.configure(
        [f.route("look", "orders", "idempotent", attempts=2),
         f.route("chat", "models", "streaming", attempts=2, timeout_ms=15000,
                 slo_ms=500, resumable=True, gap_target_ms=600)],
        [f.service("orders"), f.service("models")])
    sound = [await fleet.add_engine("orders", work_s=WORK_S)
             for _ in range(3)]
    for _ in range(2):
        await fleet.add_engine("models", stream)
    await fleet.start_routers()
    await asyncio.sleep(3.5)
    looks = [Client(fleet, router, sent, "GET", "/look/1")
             for router in fleet.routers for _ in range(LOOKS)]
    chats = [Client(fleet, router, sent, "GET", "/chat/1")
             for router in fleet.routers for _ in range(CHATS)]
    for client in looks + chats:
        fleet.spawn(client.run())
    ends = []
    for router in fleet.routers:
        fleet.spawn(restart_when_ended(fleet, router, ends))
    until = fleet.record.now() + LENGTH_S
    left = await asyncio.gather(*[
        replace_engines(fleet, sent,
                        lambda: (fleet.record.now() < until and
                                 len(find_lost(looks, sound)) <= LOST_MAX))
        for _ in range(AT_ONCE)])
    lost = find_lost(looks, sound)
    fleet.record("%d engines left; routers that ended by themselves: %d, "
                 "statuses %s" % (sum(left), len(ends),
                                  " ".join(map(str, ends)) or "none"))
    fleet.record("requests of kept channels that were passed on to a sound "
                 "engine and ended without an answer: %d, %d allowed"
                 % (len(lost), LOST_MAX))
    return len(lost) <= LOST_MAX


if __name__ == "__main__":
    sys.exit(f.main(case, ROUTERS, FOLDER))
