import asyncio, os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from world import BOUNDS, TROUBLE, Replica, Stream, config, main, route

MODEL = "daka510000"
STREAMS = 8


async def case(w):
    old = [Replica(w, i, "huvo11a", z, "v1", MODEL, events=100) for i, z in enumerate(w.zones)]
    for r in old:
        await r.begin()
    w.start_all()
    await w.put(config(7, [route("/lohu930/", "huvo11a")], [("huvo11a", MODEL)]))
    await w.until_ready()
    await asyncio.sleep(3)
    streams = [Stream(w, f"s{i}", f"/lohu930/{i}", MODEL, pause=1.5, starts_at=i) for i in range(STREAMS)]
    tasks = [asyncio.create_task(s.run()) for s in streams]
    await asyncio.sleep(0.5)
    # The release: the new ones start first, then the old ones drain.
    new = [Replica(w, 10 + i, "huvo11a", z, "v2", MODEL, events=100) for i, z in enumerate(w.zones)]
    for r in new:
        await r.begin()
    await asyncio.sleep(1.0)
    for r in old:
        r.state = "draining"
    w.note("the old replicas drain")
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 1.0)
    if TROUBLE:
        w.note("all processes are killed")
        w.kill_all()
    # Each old replica ends once nothing runs there any more.
    leaving = asyncio.create_task(leave(w, old))
    if TROUBLE:
        await asyncio.sleep(0.8)
        w.start_all()
        w.note("all processes are back")
    await asyncio.gather(*tasks)
    leaving.cancel()
    mixed = [s for s in streams if len(s.versions()) > 1]
    for s in streams:
        w.note("result", s.name, "versions", s.versions(), "events", len(s.events), "complete", s.complete, s.statuses)
    w.note("streams with events of two software versions:", len(mixed))
    return len(mixed) <= 2


async def leave(w, old):
    left = list(old)
    while left:
        for r in [r for r in left if r.running == 0]:
            left.remove(r)
            r.end()
            w.note("ended in order:", r.id, r.version)
        await asyncio.sleep(0.05)


main(HERE, case)
