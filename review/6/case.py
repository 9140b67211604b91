"""The store gives no answer to two of seven routers, the two that read it for
all: the others go on with a key that was taken away."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from rig import *

ROUTERS = 7
ROUNDS = 4
LAST_ROUND_AT_S = 70
CONFIG_DEADLINE_S = 2.0
OUTAGE_S = 4.5
CALM_S = 5.0  # more than contact_ms, before each round
SETTLE_S = 25  # until two routers read again


async def run(engine, request, reader, writer):
    writer.write(message(200, engine.signed(request), b"done"))


def configure(rig, version, keys):
    value = configuration(
        version, [route("lookup", "orders", "idempotent", "/lookup/")],
        [("orders", {})])
    value["tenants"] = [{"name": "tenant-1", "api_keys": ["key-1"] + keys}]
    rig.configure(value)
    return now()


def probe(rig, router, key, acked, stop, late):
    """Sends requests with a key that is to be gone, one each 50 ms."""
    sock = None
    while not stop.is_set():
        request_id = new_id()
        data = request_bytes("GET", "/lookup/1", request_id, b"", 2000)
        sent = now()
        try:
            sock = sock or socket.create_connection(router.callers, 1)
            sock.sendall(data.replace(b"Bearer key-1", b"Bearer " + key))
            answer = read_answer(sock, 2)
        except OSError:
            sock = None
            continue
        after = sent - acked
        rig.record.say("caller: id=%s with the revoked key, sent %.2f s after "
                       "the ack to %s -> %d" % (
                           request_id, after, router.name, answer.status))
        if answer.status == 200 and after > CONFIG_DEADLINE_S:
            late.append((router.name, after))
        stop.wait(0.05)
    if sock:
        sock.close()


def wait_for_readers(rig):
    """The two routers that read the store for all."""
    until = now() + SETTLE_S
    while now() < until:
        readers = rig.store.readers("keyed.op")
        if len(readers) == 2:
            return readers
        time.sleep(0.01)
    raise CannotRun("%d routers read the store" % len(readers))


def play(rig, number):
    key = "key-r%d" % number
    configure(rig, 10 * number, [key])
    # A moment drawn from the reads of the first reader, 1.2 s each.
    time.sleep(CALM_S + random.random() * 1.2)
    readers = wait_for_readers(rig)
    rig.record.say("store: reads of keyed.op wait from %s" % " ".join(
        router.name for router in rig.routers if router.store in readers))
    if trouble():
        for address in readers:
            rig.store.set_mode(address, "silent")
    time.sleep(0.1)
    acked = configure(rig, 10 * number + 1, [])
    rig.record.say("store: version %d is acked, %s is revoked" % (
        10 * number + 1, key))
    stop, late, threads = threading.Event(), [], []
    for router in rig.routers:
        if router.store not in readers:
            threads.append(threading.Thread(
                target=probe,
                args=(rig, router, key.encode(), acked, stop, late)))
            threads[-1].start()
    time.sleep(OUTAGE_S)
    stop.set()
    for thread in threads:
        thread.join()
    for address in readers:
        rig.store.set_mode(address, "up")
    ran = {request.id for engine in rig.engines
           for request in engine.arrivals}
    rig.record.say("round %d: %d late requests at %d routers, the last %.2f s "
                   "after the ack; engines got %d requests in all" % (
                       number, len(late), len({name for name, _ in late}),
                       max([after for _, after in late] or [0]), len(ran)))
    return late


def case(rig):
    rig.add_routers(ROUTERS)
    for index in range(3):
        rig.add_engine("i-%d" % index, "orders", run)
    configure(rig, 1, [])
    rig.start()
    time.sleep(4)
    broken = []
    rounds = 0
    started = now()
    for number in range(1, ROUNDS + 1):
        if now() - started > LAST_ROUND_AT_S:
            break
        try:
            late = play(rig, number)
        except CannotRun as error:
            if rounds == 0:
                raise
            rig.record.say("no further round: %s" % error)
            break
        rounds += 1
        if late:
            broken.append("%d requests, up to %.2f s" % (
                len(late), max(after for _, after in late)))
    return "CONFIG: in %d of %d rounds routers in touch ran requests with a " \
        "revoked key over %.0f s after the ack: %s" % (
            len(broken), rounds, CONFIG_DEADLINE_S, "; ".join(broken)) \
        if broken else ""


main(HERE, case)
