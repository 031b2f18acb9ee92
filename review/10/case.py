import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from kit import *

ACK_S, CONTACT_S = 4.0, 3.0


async def case(folder):
    fleet = Fleet(folder, zones=("dubrava", "jankomir", "zitnjak", "blato"), controls=4, entries=2)
    record = fleet.record
    try:
        for zone in fleet.zones:
            await fleet.replica(service="portal", zone=zone)
        await fleet.start()
        if TROUBLE:
            # The machine of the second seed is lost as the system starts, and doesn't come back.
            fleet.controls[1].signal(signal.SIGKILL)
        lost = record.now()
        config = {"routes": [route("listing", "/listing/", "safe", "portal")], "services": [service("portal")], "limits": LIMITS}
        try:
            await fleet.put(config, within=60)
            took = record.now() - lost
        except CantRun:
            took = None
        served = 0
        for n in range(20):
            try:
                got = (await call(fleet.front(n % 2), "GET", f"/listing/{n}", [("Deadline-Ms", "1500")], b"", 3, attempt_id())).status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
                got = type(err).__name__
            served += got == 200
            record(f"client -> {got}")
        text = f"the first configuration: {'not acknowledged within 60 s' if took is None else f'acknowledged after {took:.1f} s'}; {served} of 20 requests served"
        record(text)
        print(text)
        return "Acks" if took is None or took > CONTACT_S + ACK_S else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
