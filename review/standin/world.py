"""Stand-ins of the platform, of replicas and of clients, and the processes under test.

Everything follows the users' pages (PROTOCOL.md, DEPLOY.md, the news). Only the standard
library is used. All addresses are loopback addresses.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/quetzalarch-on-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "apply_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_extra": 54, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "require_fence": False, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
    "load_burst_factor": 1.1, "version_ms": 5000,
}


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


def free_ports(ips, count):
    """A run of ports that are free at all addresses."""
    for _ in range(50):
        base = random.randrange(20000, 29000)
        held = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    s = socket.socket()
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    held.append(s)
                    s.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise CannotRun("no free ports")


class World:
    """One small deployment: control and entry processes, the list of the platform, a record."""

    def __init__(self, folder, zones=("za", "zb", "zc"), entries=("za", "zb"), lag=0.3):
        self.record_path = os.path.join(folder, "record.txt")
        self.record = open(self.record_path, "w")
        self.began = time.monotonic()
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.zones = list(zones)
        net = f"127.{random.randrange(60, 120)}.{random.randrange(1, 250)}"
        self.control_ips = {z: f"{net}.{10 + i}" for i, z in enumerate(zones)}
        self.entry_ips = [(f"{net}.{40 + i}", z) for i, z in enumerate(entries)]
        self.replica_net = net
        self.cloud_ip = f"{net}.2"
        ips = [*self.control_ips.values(), *(ip for ip, _ in self.entry_ips), self.cloud_ip]
        self.base = free_ports(ips, 24)
        self.procs = {}
        self.replicas = []
        self.lag = lag
        self.history = []
        self.runs = []            # (when, Attempt-Id, replica)
        self.servers = []
        self.tasks = []
        self.first = True

    def note(self, *words):
        at = time.monotonic() - self.began
        print(f"{at:8.3f}", *words, file=self.record, flush=True)

    # The platform's list.

    async def start_list(self):
        server = await asyncio.start_server(self.serve_list, self.cloud_ip, self.base + 20)
        self.servers.append(server)
        self.tasks.append(asyncio.create_task(self.keep_history()))

    async def keep_history(self):
        while True:
            now = time.monotonic()
            self.history.append((now, [r.entry() for r in self.replicas if r.listed]))
            self.history = [h for h in self.history if h[0] > now - 3]
            await asyncio.sleep(0.05)

    def listed(self):
        """The list as it was `lag` seconds ago."""
        at = time.monotonic() - self.lag
        old = [entries for t, entries in self.history if t <= at]
        return old[-1] if old else (self.history[0][1] if self.history else [])

    async def serve_list(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                (method, path), _ = head[0].split(" ")[:2], None
                zone = None
                if "?" in path:
                    for part in path.split("?")[1].split("&"):
                        if part.startswith("zone="):
                            zone = part[5:]
                found = [e for e in self.listed() if zone is None or e["zone"] == zone]
                body = json.dumps({"instances": found, "next": None}).encode()
                writer.write(answer(200, body, {"Content-Type": "application/json"}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # Processes.

    def settings(self, name, role, ip, zone, bootstrap):
        b = self.base
        listen = ({"front": f"{ip}:{b + 16}", "ready": f"{ip}:{b + 17}"} if role == "entry"
                  else {"control": f"{ip}:{b + 18}"})
        data = os.path.join(self.tmp, name) if role == "control" else None
        if data:
            os.makedirs(data, exist_ok=True)
        return {
            "node_name": name, "role": role,
            "machine_class": "edge" if role == "entry" else "core",
            "serves": ["edge"] if role == "entry" else ["ctl"], "ip": ip, "zone": zone,
            "region": "r1", "zones": {z: "r1" for z in self.zones}, "listen": listen,
            "port_range": [b, b + 15],
            "seeds": [f"{c}:{b + 18}" for c in self.control_ips.values()][:3],
            "bootstrap": bootstrap, "fault_counted": role == "control",
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 128 if data else 0},
            "data_dir": data, "discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {"addr": f"{self.cloud_ip}:{b + 20}", "rate_per_s": 42.0, "duties": [],
                      "max_lag_ms": 800},
        }

    def start(self, name, role, ip, zone):
        path = os.path.join(self.tmp, f"{name}.json")
        with open(path, "w") as f:
            json.dump(self.settings(name, role, ip, zone, self.first), f)
        out = open(os.path.join(self.tmp, f"{name}.log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["QUETZALARCH_BOOT"] = path
        self.procs[name] = subprocess.Popen([PROGRAM, role, "--metrics", str(self.base + 19)],
                                            cwd=ROOT, env=env, stdout=out, stderr=out)

    def machines(self):
        for z, ip in self.control_ips.items():
            yield f"core-{z}", "control", ip, z
        for i, (ip, z) in enumerate(self.entry_ips):
            yield f"edge-{z}-{i + 1}", "entry", ip, z

    def start_all(self):
        for machine in self.machines():
            self.start(*machine)
        self.first = False

    def kill(self, name, how=signal.SIGKILL):
        self.procs[name].send_signal(how)

    def kill_all(self):
        for p in self.procs.values():
            p.send_signal(signal.SIGKILL)
        for p in self.procs.values():
            p.wait()

    async def put(self, config):
        """The operator: sends a configuration to one instance after the other until it is accepted."""
        return await self.operate("POST", "/v1/Config.Put", config)

    async def operate(self, method, path, body, tries=60):
        ips = list(self.control_ips.values())
        for turn in range(tries):
            ip = ips[turn % len(ips)]
            place = (ip, self.base + 18)
            for _ in range(3):
                try:
                    got = await asyncio.wait_for(call(place, method, path, body), 1.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    got = None
                if got and got[0] == 307:
                    where = got[1]["location"].split("//")[1].split("/")[0]
                    place = (where.split(":")[0], int(where.split(":")[1]))
                    continue
                break
            if got and got[0] == 200:
                return got
            await asyncio.sleep(0.2)
        raise CannotRun(f"{path} was not accepted")

    def fronts(self):
        return [(ip, self.base + 16) for ip, _ in self.entry_ips]

    async def ready(self, ip):
        try:
            got = await asyncio.wait_for(call((ip, self.base + 17), "GET", "/v1/readyz", None), 0.5)
            return got[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self.ready(ip) for ip, _ in self.entry_ips]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entry instances are not ready")

    def close(self):
        for t in self.tasks:
            t.cancel()
        for p in self.procs.values():
            if p.poll() is None:
                p.kill()
                p.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.close()


async def read_head(reader):
    """The lines of a head and its headers by lower-case name, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    return [lines[0], headers]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, body, headers):
    names = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
             421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {names.get(status, 'X')}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(place, method, path, body, headers=None):
    """One call on a connection of its own."""
    reader, writer = await asyncio.open_connection(*place)
    try:
        raw = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {place[0]}", f"Content-Length: {len(raw)}",
                 "Content-Type: application/json"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + raw)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ValueError("no answer")
        return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
    finally:
        writer.close()


