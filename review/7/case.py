import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from poison import *


async def case(folder):
    fleet = Fleet(folder, controls=3, entries=2)
    try:
        for _ in range(6):
            await fleet.replica(Brittle, service="assistant")
        await fleet.start()
        await fleet.put({"routes": [route("score", "/score/", "unsafe", "assistant")],
                         "services": [service("assistant")], "limits": LIMITS})
        for n in range(2):
            await fleet.served("/score/first", [("Prompt-Prefix", "aa:10,bb:10")], method="POST", entry=n, attempt=attempt_id())
        load = Load(fleet, "/score/", ["c0ffee01", "c0ffee02"])
        await load.play(12, 0)
        began = fleet.record.now()
        await load.play(35, 10 if TROUBLE else 0)
        ended = fleet.record.now()
        await load.end()
        crashes = [at for at, _ in Brittle.crashes]
        fleet.record(f"crashes: {[round(at, 1) for at in crashes]}")
        last = crashes[min(5, len(crashes)) - 1] if crashes else began
        before, after = load.share(0, began), load.share(last + 2 * CONTACT, ended)
        text = (f"{len(crashes)} crashes; sound requests served at the first attempt: {before[1]:.2f} of {before[0]} "
                f"before, {after[1]:.2f} of {after[0]} from 2 x contact_ms after the fifth crash")
        fleet.record(text)
        print(text)
        if min(before[0], after[0]) < 20 or before[1] < 0.9:
            raise CantRun("too few requests")
        return "LOST" if after[1] < before[1] / 2 else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
