"""Stand-ins and helpers for the scripts of this review: the platform's list of replicas, replicas,
an operator, clients, and the project's own processes. Standard library only; loopback addresses only.
"""
import asyncio, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = "target/release/quetzalarch-on-platform"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case couldn't run; exit code 2."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_net():
    """Returns the first three numbers of loopback addresses that nobody else uses now."""
    for _ in range(50):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.1", 8144))
            return net
        except OSError:
            continue
    raise CantRun("no free loopback addresses")


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    first, headers = await read_head(reader)
    method, path, _ = first.split(" ", 2)
    return Request(method, path, headers, await read_body(reader, headers))


def answer(status, headers=(), body=b""):
    """Returns the bytes of an answer with a length."""
    head = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'No'}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def closes(status, headers=(), body=b""):
    return answer(status, [*headers, ("Connection", "close")], body)


class Server:
    """An HTTP/1.1 server on a loopback address; `handle(request, writer)` writes the answer and
    returns whether the connection is kept."""

    def __init__(self, addr, handle):
        self.addr, self.handle, self.server, self.writers = addr, handle, None, set()

    async def start(self):
        host, port = self.addr
        self.server = await asyncio.start_server(self.serve, host, port)
        self.addr = self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if not await self.handle(req, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform:
    """The platform's list of replicas: `entries` gives the bytes of each entry."""

    def __init__(self, net, record):
        self.record, self.replicas, self.extra, self.calls = record, [], [], 0
        self.server = Server((f"{net}.1", 8142), self.handle)

    def pages(self, zone):
        rows = [json.dumps(r.entry()).encode() for r in self.replicas if r.listed and zone in (None, r.zone)]
        rows += [raw for z, raw in self.extra if zone in (None, z)]
        return b'{"instances":[' + b",".join(rows) + b'],"next":null}'

    async def handle(self, req, writer):
        self.calls += 1
        query = req.path.partition("?")[2]
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        writer.write(answer(200, [("Content-Type", "application/json")], self.pages(args.get("zone"))))
        return True


class Replica:
    """A replica that answers soundly unless a script overrides `run`."""

    count = 0

    def __init__(self, addr, service, zone, record, slots=64, models=None, version="v1"):
        Replica.count += 1
        self.id = f"i-{os.getpid():x}{Replica.count:04x}"
        self.service, self.zone, self.record = service, zone, record
        self.slots, self.models, self.version = slots, models, version
        self.state, self.listed, self.born, self.seq = "ready", True, int(time.time() * 1000), 0
        self.ran = []        # (seconds, attempt id, request)
        self.orders = []
        self.server = Server(addr, self.handle)

    @property
    def addr(self):
        return "%s:%d" % self.server.addr

    def entry(self):
        entry = {"service": self.service, "addr": self.addr, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "id": self.id, "born": self.born}
        if self.models is not None:
            entry |= {"stage": "mixed", "models": self.held()}
        return entry

    def held(self):
        return [{"name": name, "version": 1, "adapters": list(adapters)} for name, adapters in self.models.items()]

    async def handle(self, req, writer):
        if (expected := req.get("expect-instance")) and expected != self.id:
            writer.write(answer(421, [("Instance", self.id), ("Not-Run", "1")]))
            return True
        if req.path == "/healthz":
            writer.write(answer(200, [("Instance", self.id)]))
            return True
        if req.path == "/v1/report":
            body = {"stage": "mixed", "models": self.held() if self.models else [], "busy": False, "seq": self.seq,
                    "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 156437, "handles": 0, "born": self.born}
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(body).encode()))
            return True
        if req.path == "/v1/order":
            return await self.order(req, writer)
        return await self.run(req, writer)

    async def order(self, req, writer):
        order = json.loads(req.body)
        self.record(f"{self.id} order {req.body.decode()}")
        self.orders.append((self.record.now(), order))
        if order.get("expected", self.seq) != self.seq:
            writer.write(answer(409))
            return True
        self.seq += 1
        held = self.models[order["model"]]
        if name := order.get("adapter"):
            for old in [a for a in held if a.split("@")[0] == name]:
                held.remove(old)
            if order["op"] == "load":
                held.append(f"{name}@{order.get('version', 1)}")
        writer.write(answer(202))
        return True

    def stamp(self, req):
        return [("Attempt-Id", req.get("attempt-id", "")), ("Server-Stamp", f"{self.id}.{len(self.ran)}")]

    def note(self, req):
        self.ran.append((self.record.now(), req.get("attempt-id"), req))
        self.record(f"{self.id} runs {req.get('attempt-id')} {req.method} {req.path}")

    async def run(self, req, writer):
        self.note(req)
        writer.write(answer(200, self.stamp(req), b"done by " + self.id.encode()))
        return True


