"""Callers that send requests one behind the other on a channel and read the
answers slowly: the answers pile up in the router without a bound."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from rig import *

CALLERS = 8
REQUESTS = 700  # of each caller
ANSWER_BYTES = 64 * 1024
# Of each caller: 42 MB/s of answers in all, a third of the machine's link.
REQUESTS_PER_S = 80
READ_BYTES_PER_S = 200 * 1000
ORDINARY_WORK_S = 14


async def serve(engine, request, reader, writer):
    if request.target.startswith("/book/"):
        engine.rig.record.say("engine %s: runs id=%s" % (
            engine.name, request.id))
        await asyncio.sleep(ORDINARY_WORK_S)
        writer.write(message(200, engine.signed(request), b"booked"))
        return
    writer.write(message(200, engine.signed(request), b"o" * ANSWER_BYTES))


def read_on(sock, stop, total):
    started = now()
    try:
        while not stop.is_set():
            sock.settimeout(0.5)
            try:
                piece = sock.recv(65536)
            except socket.timeout:
                continue
            if not piece:
                break
            total[0] += len(piece)
            wait = started + total[0] / READ_BYTES_PER_S - now()
            if trouble() and wait > 0:
                stop.wait(wait)
    except OSError:
        pass


def press(rig, router, stop, totals):
    total = [0]
    sent = 0
    sock = slow_connection(router.callers)
    reader = threading.Thread(target=read_on, args=(sock, stop, total))
    reader.start()
    started = now()
    error = ""
    try:
        while sent < REQUESTS and not stop.is_set():
            sock.sendall(request_bytes("GET", "/lookup/1", new_id(), b"",
                                       15000))
            sent += 1
            wait = started + sent / REQUESTS_PER_S - now()
            if wait > 0:
                stop.wait(wait)
    except OSError as failed:
        error = str(failed)
    stop.wait(2)
    stop.set()
    reader.join()
    sock.close()
    totals.append(sent)
    rig.record.say("caller: sent %d requests, read %d bytes %s" % (
        sent, total[0], error))


def case(rig):
    rig.add_routers(1)
    for index in range(3):
        rig.add_engine("i-%d" % index, "orders", serve)
    rig.configure(configuration(
        1, [route("lookup", "orders", "idempotent", "/lookup/"),
            route("book", "orders", "non_idempotent", "/book/",
                  timeout_ms=30000, max_attempts=1)], [("orders", {})]))
    rig.start()
    router = rig.routers[0]
    watch = MemoryWatch(rig, router)
    ordinary = []
    ordinary_id = new_id("ordinary")
    rig.record.say("caller: sends id=%s, an ordinary booking" % ordinary_id)
    waiting = threading.Thread(target=lambda: ordinary.append(ask(
        router.callers, request_bytes("POST", "/book/1", ordinary_id, b"slot",
                                      30000), 30)))
    waiting.start()
    totals = []
    threads = [threading.Thread(
        target=press, args=(rig, router, threading.Event(), totals))
        for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    waiting.join()
    watch.stop()
    rig.record.say("caller: id=%s status=%d %s" % (
        ordinary_id, ordinary[0].status, ordinary[0].error))
    if router.process.poll() is not None and not watch.killed:
        return "Fault: the router ended by itself"
    return "Fault: the router exceeded the memory of its machine (%d MB) " \
        "and was killed; the ordinary booking got: %s" % (
            MEMORY_MB, ordinary[0].status or ordinary[0].error) \
        if watch.killed else ""


main(HERE, case)