class Replica:
    """A replica of a service, as PROTOCOL.md describes it; with `model`, a model replica."""

    def __init__(self, world, number, service, zone, version="v1", model=None, held=True,
                 events=40, pace=0.1):
        self.world, self.service, self.zone, self.version = world, service, zone, version
        self.ip = f"{world.replica_net}.{100 + number}"
        self.port = world.base + 21
        self.number = number
        self.id = f"i-{number:04x}{random.randrange(1 << 24):06x}"
        self.model, self.held = model, bool(model and held)
        self.busy_until = None
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.events, self.pace = events, pace
        self.state = "ready"
        self.listed = True
        self.running = 0
        self.server = None
        self.conns = set()
        self.deadly = None        # a part of a prompt that crashes it
        self.crashes = []

    def models(self):
        return [{"name": self.model, "version": 1, "adapters": []}] if self.held else []

    def entry(self):
        e = {"id": self.id, "service": self.service, "addr": f"{self.ip}:{self.port}",
             "zone": self.zone, "version": self.version, "slots": 64, "state": self.state,
             "cold_left_ms": 0, "born": self.born}
        if self.model:
            e |= {"stage": "mixed", "models": self.models()}
        return e

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        if self not in self.world.replicas:
            self.world.replicas.append(self)

    def end(self):
        """The replica ends: it is off the list, and its connections close."""
        self.listed = False
        self.stop()

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.conns):
            w.transport.abort()
        self.conns.clear()

    async def crash(self, back_after=3.0):
        """It crashes and starts again under its id; it holds nothing, and its counts start anew."""
        if self.server is None:
            return
        self.crashes.append(time.monotonic())
        self.world.note("crash", self.id)
        self.stop()
        await asyncio.sleep(back_after)
        self.born, self.seq, self.held, self.busy_until = int(time.time() * 1000), 0, False, None
        await self.begin()
        self.world.note("back", self.id)

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, path = head[0].split(" ")[:2]
                body = await read_body(reader, head[1])
                if not await self.handle(method, path, head[1], body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body, reader, writer):
        own = {"Attempt-Id": headers.get("attempt-id", ""), "Server-Stamp": f"{self.id}.{self.version}"}
        meant = headers.get("expect-instance")
        if meant and meant != self.id:
            writer.write(answer(421, b"", own | {"Not-Run": "1"}))
            await writer.drain()
            return True
        if path == "/healthz":
            writer.write(answer(200 if self.state == "ready" else 503, b"", {"Instance": self.id}))
        elif path == "/v1/report":
            raw = {"stage": "mixed", "models": self.models(), "busy": self.busy_until is not None,
                   "seq": self.seq, "waiting": 0, "running": self.running, "kv_used": 0,
                   "kv_total": 150000, "handles": 0, "born": self.born, "pending": []}
            writer.write(answer(200, json.dumps(raw).encode(), {"Content-Type": "application/json"}))
        elif path == "/v1/order":
            writer.write(answer(self.order(json.loads(body)), b"", {}))
        else:
            return await self.run(method, path, headers, body, reader, writer, own)
        await writer.drain()
        return True

    def order(self, raw):
        self.world.note("order", self.id, json.dumps(raw))
        if raw.get("expected", self.seq) != self.seq or self.busy_until:
            return 409
        if raw["op"] == "load" and not raw.get("adapter"):
            if self.held:
                return 200
            self.seq += 1
            self.busy_until = time.monotonic() + 0.6
            asyncio.get_running_loop().call_later(0.6, self.loaded)
            return 202
        return 200

    def loaded(self):
        self.busy_until = None
        self.held = True

    async def run(self, method, path, headers, body, reader, writer, own):
        if self.model and (headers.get("model") != self.model or not self.held):
            writer.write(answer(421, b"", own | {"Not-Run": "1"}))
            await writer.drain()
            return True
        last = int(headers.get("last-event-id") or 0)
        self.world.runs.append((time.monotonic(), own["Attempt-Id"], self))
        self.world.note("run", own["Attempt-Id"], "at", self.id, self.version, path, "from", last + 1)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 "Weight-Versions: 1"]
        lines += [f"{k}: {v}" for k, v in own.items()]
        self.running += 1
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.sleep(self.pace)
            if self.deadly and self.deadly in headers.get("prompt-prefix", ""):
                self.world.tasks.append(asyncio.create_task(self.crash()))
                return False
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for n in range(last + 1, self.events + 1):
                if gone.done():
                    return False
                event = f"id: {n}\ndata: {self.version} {self.id} {n} of {self.events}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if n < self.events:
                    await asyncio.sleep(self.pace)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            gone.cancel()
            self.running -= 1


