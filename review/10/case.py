import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from poison import *

PARTS = 19     # sound parts before the deadly one, as of a long conversation


async def case(folder):
    Brittle.framing = "chunks"
    fleet = Fleet(folder, controls=3, entries=2)
    try:
        for _ in range(6):
            await fleet.replica(Brittle, service="assistant")
        await fleet.start()
        await fleet.put({"routes": [route("draft", "/draft/", "stream", "assistant", resumable=False, gap_goal_ms=300)],
                         "services": [service("assistant")], "limits": LIMITS})
        for n in range(2):
            await fleet.served("/draft/first", [("Prompt-Prefix", "aa:10,bb:10")], method="POST", entry=n, attempt=attempt_id())
        load = Load(fleet, "/draft/", [f"c0ffee{n:02x}" for n in range(PARTS)])
        await load.play(12, 0)
        await load.play(35, 10 if TROUBLE else 0)
        await load.end()
        crashes = [at for at, _ in Brittle.crashes]
        fleet.record(f"crashes: {[round(at, 1) for at in crashes]}")
        late = 0
        if len(crashes) >= 5:
            late = sum(1 for r in fleet.replicas for at, attempt, _ in r.ran if attempt[0] == "d" and at > crashes[4] + CONTACT)
        served = {attempt for _, deadly, how, attempt in load.answers if how == 200 and not deadly}
        lost = {attempt for _, attempt in Brittle.lost if attempt[0] == "s" and attempt not in served}
        text = (f"{len(crashes)} crashes; {late} requests with the part reached replicas later than contact_ms after the fifth; "
                f"{len(lost)} sound requests were at work as their replica crashed and got no answer")
        fleet.record(text)
        print(text)
        return "BUDGET" if late > 3 else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
