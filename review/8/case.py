import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from kit import *

LIST_LAG = 0.8       # max_lag_ms
DOWN = 2.0           # a replica that has crashed is back after some seconds
GAP = 2.0            # replicas restart one after the other, one at a time
REPLICAS, ENTRIES = 12, 7
EVENTS, PAUSE = 40, 0.15


class Writer(Replica):
    """Makes streams, of which each event names the software version that wrote it. The list shows what the replica says
    of itself LIST_LAG later."""

    def say(self):
        self.said = [*getattr(self, "said", []), (time.monotonic() + LIST_LAG, Replica.entry(self))]

    def entry(self):
        shown = [entry for at, entry in self.said if at <= time.monotonic()]
        return shown[-1] if shown else self.said[0][1]

    async def run(self, req, writer):
        self.note(req)
        server = self.server
        await asyncio.sleep(0.03)
        if self.server is not server:
            return False
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.stamp(req)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for n in range(int(req.get("last-event-id") or 0) + 1, EVENTS + 1):
            if self.server is not server:
                return False
            event = b"id: %d\ndata: %s\n\n" % (n, self.version.encode())
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PAUSE)
        writer.write(b"0\r\n\r\n")
        return True

    async def restart(self, version):
        """Ends with all that runs here, and starts again under its id with another version of the software."""
        self.record(f"{self.id} ends")
        server, self.last, self.server = self.server, self.addr, None
        server.stop()
        await asyncio.sleep(DOWN)
        self.version, self.born, self.seq = version, int(time.time() * 1000), 0
        self.server = await Server(server.addr, self.handle).start()
        self.say()
        self.record(f"{self.id} is back and runs {version}")

    @property
    def addr(self):
        return "%s:%d" % self.server.addr if self.server else self.last


async def stream(fleet, number, seen):
    attempt, versions, count, whole = attempt_id(), [], 0, False
    try:
        reader, writer = await asyncio.open_connection(*fleet.front(number % ENTRIES))
        writer.write(f"POST /draft/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n"
                     "Content-Length: 1\r\n\r\nx".encode())
        first, _ = await read_head(reader)
        while line := await reader.readline():
            if line.startswith(b"data: "):
                count, version = count + 1, line[6:].strip().decode()
                versions += [version] if version not in versions else []
            if line == b"0\r\n":
                whole = True
                break
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as err:
        first = repr(err)
    fleet.record(f"client {attempt} -> {first}, {count} events written by {versions}, {'complete' if whole else 'broken off'}")
    seen.append(versions)


async def case(folder):
    fleet = Fleet(folder, controls=3, entries=ENTRIES)
    try:
        writers = [await fleet.replica(Writer, service="assistant") for _ in range(REPLICAS)]
        for writer in writers:
            writer.say()
        await fleet.start()
        await fleet.put({"routes": [route("draft", "/draft/", "stream", "assistant", timeout_ms=15000, attempts=4,
                                          resumable=True, gap_goal_ms=300)],
                         "services": [service("assistant")], "limits": LIMITS})
        await asyncio.sleep(5)
        seen, tasks, rolling = [], [], 2 * (REPLICAS * GAP + 10) + 8

        async def clients():
            until, number = fleet.record.now() + rolling, 0
            while fleet.record.now() < until:
                number += 1
                tasks.append(asyncio.create_task(stream(fleet, number, seen)))
                await asyncio.sleep(0.375)

        async def rolls():
            for version in ("v2", "v3"):
                await asyncio.sleep(8)
                for writer in writers:
                    if TROUBLE:
                        tasks.append(asyncio.create_task(writer.restart(version)))
                    await asyncio.sleep(GAP)

        await asyncio.gather(clients(), rolls())
        await asyncio.gather(*tasks)
        mixed = sum(len(versions) > 1 for versions in seen)
        text = f"{mixed} of {len(seen)} streams hold events from two software versions"
        fleet.record(text)
        print(text)
        return "ORDER" if mixed > 2 else None
    finally:
        fleet.stop()


main(case, Path(__file__).resolve().parent)
