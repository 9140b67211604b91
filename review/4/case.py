"""An engine leaves while one router is cut off from the store and the other
routers are restarted."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
sys.dont_write_bytecode = True
import fleet as f  # noqa: E402

CONTACT_S = 3.0  # contact_ms
DRAIN_S = 2.0    # drain_ms
CUT_S = 5.0      # core_cut: for_s, 5.5 at most
DOWN_S = 2.0     # herd_kill: for_s
LINGER_S = 14.0  # the engine serves on for many seconds after drain_ms


async def client(fleet, router, sent, answers):
    while True:
        request_id = fleet.next_id("booking")
        sent[request_id] = (router, fleet.record.now())
        answer = await fleet.call(router, "POST", "/book/1", b'{"slot": 17}',
                                  request_id=request_id)
        answers[request_id] = answer.status
        await asyncio.sleep(0.02 if answer.status == 200 else 0.2)


async def pick_follower(fleet):
    """A router that does not read the store for the others, if there is one."""
    for router in fleet.routers:
        if 'store_role{role="idle"} 1' in await router.metrics():
            return router
    return fleet.routers[-1]


async def kill_and_restart(fleet, routers):
    for router in routers:
        router.send_signal(signal.SIGKILL)
    for router in routers:
        router.process.wait()
    await asyncio.sleep(DOWN_S)
    for router in routers:
        router.start()


async def case(fleet):
    sent = {}
    answers = {}
    fleet.configure([f.route("book", "orders", "non_idempotent")],
                    [f.service("orders")])
    for _ in range(3):
        await fleet.add_engine("orders")
    leaving = await fleet.add_engine("orders")
    await fleet.add_store_paths()
    await fleet.start_routers()
    await asyncio.sleep(CONTACT_S + 1)
    cut_off = await pick_follower(fleet)
    others = [router for router in fleet.routers if router != cut_off]
    for router in fleet.routers:
        for _ in range(3):
            fleet.spawn(client(fleet, router, sent, answers))
    await asyncio.sleep(1)
    if f.TROUBLE:
        cut_off.store_path.cut()
        await asyncio.sleep(0.3)
        fleet.spawn(kill_and_restart(fleet, others))
        await asyncio.sleep(1)
    leaving.leave()
    acked = fleet.record.now()
    await asyncio.sleep(CUT_S - 1.3)
    if f.TROUBLE:
        cut_off.store_path.heal()
    healed = fleet.record.now()
    in_touch = healed + CONTACT_S
    await asyncio.sleep(acked + LINGER_S - fleet.record.now())
    fleet.record("engine %s: ends" % leaving.id)
    leaving.close()
    await asyncio.sleep(1)
    begin = max(acked + DRAIN_S, in_touch)
    late = [arrival for arrival in leaving.arrivals
            if sent[arrival[1]][0] == cut_off and sent[arrival[1]][1] > begin]
    fleet.record("the store accepted the removal at %.3f; %s is in touch from "
                 "%.3f on" % (acked, cut_off.name, in_touch))
    fleet.record("requests that reached the engine, sent to %s later than "
                 "that and %.1f s after the removal: %d, the last %.1f s after"
                 % (cut_off.name, DRAIN_S, len(late),
                    late[-1][0] - acked if late else 0))
    failed = [arrival[1] for arrival in late if answers[arrival[1]] != 200]
    fleet.record("of these, bookings that began to run and got no result: %d %s"
                 % (len(failed), " ".join(failed)))
    return not late


if __name__ == "__main__":
    sys.exit(f.main(case, 3, FOLDER))
