"""The store gives one router no response for some seconds. Later, when it has
served all routers again for long, a key is taken away."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
sys.dont_write_bytecode = True
import fleet as f  # noqa: E402

CONTACT_S = 3.0   # contact_ms
DEADLINE_S = 2.0  # config_deadline_ms
SILENT_S = 8.0    # platform_down "nodes silent": for_s, 9.0 at most
ROUTES = 1150     # three big_config of 350, and those of the start
WATCH_S = 12.0


def make_routes():
    """Routes with names and prefixes like those of the platform's examples."""
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    routes = []
    for _ in range(ROUTES):
        route = f.route("".join(random.choices(letters, k=7)), "orders",
                        "idempotent", timeout_ms=random.randint(800, 9999),
                        slo_ms=random.randint(100, 799))
        route["name"] = "r-" + "".join(random.choices(letters, k=7))
        routes.append(route)
    return routes


def write_configuration(fleet, added, keys):
    routes = [f.route("look", "orders", "idempotent")] + added
    fleet.configure(routes, [f.service("orders")], keys)
    fleet.record("the store accepted configuration %d, keys %s"
                 % (fleet.version, " ".join(keys)))


async def pick(fleet, role):
    for router in fleet.routers:
        if 'store_role{role="%s"} 1' % role in await router.metrics():
            return router
    return None


async def case(fleet):
    added = make_routes()
    engine = await fleet.add_engine("orders")
    await fleet.add_store_paths()
    write_configuration(fleet, added, ["key-1", "key-2"])
    await fleet.start_routers()
    await asyncio.sleep(CONTACT_S + 1)
    turned_away = await pick(fleet, "standby")
    if turned_away is None:
        raise f.CannotRun("no router reads the store as a standby")
    write_configuration(fleet, added[1:], ["key-1", "key-2"])
    await asyncio.sleep(0.5)
    if f.TROUBLE:
        turned_away.store_path.turn_away()
    await asyncio.sleep(SILENT_S)
    if f.TROUBLE:
        turned_away.store_path.serve_again()
    await asyncio.sleep(CONTACT_S + 0.2)
    write_configuration(fleet, added[2:], ["key-1"])
    acked = fleet.record.now()
    await asyncio.sleep(DEADLINE_S)
    sent = {}
    while fleet.record.now() < acked + WATCH_S:
        for router in fleet.routers:
            request_id = fleet.next_id("revoked")
            sent[request_id] = (router.name, fleet.record.now())
            await fleet.call(router, "GET", "/look/1", request_id=request_id,
                             key="key-2")
        await asyncio.sleep(0.2)
    ran = [sent[run[1]] for run in engine.runs if run[1] in sent]
    fleet.record("requests with the key that was taken away, sent later than "
                 "%.1f s after the store accepted this: %d, of which engines "
                 "ran %d, %s" % (DEADLINE_S, len(sent), len(ran),
                                 " ".join(sorted({name for name, _ in ran}))))
    fleet.record("the last of these was sent %.1f s after"
                 % (ran[-1][1] - acked if ran else 0))
    return not ran


if __name__ == "__main__":
    sys.exit(f.main(case, 3, FOLDER))
