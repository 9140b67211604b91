"""A leaving engine gets new requests again, since an entry that it had written
before was executed late."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from rig import *

DRAIN_S = 2.0
WORK_S = 1.2
CALLERS = 12
# The store executes a write without an answer up to 6 s later.
LATE_S = 3.0
# After the removal of its entry, the engine serves on for drain_ms and a
# little longer.
SERVES_ON_S = 3.6


class Leaver:
    leaving = False
    gone = False


async def serve(engine, request, reader, writer):
    leaver = engine.name == "i-leaver"
    await asyncio.sleep(WORK_S)
    if leaver and Leaver.gone:
        writer.transport.abort()
        return False
    more = [("Server-Leaving", "1")] if leaver and Leaver.leaving else []
    writer.write(message(200, engine.signed(request, *more), b"booked"))


class Calls:
    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}      # id -> (router, time)
        self.told = {}      # router -> when it first passed the word on
        self.answers = {}   # id -> status or error


def call_on(rig, router, calls, stop):
    sock = None
    while not stop.is_set():
        request_id = new_id()
        with calls.lock:
            calls.sent[request_id] = (router.name, now())
        try:
            sock = sock or socket.create_connection(router.callers, 1)
            sock.sendall(request_bytes("POST", "/booking/1", request_id,
                                       b"slot", 5000))
            answer = read_answer(sock, 5)
        except OSError as error:
            sock = None
            with calls.lock:
                calls.answers[request_id] = str(error)
            continue
        rig.record.say("caller: id=%s sent to %s -> %d %s" % (
            request_id, router.name, answer.status, answer.error))
        with calls.lock:
            calls.answers[request_id] = answer.status
            if answer.fields.get("server-leaving") == "1" and \
                    router.name not in calls.told:
                calls.told[router.name] = now()
                rig.record.say("router %s: has passed on Server-Leaving of "
                               "i-leaver" % router.name)
        if not answer.complete or answer.fields.get("connection") == "close":
            sock.close()
            sock = None
        stop.wait(0.02)
    if sock:
        sock.close()


def case(rig):
    rig.add_routers(2)
    leaver = rig.add_engine("i-leaver", "orders", serve, slots=6)
    rig.add_engine("i-1", "orders", serve, slots=6)
    rig.add_engine("i-2", "orders", serve, slots=6)
    rig.configure(configuration(
        1, [route("booking", "orders", "non_idempotent", "/booking/",
                  max_attempts=1)], [("orders", {})]))
    rig.start()
    calls, stop, threads = Calls(), threading.Event(), []
    for index in range(CALLERS):
        threads.append(threading.Thread(target=call_on, args=(
            rig, rig.routers[index % 2], calls, stop)))
        threads[-1].start()
    time.sleep(4)
    rig.record.say("engine i-leaver: sends its entry once more; the store "
                   "gives no answer")
    sent_at = now()
    time.sleep(0.2)
    Leaver.leaving = True
    rig.record.say("engine i-leaver: leaves, and says so in its answers")
    time.sleep(0.3)
    leaver.lapse()
    removed_at = now()
    time.sleep(max(0, sent_at + LATE_S - now()))
    if trouble():
        rig.record.say("store: executes the late write of i-leaver, %.1f s "
                       "after it was sent" % (now() - sent_at))
        leaver.announce()
    time.sleep(max(0, removed_at + SERVES_ON_S - now()))
    Leaver.gone = True
    leaver.lapse()
    rig.record.say("engine i-leaver: exits")
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join()
    if len(calls.told) != 2:
        raise CannotRun("a router has not passed on Server-Leaving")
    late = []
    for request in leaver.arrivals:
        name, at = calls.sent.get(request.id, ("", 0))
        if name and at - calls.told[name] > DRAIN_S:
            late.append((request.id, at - calls.told[name]))
            rig.record.say("late: id=%s was sent %.2f s after %s had passed on "
                           "Server-Leaving, answer %s" % (
                               request.id, at - calls.told[name], name,
                               calls.answers.get(request.id)))
    cut = [request_id for request_id, _ in late
           if calls.answers.get(request_id) != 200]
    return "DRAIN: %d bookings reached the leaving engine that were sent over " \
        "%.0f s after Server-Leaving had been passed on (up to %.1f s), %d of " \
        "them were lost at its end" % (
            len(late), DRAIN_S, max(after for _, after in late),
            len(cut)) if late else ""


main(HERE, case)
