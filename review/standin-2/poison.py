"""A part of a prompt that crashes each replica that begins to write an answer on it, beside sound requests that
share its caller, route and other parts. Used by the cases about such parts."""
import asyncio, os, time
from kit import *

BACK_AFTER = 2.0      # "the replica is back after some seconds"
WORK = 0.4            # seconds of work on a request
CONTACT = 3.0         # contact_ms
DEADLY = "dead0001"


class Brittle(Replica):
    """Sound, but for the deadly part: as it begins to write, its process ends. It comes back as a new incarnation
    at the same address."""

    crashes = []          # (seconds, attempt id)
    framing = "length"    # how its answers are framed: length or chunks
    lost = []             # (seconds, attempt id) of what ran there as it crashed

    async def run(self, req, writer):
        self.note(req)
        parts = [part.split(":")[0] for part in req.get("prompt-prefix", "").split(",")]
        server = self.server
        await asyncio.sleep(WORK)
        if self.server is not server:
            Brittle.lost.append((self.record.now(), req.get("attempt-id")))
            return False
        if DEADLY in parts[:-1]:
            self.record(f"{self.id} crashes on {req.get('attempt-id')}")
            Brittle.crashes.append((self.record.now(), req.get("attempt-id")))
            server.stop()
            self.server = None
            asyncio.get_running_loop().create_task(self.come_back(server.addr))
            return False
        events = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3, 4))
        if self.framing == "length":
            body = b'{"score":0.5}'
            writer.write(answer(200, [*self.stamp(req), ("Content-Type", "application/json")], body))
            return True
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.stamp(req)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        writer.write(b"%x\r\n" % len(events) + events + b"\r\n0\r\n\r\n")
        return True

    async def come_back(self, addr):
        await asyncio.sleep(BACK_AFTER)
        Replica.count += 1
        self.id, self.born, self.seq = f"i-{os.getpid():x}{Replica.count:04x}", int(time.time() * 1000), 0
        self.last_addr = addr
        self.server = await Server(addr, self.handle).start()
        self.record(f"{self.id} is back at {addr[0]}")

    @property
    def addr(self):
        if self.server:
            self.last_addr = self.server.addr
        return "%s:%d" % self.last_addr


class Load:
    """Sound and deadly requests at all entry instances by turns, each a client attempt of its own."""

    def __init__(self, fleet, path, parts, more=()):
        self.fleet, self.path, self.parts, self.more = fleet, path, parts, list(more)
        self.count, self.answers, self.tasks = 0, [], []   # (sent, deadly, status, attempt)

    async def one(self, deadly):
        self.count += 1
        number, record = self.count, self.fleet.record
        parts = [f"{part}:50" for part in self.parts] + [f"{DEADLY}:100"] * deadly + [f"{number:08x}:20"]
        headers = [("Prompt-Prefix", ",".join(parts)), ("Tokens", "400,40"), ("Deadline-Ms", "3000"), *self.more]
        attempt, sent = ("d" if deadly else "s") + f"{number:015x}", record.now()
        try:
            got = await call(self.fleet.front(number % len(self.fleet.entries)), "POST", f"{self.path}{number}", headers,
                             b"request %d" % number, within=4, attempt=attempt)
            how = got.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
            how = type(err).__name__
        self.answers.append((sent, deadly, how, attempt))
        record(f"client {attempt} sent at {sent:.3f} -> {how}")

    async def play(self, seconds, deadly_every):
        """Ten requests a second; each `deadly_every`th is deadly, none if that is 0."""
        until, n = self.fleet.record.now() + seconds, 0
        while self.fleet.record.now() < until:
            n += 1
            deadly = bool(deadly_every) and n % deadly_every == 0
            self.tasks.append(asyncio.create_task(self.one(deadly)))
            await asyncio.sleep(0.1)

    async def end(self):
        await asyncio.gather(*self.tasks)

    def share(self, begin, end):
        """Returns how many sound requests were sent in a time, and the share of them that was served."""
        sound = [how for sent, deadly, how, _ in self.answers if not deadly and begin <= sent < end]
        return len(sound), sum(how == 200 for how in sound) / max(1, len(sound))
