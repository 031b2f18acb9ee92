import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from kit import *

WORK = 0.2           # seconds of work on a request of the portal
TRAFFIC = 100.0      # seconds of traffic
REPLICAS = 6
CRASHES = 10 if TROUBLE else 0     # of one replica at a time
BACK_AFTER, GAP = 1.5, 1.6


class Portal(Replica):
    """Answers with a length. A crash ends its process with all that runs there; it comes back as a new incarnation
    at the same address."""

    async def run(self, req, writer):
        self.note(req)
        server = self.server
        await asyncio.sleep(WORK)
        if self.server is not server:
            return False
        writer.write(answer(200, [*self.stamp(req), ("Content-Type", "text/html")], b"<html>calls</html>"))
        return True

    async def crash(self):
        self.record(f"{self.id} crashes")
        server, self.last, self.server = self.server, self.addr, None
        server.stop()
        await asyncio.sleep(BACK_AFTER)
        Replica.count += 1
        self.id, self.born = f"i-{os.getpid():x}{Replica.count:04x}", int(time.time() * 1000)
        self.server = await Server(server.addr, self.handle).start()
        self.record(f"{self.id} is back")

    @property
    def addr(self):
        return "%s:%d" % self.server.addr if self.server else self.last


class Day:
    """Clients: each request is tried once more, at the other entry instance, if that is allowed."""

    def __init__(self, fleet):
        self.fleet, self.asked, self.got = fleet, {}, {}

    async def request(self, kind, number):
        method, path, tries = {"listing": ("GET", "/listing/open-calls", 2), "receipt": ("POST", f"/receipt/{number}", 1),
                               "draft": ("POST", f"/draft/{number}", 1)}[kind]
        how = None
        for n in range(tries):
            attempt = attempt_id()
            try:
                got = await call(self.fleet.front((number + n) % 2), method, path, [("Deadline-Ms", "1500")],
                                 b"%d" % number if method == "POST" else b"", 3, attempt)
                how = got.status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
                how = type(err).__name__
            self.fleet.record(f"client {kind} {attempt} -> {how}")
            if how == 200:
                break
            await asyncio.sleep(0.3)
        self.asked[kind] = self.asked.get(kind, 0) + 1
        self.got[kind] = self.got.get(kind, 0) + (how == 200)

    async def kind(self, kind, per_s, until):
        number, tasks = 0, []
        while self.fleet.record.now() < until:
            number += 1
            tasks.append(asyncio.create_task(self.request(kind, number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)


async def case(folder):
    fleet = Fleet(folder, controls=3, entries=2)
    try:
        portals = [await fleet.replica(Portal, service="portal") for _ in range(REPLICAS)]
        for _ in range(4):
            await fleet.replica(Replica, service="assistant")
        await fleet.start()
        await fleet.put({"routes": [route("listing", "/listing/", "safe", "portal", attempts=2, timeout_ms=1500),
                                    route("receipt", "/receipt/", "unsafe", "portal", timeout_ms=1500),
                                    route("draft", "/draft/", "unsafe", "assistant", timeout_ms=1500)],
                         "services": [service("portal"), service("assistant")], "limits": LIMITS})
        for n in range(2):
            await fleet.served("/listing/open-calls", entry=n, attempt=attempt_id())
        day, until = Day(fleet), fleet.record.now() + TRAFFIC

        async def crashes():
            for n in range(CRASHES):
                await asyncio.sleep(GAP)
                asyncio.create_task(portals[n % REPLICAS].crash())

        await asyncio.gather(crashes(), day.kind("listing", 50, until), day.kind("receipt", 50, until), day.kind("draft", 50, until))
        share = {kind: day.got[kind] / day.asked[kind] for kind in day.asked}
        overall = sum(day.got.values()) / sum(day.asked.values())
        text = "served: " + ", ".join(f"{kind} {part:.2f}" for kind, part in share.items()) + f", all {overall:.2f}"
        fleet.record(text)
        print(text)
        return "Starved" if min(share.values()) < overall / 4 else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