class Stream:
    """A client's stream over all of its tries."""

    def __init__(self, world, name, path, model=None, deadline=12.0, tries=3, pause=0.4, starts_at=0, parts="5c1e07a2:198"):
        self.world, self.name, self.path, self.model = world, name, path, model
        self.end = time.monotonic() + deadline
        self.tries, self.pause, self.parts = tries, pause, parts
        self.events = []          # (id, version, replica)
        self.first_attempt = None
        self.complete = False
        self.front = starts_at
        self.statuses = []
        self.only_other = False   # retries go to the machine next to the first one only
        self.take_ups = 0
        self.went_on = False

    async def run(self):
        for turn in range(self.tries):
            left = self.end - time.monotonic()
            if left <= 0.05 or self.complete:
                break
            wait = await self.attempt(turn, left)
            if self.complete:
                break
            await asyncio.sleep(min(wait, max(0.0, left / 3)))
        return self

    async def attempt(self, turn, left):
        attempt = f"{random.getrandbits(64):016x}"
        fronts = self.world.fronts()
        step = min(turn, 1) if self.only_other else turn
        place = fronts[(self.front + step) % len(fronts)]
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(int(left * 1000)),
                   "Content-Length": "2"}
        if self.model:
            headers |= {"Model": self.model, "Tokens": "826,300",
                        "Prompt-Prefix": f"{self.parts},{attempt[:8]}:628"}
        if self.events:
            self.take_ups += 1
            headers |= {"Last-Event-Id": str(self.events[-1][0]), "Resumes": self.first_attempt}
        self.world.note("client", self.name, "try", turn + 1, attempt, "at", place[0],
                        "after event", self.events[-1][0] if self.events else 0)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*place), 1.0)
            lines = [f"POST {self.path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"{}")
            head = await asyncio.wait_for(read_head(reader), left)
            if head is None:
                self.world.note("client", self.name, "closed without an answer")
                return self.pause
            status = int(head[0].split(" ")[1])
            self.statuses.append(status)
            if status != 200:
                body = await read_body(reader, head[1])
                self.world.note("client", self.name, status, head[1].get("retry-after", ""), body)
                return float(head[1].get("retry-after", 0.3))
            return await self.read(reader, attempt, left)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
            self.world.note("client", self.name, "no connection or broken:", type(err).__name__)
            return self.pause
        finally:
            if writer:
                writer.close()

    async def read(self, reader, attempt, left):
        buffer = b""
        end = time.monotonic() + left
        while True:
            size = int((await asyncio.wait_for(reader.readline(), end - time.monotonic())) or b"x", 16)
            piece = await asyncio.wait_for(reader.readexactly(size + 2), end - time.monotonic())
            if size == 0:
                self.complete = True
                self.world.note("client", self.name, "complete with event", self.events[-1][0])
                return 0
            buffer += piece[:-2]
            while b"\n\n" in buffer:
                raw, buffer = buffer.split(b"\n\n", 1)
                fields = dict(l.split(": ", 1) for l in raw.decode().split("\n"))
                version, replica = fields["data"].split(" ")[:2]
                if not self.events:
                    self.first_attempt = attempt
                elif attempt != self.first_attempt:
                    self.went_on = True
                if not self.events or self.events[-1][1:] != (version, replica):
                    self.world.note("client", self.name, "event", fields["id"], "from", replica, version)
                self.events.append((int(fields["id"]), version, replica))

    def versions(self):
        return sorted({v for _, v, _ in self.events})


def route(prefix, service, kind="stream", **more):
    return {"name": "r-" + prefix.strip("/"), "host": HOST, "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": 15000, "goal_ms": 1000, "priority": 1, "service": service, "attempts": 2,
            "sticky": True, "resumable": True, "gap_goal_ms": 300} | more


def engine(model):
    return {"slots": 64, "kv_tokens": 156437, "kv_token_bytes": 163840, "link_mbps": 260000.0,
            "moves": True, "backups": True, "stride": 6, "cap": 12, "host_mb": 150000.0,
            "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
            "models": [{"name": model, "weights_mb": 65100.0, "load_s": 0.6, "adapters": 3000,
                        "adapter_mb": 12.0, "warm_s": 0.38, "disk_s": 0.49}],
            "weights_mb": 66700.0, "adapter_slots": 27, "loads_per_s": 5.3}


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": n, "health_path": "/healthz", "max_conns": 360, "proto": "h1",
                          "tls": False} | ({"engine": engine(m)} if m else {})
                         for n, m in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(folder, case, seconds=110, **world):
    """Runs `case(world)`, which returns whether the rule held, and exits as the issue asks."""
    if not os.path.exists(PROGRAM):
        print("the program isn't built", file=sys.stderr)
        sys.exit(2)

    async def whole():
        w = World(folder, **world)
        w.note("trouble", int(TROUBLE))
        try:
            await w.start_list()
            held = await asyncio.wait_for(case(w), seconds)
            w.note("the rule held" if held else "THE RULE WAS BROKEN")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as err:
            w.note("the case could not run:", repr(err))
            return 2
        finally:
            w.close()

    try:
        code = asyncio.run(whole())
    except Exception as err:  # noqa: BLE001
        print("the case could not run:", repr(err), file=sys.stderr)
        code = 2
    sys.exit(code)
