"""An engine that is full at times sends a second copy of some of its answers
late, when the channel already carries the next request."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
sys.dont_write_bytecode = True
import fleet as f  # noqa: E402

SLOTS = 6
QUEUE = 2        # requests that wait for a slot; further ones are rejected
WORK_S = 0.015   # mean
SPOILED = 0.03   # garble "extra late": x, of the answers in a spell
LATE_S = 0.006
TROUBLE_S = 5.0  # garble "extra late": for_s
PAUSE_S = 3.0    # between two such spells
SPELLS = 3
CLIENTS = 60
REFUSALS = (408, 421, 429, 503)


class Faulty:
    """Rejects what it has no room for, runs the rest; repeats few answers."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SLOTS)
        self.inside = 0
        self.answers = 0
        self.rejections = 0
        self.repeated = 0
        self.spell_answers = 0
        self.spell_repeated = 0
        self.in_trouble = False

    async def behave(self, engine, request):
        self.answers += 1
        self.spell_answers += 1
        if self.inside < SLOTS + QUEUE:
            self.inside += 1
            try:
                async with self.slots:
                    engine.note_run(request)
                    await asyncio.sleep(random.uniform(0.2, 1.8) * WORK_S)
                request.answer(200, f.signed(request.id), b"booked")
            finally:
                self.inside -= 1
            return True
        self.rejections += 1
        fields = ("Dandelionvalve-Request-Id: %s\r\n"
                  "Dandelionvalve-Not-Executed: 1\r\n" % request.id)
        engine.fleet.record("engine %s: full, rejects %s" % (engine.id,
                                                             request.id))
        request.answer(503, fields)
        if (self.in_trouble and
                self.spell_repeated + 1 <= SPOILED * self.spell_answers):
            self.spell_repeated += 1
            self.repeated += 1
            engine.fleet.spawn(self.send_again(engine, request, fields))
        return True

    async def send_again(self, engine, request, fields):
        await asyncio.sleep(LATE_S)
        engine.fleet.record("engine %s: sends the rejection of %s again"
                            % (engine.id, request.id))
        request.answer(503, fields)


async def client(fleet, answers, until):
    while fleet.record.now() < until:
        request_id = fleet.next_id("booking")
        answer = await fleet.call(fleet.routers[0], "POST", "/book/1",
                                  b'{"slot": 17}', request_id=request_id)
        answers[request_id] = answer.status
        if answer.status != 200:
            await asyncio.sleep(float(answer.fields.get("retry-after", 0.1)))


async def spells(fleet, faulty):
    """The engine repeats answers for some seconds, and again after a pause."""
    for _ in range(SPELLS):
        faulty.spell_answers = faulty.spell_repeated = 0
        faulty.in_trouble = f.TROUBLE
        await asyncio.sleep(TROUBLE_S)
        fleet.record("spell: %d answers, %d of them sent twice"
                     % (faulty.spell_answers, faulty.spell_repeated))
        faulty.in_trouble = False
        await asyncio.sleep(PAUSE_S)


async def case(fleet):
    answers = {}
    faulty = Faulty()
    fleet.configure([f.route("book", "orders", "non_idempotent", attempts=2),
                     f.route("look", "stock", "idempotent")],
                    [f.service("orders"), f.service("stock")])
    engine = await fleet.add_engine("orders", faulty.behave, work_s=WORK_S)
    # Half of the engines are faulty; garble "extra late" has share 0.6.
    await fleet.add_engine("stock")
    await fleet.start_routers()
    await asyncio.sleep(3.5)
    until = fleet.record.now() + SPELLS * (TROUBLE_S + PAUSE_S)
    fleet.spawn(spells(fleet, faulty))
    await asyncio.gather(*[client(fleet, answers, until)
                           for _ in range(CLIENTS)])
    await asyncio.sleep(1)
    ran = {run[1] for run in engine.runs}
    broken = [request_id for request_id, status in answers.items()
              if status in REFUSALS and request_id in ran]
    fleet.record("%d requests, %d answers of the engine, %d rejections, %d "
                 "answers sent twice" % (len(answers), faulty.answers,
                                         faulty.rejections, faulty.repeated))
    fleet.record("refused as not run, but run: %d %s" % (len(broken),
                                                         " ".join(broken)))
    return not broken


if __name__ == "__main__":
    sys.exit(f.main(case, 1, FOLDER))
