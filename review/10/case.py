"""The body of a request is run as a request of its own, if the method is
CONNECT."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from rig import *

TIMES = 5


async def run(engine, request, reader, writer):
    engine.rig.record.say("engine %s: runs id=%s %s %s, body of %d bytes" % (
        engine.name, request.id, request.method, request.target,
        len(request.body)))
    writer.write(message(200, engine.signed(request), b"done"))


def case(rig):
    rig.add_routers(2)
    for index in range(2):
        rig.add_engine("i-%d" % index, "orders", run)
    rig.configure(configuration(
        1, [route("notes", "orders", "idempotent", "/notes/"),
            route("booking", "orders", "non_idempotent", "/booking/",
                  max_attempts=1)], [("orders", {})]))
    rig.start()
    time.sleep(4)  # in touch: calm for longer than contact_ms
    sent = {}
    bodies = []
    for index in range(TIMES):
        router = rig.routers[index % 2]
        text_id, outer_id = new_id("text"), new_id("outer")
        # A note that quotes a request, as a log or a saved page may do.
        body = request_bytes("POST", "/booking/7", text_id, b"slot")
        method = "CONNECT" if trouble() else "POST"
        sock = socket.create_connection(router.callers, 1)
        rig.record.say("caller: sends id=%s %s /notes/1, body of %d bytes "
                       "that names id=%s" % (outer_id, method, len(body),
                                             text_id))
        answer = ask(None, request_bytes(
            method, "/notes/1", outer_id, body, 3000), 4, sock)
        rig.record.say("caller: id=%s -> %d %s" % (
            outer_id, answer.status, answer.error))
        time.sleep(0.3)
        sock.close()
        sent[outer_id] = body
        bodies.append(text_id)
    arrivals = [request for engine in rig.engines
                for request in engine.arrivals]
    smuggled = [request.id for request in arrivals if request.id in bodies]
    changed = [request.id for request in arrivals
               if request.id in sent and request.body != sent[request.id]]
    if smuggled or changed:
        return "UNASKED: %d requests were run that were only text in the " \
            "body of another, %d ran with another body" % (
                len(smuggled), len(changed))
    return ""


main(HERE, case)