class Process:
    def __init__(self, role, settings, folder, record):
        self.role, self.record, self.name = role, record, settings["node_name"]
        self.file = Path(folder) / f"{self.name}.json"
        self.log = open(Path(folder) / f"{self.name}.log", "wb")
        self.settings = settings
        self.start()

    def start(self):
        self.file.write_text(json.dumps(self.settings))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["QUETZALARCH_BOOT"] = str(self.file)
        args = [str(ROOT / PROGRAM), self.role, "--metrics", "9464"]
        self.child = subprocess.Popen(args, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record(f"{self.name} started, process {self.child.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def ended(self):
        return self.child.poll()

    def text(self):
        return Path(self.log.name).read_text(errors="replace")


class Fleet:
    """A small deployment: control and entry instances, the platform, replicas."""

    def __init__(self, folder, zones=("east",), controls=1, entries=1, bounds=None):
        if not (ROOT / PROGRAM).exists():
            raise CantRun("the program isn't built")
        self.record = Record(folder)
        self.net, self.zones = free_net(), list(zones)
        self.dir = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform(self.net, self.record)
        self.processes, self.controls, self.entries, self.replicas = [], [], [], []
        self.counts, self.extra_bounds = (controls, entries), bounds or {}
        self.version = 0

    def settings(self, name, ip, zone, control):
        seeds = [f"{self.net}.{20 + n}:8144" for n in range(min(3, self.counts[0]))]
        listen = {"control": f"{ip}:8144"} if control else {"front": f"{ip}:8149", "ready": f"{ip}:8141"}
        data = self.dir / name
        if control:
            data.mkdir(exist_ok=True)
        return {
            "node_name": name, "role": "control" if control else "entry",
            "machine_class": "core" if control else "edge", "serves": ["ctl" if control else "edge"],
            "ip": ip, "zone": zone, "region": "region", "zones": {zone: "region" for zone in self.zones},
            "listen": listen, "port_range": [7380, 7395], "seeds": seeds, "bootstrap": True,
            "fault_counted": control,
            "limits": {"cpu_share": 0.3, "cores": 1, "memory_mb": 256 if control else 260,
                       "max_fds": 4096 if control else 4100, "link_mbps": 1000.0, "disk_mb": 128 if control else 0},
            "data_dir": str(data) if control else None, "discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "apply_ms": 2000,
                       "rollback_slack_ms": 250, "outer_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
                       "retry_extra": 54, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0,
                       "require_fence": False, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
                       "load_burst_factor": 1.1, "version_ms": 5000, **self.extra_bounds},
            "config_mode": "highest",
            "cloud": {"addr": f"{self.net}.1:8142", "rate_per_s": 42.0, "duties": [], "max_lag_ms": 800},
        }

    async def start(self):
        await self.platform.server.start()
        controls, entries = self.counts
        for n in range(controls):
            ip, zone = f"{self.net}.{20 + n}", self.zones[n % len(self.zones)]
            self.controls.append(self.process("control", self.settings(f"core-{n}", ip, zone, True)))
        for n in range(entries):
            ip, zone = f"{self.net}.{40 + n}", self.zones[n % len(self.zones)]
            self.entries.append(self.process("entry", self.settings(f"edge-{n}", ip, zone, False)))

    def process(self, role, settings):
        process = Process(role, settings, self.dir, self.record)
        self.processes.append(process)
        return process

    async def replica(self, kind=Replica, service="portal", zone=None, host=None, port=0, **more):
        host = host or f"{self.net}.{100 + len(self.replicas)}"
        replica = kind((host, port or 8080), service, zone or self.zones[0], self.record, **more)
        await replica.server.start()
        self.replicas.append(replica)
        self.platform.replicas.append(replica)
        return replica

    def front(self, n=0):
        return (f"{self.net}.{40 + n}", 8149)

    async def put(self, config, version=None, within=15.0):
        """Sends a configuration as the operator does, until it is acknowledged."""
        self.version = version or self.version + 1
        body = json.dumps({"version": self.version, **config}).encode()
        return await self.operate("/v1/Config.Put", body, within)

    async def operate(self, path, body, within=15.0):
        until, n = time.monotonic() + within, 0
        while time.monotonic() < until:
            addr, hops = (f"{self.net}.{20 + n % self.counts[0]}", 8144), 0
            n += 1
            while hops < 3:
                try:
                    got = await call(addr, "POST" if body is not None else "GET", path, [], body or b"", within=2.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    break
                if got.status == 307:
                    host = got.get("location").split("/")[2].split(":")
                    addr, hops = (host[0], int(host[1])), hops + 1
                    continue
                if got.status == 200 or 400 <= got.status < 500 and got.status not in (408, 429):
                    self.record(f"operator {path} -> {got.status}")
                    return got
                break
            await asyncio.sleep(0.2)
        raise CantRun(f"{path} got no answer")

    async def served(self, path, headers=(), method="GET", entry=0, within=20.0, **more):
        """Waits until a request is served."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                got = await call(self.front(entry), method, path, headers, within=3.0, **more)
                if got.status == 200:
                    return got
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CantRun(f"{path} isn't served")

    def stop(self):
        for process in self.processes:
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
            process.child.wait()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Got:
    def __init__(self, status, headers, body, whole=True):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def call(addr, method, path, headers=(), body=b"", within=5.0, attempt=None, host="shop.example"):
    """Sends one request on a connection of its own and reads the answer."""
    async with asyncio.timeout(within):
        reader, writer = await asyncio.open_connection(*addr)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            if attempt:
                lines.append(f"Attempt-Id: {attempt}")
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, got = await read_head(reader)
            status = int(first.split(" ")[1])
            chunked = "chunked" in got.get("transfer-encoding", "")
            if chunked or "content-length" in got:
                return Got(status, got, await read_body(reader, got))
            return Got(status, got, await reader.read())
        finally:
            writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def route(name, prefix, kind, service, timeout_ms=3000, attempts=1, **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
            "goal_ms": 300, "priority": 1, "service": service, "attempts": attempts, "sticky": False, **more}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 360, "proto": "h1", "tls": False, **more}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

ENGINE = {"slots": 64, "kv_tokens": 156437, "kv_token_bytes": 163840, "link_mbps": 260000.0, "moves": True,
          "backups": True, "stride": 6, "cap": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0,
          "hold_ms": 2000.0, "handle_s": 5.0, "weights_mb": 66700.0, "adapter_slots": 27, "loads_per_s": 5.3,
          "models": [{"name": "m0", "weights_mb": 65100.0, "load_s": 0.6, "adapters": 3000, "adapter_mb": 12.0,
                      "warm_s": 0.38, "disk_s": 0.49}]}


def main(case, folder):
    """Runs `case(folder)`, which returns a text if the rule was broken."""
    started = time.monotonic()
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder), 114))
    except CantRun as why:
        print(f"can't run: {why}")
        sys.exit(2)
    except (asyncio.TimeoutError, OSError) as why:
        print(f"can't run: {why!r}")
        sys.exit(2)
    print(f"{'broken: ' + broken if broken else 'held'} ({time.monotonic() - started:.0f} s)")
    sys.exit(1 if broken else 0)
