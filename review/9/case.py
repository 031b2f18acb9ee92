import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from kit import *

# An entry of another writer: one byte of its service's name isn't UTF-8, which JSON encoders escape like this.
OTHER = b'{"id":"i-elsewhere","service":"caf\\udce9","addr":"127.0.0.9:8080","zone":"east","slots":4,"state":"ready"}'
DRAIN_MS = 3.0


class Leaver(Replica):
    """Says in all its answers that it leaves once it drains."""

    async def run(self, req, writer):
        self.note(req)
        await asyncio.sleep(0.02)
        leaving = [("Server-Leaving", "1")] if self.state == "draining" else []
        writer.write(answer(200, [*self.stamp(req), *leaving], b"done"))
        return True


async def case(folder):
    fleet = Fleet(folder, controls=3, entries=2)
    record = fleet.record
    try:
        old = [await fleet.replica(Leaver), await fleet.replica(Leaver)]
        await fleet.start()
        await fleet.put({"routes": [route("submit", "/submit/", "unsafe", "portal")], "services": [service("portal")],
                         "limits": LIMITS})
        for n in range(2):
            await fleet.served("/submit/first", method="POST", entry=n, attempt=attempt_id())
        if TROUBLE:
            fleet.platform.extra.append(("east", OTHER))
            record("the list has an entry of another writer")
        await asyncio.sleep(4)

        # The service's replicas are replaced: new ones first, then the old ones drain and go.
        new = [await fleet.replica(Leaver), await fleet.replica(Leaver)]
        await asyncio.sleep(4)
        for replica in old:
            replica.state = "draining"
        shown = record.now()
        record("the list shows the old replicas as draining")
        await asyncio.sleep(DRAIN_MS + 1)
        served = await submit(fleet, 20)
        late = [(at, attempt, r.id) for r in old for at, attempt, _ in r.ran if at > shown + DRAIN_MS]
        for replica in old:
            replica.listed = False
            replica.server.stop()
        record("the old replicas are gone, and not listed any more")
        await asyncio.sleep(3)
        then = await submit(fleet, 20)
        text = (f"{len(late)} requests reached draining replicas later than drain_ms after the list showed it; served: "
                f"{served} of 20 then, {then} of 20 after they were gone, with 2 sound replicas listed all the time")
        record(text)
        print(text)
        return "DRAIN" if late else None
    finally:
        fleet.stop()


async def submit(fleet, count):
    served = 0
    for n in range(count):
        attempt = attempt_id()
        try:
            got = (await call(fleet.front(n % 2), "POST", f"/submit/{n}", [("Deadline-Ms", "2000")], b"x", 3, attempt)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
            got = type(err).__name__
        served += got == 200
        fleet.record(f"client {attempt} -> {got}")
        await asyncio.sleep(0.1)
    return served


main(case, Path(__file__).resolve().parent)
