"""The store comes back from a copy some seconds old, and an engine leaves
after that. The engine must get no request later than drain_ms after the store
has acknowledged that it is gone."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-ins-3"))
import lab  # noqa: E402

ENGINES = 6
COPY_AGE_S = 8.0
AWAY_S = 1.0
# The store is stable again contact_ms (3 s) after its return.
LEAVE_AFTER_S = 4.0
SERVES_ON_S = 8.0
REQUESTS_PER_S = 40
SERVICE = "pedidos"

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "lookup",
            "host": "orders.example",
            "path_prefix": "/status/",
            "kind": "idempotent",
            "timeout_ms": 1500,
            "slo_ms": 300,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
            "public": False,
            "sticky": False,
        }
    ],
    "services": [
        {"name": SERVICE, "health_path": "/healthz", "max_conns": 100}
    ],
    "limits": lab.CONFIG_LIMITS,
    "tenants": [{"name": "t1", "api_keys": ["key-of-t1"]}],
}


async def send_load(router, record, sent, answers):
    """A steady load on kept connections, until it is cancelled."""
    clients = [lab.Client(router.ip, router.front) for _ in range(8)]
    number = 0

    async def send(client, request):
        sent[request] = time.monotonic()
        record.line("sent id=%s" % request)
        answer = await client.request(
            "GET",
            "/status/%s" % request,
            {
                "Host": "orders.example",
                "Dandelionvalve-Request-Id": request,
                "Dandelionvalve-Deadline-Ms": "1500",
                "Authorization": "Bearer key-of-t1",
            },
        )
        answers[request] = answer.status
        record.line("answered id=%s status=%d" % (request, answer.status))

    async def drive(client, offset):
        nonlocal number
        await asyncio.sleep(offset)
        while True:
            number += 1
            await send(client, "c%06d" % number)
            await asyncio.sleep(len(clients) / REQUESTS_PER_S)

    await asyncio.gather(
        *(
            drive(client, index / REQUESTS_PER_S)
            for index, client in enumerate(clients)
        )
    )


async def drill(store, record, copy, engines):
    record.line("store away")
    store.go_away()
    await asyncio.sleep(AWAY_S)
    store.come_back(copy)
    record.line("store back from its copy, era=%d" % store.era)
    # What the operator and the engines wrote is written again.
    store.put("keyed.op", "config", CONFIG)
    for engine in engines:
        engine.register()


async def case(record, folder, routers):
    store = lab.Store(record)
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    engines = [
        lab.Engine(record, store, index, SERVICE) for index in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
        await asyncio.sleep(0.05)
    router = lab.Router(folder, 0, store)
    routers.append(router)
    router.start()
    await router.wait_ready()
    sent, answers = {}, {}
    load = asyncio.create_task(send_load(router, record, sent, answers))

    await asyncio.sleep(4.0)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    if lab.trouble():
        await drill(store, record, copy, engines)
    await asyncio.sleep(LEAVE_AFTER_S)

    leaving = engines[0]
    before = len(leaving.runs)
    offset = leaving.leave_without_notice()
    acknowledged = time.monotonic()
    record.line("engine=%s is gone, acknowledged offset=%d" % (leaving.id, offset))
    await asyncio.sleep(SERVES_ON_S)
    load.cancel()

    bound = lab.BOUNDS["drain_ms"] / 1000
    late = [
        run
        for run in leaving.runs
        if run[0] > acknowledged + bound and sent[run[1]] > acknowledged + bound
    ]
    refused = sum(1 for status in answers.values() if status != 200)
    summary = (
        "requests=%d answered_200=%d runs_of_the_engine_before=%d "
        "runs_later_than_drain_ms=%d"
        % (len(answers), len(answers) - refused, before, len(late))
    )
    record.line(summary)
    print(summary)
    if before == 0:
        raise RuntimeError("the engine got no request before it left")
    return 1 if late else 0


lab.run_case(__file__, case)
