import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from kit import *

LIST_LAG = 0.8       # max_lag_ms
DRAINS = 4.0         # drain_ms, 3 s, and a little longer
DOWN = 1.5
TRAFFIC = 95.0


class Leaver(Replica):
    """Says in all its answers that it leaves once it drains. The list shows what it says of itself LIST_LAG later."""

    def say(self):
        self.said = [*getattr(self, "said", []), (time.monotonic() + LIST_LAG, Replica.entry(self))]

    def entry(self):
        shown = [entry for at, entry in self.said if at <= time.monotonic()]
        return shown[-1] if shown else self.said[0][1]

    async def run(self, req, writer):
        self.note(req)
        await asyncio.sleep(0.05)
        leaving = [("Server-Leaving", "1")] if self.state == "draining" else []
        writer.write(answer(200, [*self.stamp(req), *leaving], b"done"))
        return True

    async def renew(self):
        """Drains, ends, and starts again under its id."""
        self.state = "draining"
        self.say()
        self.record(f"{self.id} drains")
        await asyncio.sleep(DRAINS)
        server, self.last, self.server = self.server, self.addr, None
        server.stop()
        self.record(f"{self.id} ends")
        await asyncio.sleep(DOWN)
        self.state, self.born, self.seq = "ready", int(time.time() * 1000), 0
        self.server = await Server(server.addr, self.handle).start()
        self.say()
        self.record(f"{self.id} has started again")

    @property
    def addr(self):
        return "%s:%d" % self.server.addr if self.server else self.last


async def case(folder):
    fleet = Fleet(folder, controls=3, entries=2)
    asked, got = {}, {}

    async def request(kind, number):
        attempt = attempt_id()
        try:
            how = (await call(fleet.front(number % 2), "POST", f"/{kind}/{number}", [("Deadline-Ms", "1500")], b"x", 3, attempt)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
            how = type(err).__name__
        fleet.record(f"client {kind} {attempt} -> {how}")
        asked[kind] = asked.get(kind, 0) + 1
        got[kind] = got.get(kind, 0) + (how == 200)

    async def clients(kind, per_s, until):
        number, tasks = 0, []
        while fleet.record.now() < until:
            number += 1
            tasks.append(asyncio.create_task(request(kind, number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    try:
        portals = [await fleet.replica(Leaver, service="portal") for _ in range(2)]
        for replica in portals:
            replica.say()
        for _ in range(3):
            await fleet.replica(service="assistant")
        await fleet.start()
        await fleet.put({"routes": [route("receipt", "/receipt/", "unsafe", "portal", timeout_ms=1500),
                                    route("draft", "/draft/", "unsafe", "assistant", timeout_ms=1500)],
                         "services": [service("portal"), service("assistant")], "limits": LIMITS})
        for n in range(2):
            await fleet.served("/receipt/first", method="POST", entry=n, attempt=attempt_id())
        until = fleet.record.now() + TRAFFIC

        async def roll():
            await asyncio.sleep(3)
            for replica in portals if TROUBLE else []:
                await replica.renew()
                await asyncio.sleep(1)

        await asyncio.gather(roll(), clients("receipt", 20, until), clients("draft", 20, until))
        share = {kind: got[kind] / asked[kind] for kind in asked}
        overall = sum(got.values()) / sum(asked.values())
        text = "served: " + ", ".join(f"{kind} {part:.2f}" for kind, part in share.items()) + f", all {overall:.2f}"
        fleet.record(text)
        print(text)
        return "Starved" if min(share.values()) < overall / 4 else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
