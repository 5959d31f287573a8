"""Stand-ins for the platform, as PROTOCOL.md describes it: the metadata store, workers,
callers, and the system's own members as separate processes. Standard library only.

Everything listens on loopback addresses and free ports. Workers follow the page: fencing
tokens, leases on their own clock, numbered ends, `X-Expect-Instance`. They guard nothing
else, and record what they were told and what they ran.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
# Bounds of the small sites, as the settings of a process give them.
MAX_HOLD_MS = 10_000
STOP_GRACE_MS = 200
HEARTBEAT_S = 1.5
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
# Connections that a worker takes; it resets further ones. It closes none that is idle.
CONNECTIONS = 64
# How long an order may be on its way when it gets no answer.
LATE_S = (2.0, 12.0)


class Record:
    """Writes to record.txt what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# --- HTTP, both sides -------------------------------------------------------------------


async def read_message(reader):
    """Returns the first line, headers and body of a message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if row in (b"\r\n", b"\n", b""):
            break
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").split(" ", 2), headers, body


class Server:
    """An HTTP server. `handle` returns a status and a body; None leaves the call unanswered."""

    def __init__(self, handle, connections_max=None):
        self.handle = handle
        self.connections_max = connections_max
        # Connections that were reset because there were too many.
        self.over_cap = 0
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def addr(self):
        return f"{HOST}:{self.port}"

    def stop(self):
        """Stops listening and resets all connections, like a process that is killed."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.reset(writer)
        self.writers.clear()

    def reset(self, writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.connections_max is not None and len(self.writers) >= self.connections_max:
            self.over_cap += 1
            self.reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3_600)
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(addr, method, path, headers=(), body=b"", timeout=3.0):
    """Sends one request on a connection of its own; returns the status and the body, or
    (0, reason) when there is no answer."""
    host, port = addr.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in headers)
            writer.write((head + "\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, b"connection closed"
            first, _, answer = message
            return int(first[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError) as e:
        return 0, str(e).encode()
    except asyncio.TimeoutError:
        return 0, b"no answer in time"


def query(target):
    path, _, text = target.partition("?")
    return path, dict(p.split("=", 1) for p in text.split("&") if "=" in p)


# --- the store ---------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = -1
        self.seq = -1
        self.answers = {}


class Store:
    """The platform's store in its `log` form, with one partition a topic. It loses nothing and
    expires nothing: a day of a script is shorter than `keep_s`."""

    def __init__(self):
        self.topics = {}
        # Appends that were refused because a record or the call was too large, with its bytes.
        self.too_large = []
        self.appended = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()

    async def door(self):
        """Returns a further address of the store, for one member; `closed` turns it away."""
        door = Door(self)
        await door.server.start()
        return door

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def append_raw(self, topic, record):
        topic.records.append(record)
        length = record[0]
        key, value = record[1 : 1 + length], record[1 + length :]
        if value:
            topic.newest[key] = (len(topic.records) - 1, value)
        else:
            topic.newest.pop(key, None)

    def put(self, name, key, value):
        """Writes as the operator and the workers do; an empty value drops the key."""
        key = key.encode()
        self.append_raw(self.topic(name), bytes([len(key)]) + key + value)
        self.wake()

    def wake(self):
        self.appended.set()
        self.appended = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, args = query(target)
        topic = self.topic(args.get("topic", ""))
        if (method, path) == ("POST", "/log-append"):
            await asyncio.sleep(0.002)
            return self.append(topic, args, body)
        if (method, path) == ("GET", "/log-read"):
            return await self.read(topic, args)
        if (method, path) == ("GET", "/log-newest"):
            return self.read_newest(topic, args)
        return 404, b"{}"

    def append(self, topic, args, body):
        end = len(topic.records)
        records, at = [], 0
        while at + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        largest = max((len(r) for r in records), default=0)
        if largest > RECORD_BYTES or sum(len(r) for r in records) > REQUEST_BYTES:
            self.too_large.append((len(records), largest))
            return 400, b"{}"
        if "at" in args and int(args["at"]) != end:
            return 412, json.dumps({"end-offset": end}).encode()
        if "epoch" in args:
            epoch, seq = int(args["epoch"]), int(args.get("seq", 0))
            if epoch < topic.epoch:
                return 409, b'{"reason":"fenced"}'
            if epoch == topic.epoch:
                if seq in topic.answers:
                    return 200, topic.answers[seq]
                if seq != topic.seq + 1:
                    answer = {"reason": "seq", "seq": topic.seq + 1}
                    return 409, json.dumps(answer).encode()
            else:
                topic.answers = {}
            topic.epoch, topic.seq = epoch, seq
        for record in records:
            self.append_raw(topic, record)
        answer = json.dumps({"offset": end, "end-offset": len(topic.records)}).encode()
        if "epoch" in args:
            topic.answers[topic.seq] = answer
            for old in [s for s in topic.answers if s <= topic.seq - 5]:
                del topic.answers[old]
        self.wake()
        return 200, answer

    async def read(self, topic, args):
        start = int(args.get("from", 0))
        until = time.monotonic() + int(args.get("wait-ms", 0)) / 1_000
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                left = until - time.monotonic()
                await asyncio.wait_for(self.appended.wait(), max(0.0, left))
            except asyncio.TimeoutError:
                break
        page = [struct.pack(">QQ", len(topic.records), 0)]
        for record in topic.records[start : start + int(args.get("fetch-max", 1_024))]:
            page.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(page)

    def read_newest(self, topic, args):
        after = args.get("depends-on", "").encode()
        keys = sorted(k for k in topic.newest if k > after)
        items = []
        for key in keys[:500]:
            offset, value = topic.newest[key]
            value = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": value, "offset": offset})
        answer = {"items": items, "has-more": len(keys) > 500, "end-offset": len(topic.records)}
        return 200, json.dumps(answer).encode()


class Door:
    """The store as one machine reaches it. While it is closed, the store answers 503 there, which
    "means that nothing was done"."""

    def __init__(self, store):
        self.store = store
        self.closed = False
        self.server = Server(self.handle)

    async def handle(self, method, target, headers, body):
        if self.closed:
            return 503, b"{}"
        return await self.store.handle(method, target, headers, body)


# --- workers -----------------------------------------------------------------------------


class Run:
    def __init__(self, spec, attempt, clock):
        self.long = spec.get("long", False)
        self.work_ms = spec.get("work-ms", 500)
        self.fails = attempt <= spec.get("failing-runs", 0)
        self.began = clock
        self.stops_at = None

    def percent(self, clock):
        ran = clock - self.began
        if self.long:
            return 100 if ran >= self.work_ms else 0
        return min(99, int(100 * ran / max(1, self.work_ms)))


class Worker:
    """A worker with a machine of its own. `spec` of a task is JSON: how long it works."""

    def __init__(self, site, number, zone, cpu, same_id=False):
        self.site = site
        self.number = number
        # Whether it starts again under the id that it had.
        self.same_id = same_id
        # Share of start orders that stay on their way to it for seconds, without an answer.
        self.late_share = 0.0
        self.late = []
        self.zone = zone
        self.cpu = cpu
        self.life = 0
        self.up = False
        self.draining = False
        self.server = Server(self.handle, CONNECTIONS)
        self.port = 0

    def id(self):
        return f"i-{self.number:04x}{1 if self.same_id else self.life:04x}"

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1_000)

    async def begin(self):
        """Begins a new life at the same address, which knows nothing of the one before."""
        self.life += 1
        self.born = int(time.time() * 1_000)
        self.clock_began = time.monotonic()
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.next_end = 1
        self.changed = asyncio.Event()
        self.up = True
        self.server.handle = self.handle
        await self.server.start(self.port)
        self.port = self.server.port
        self.site.record(f"worker {self.number} up as {self.id()}")
        self.register()

    def crash(self):
        """Loses power: its runs are gone, its connections are reset, its port refuses."""
        self.up = False
        self.server.stop()
        self.site.record(f"worker {self.number} ({self.id()}) crashed under {sorted(self.runs)}")
        for key in self.runs:
            self.site.run_gone(self, key, "crashed")
        self.runs = {}
        self.site.crashed(self.id())

    def register(self):
        entry = {
            "service": "pool",
            "addr": self.server.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-left-ms": 0,
            "seq": self.clock(),
            "born": self.born,
            "capacity": {"cpu": self.cpu, "mem-mb": 65_536, "gpu": 0},
            "labels": ["a", f"r-{self.zone}"],
        }
        self.site.store.put("keyed.servers", self.id(), json.dumps(entry).encode())

    def tick(self):
        """Ends what is done, stopped or without a lease."""
        clock, ended = self.clock(), False
        for key, run in list(self.runs.items()):
            if clock > self.lease:
                how = "lapsed"
            elif run.stops_at is not None and clock >= run.stops_at:
                how = "stopped"
            elif run.fails and clock >= run.began + run.work_ms:
                how = "failed"
            elif not run.long and clock >= run.began + run.work_ms:
                how = "done"
            else:
                continue
            del self.runs[key]
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            self.ends.append([self.next_end, key[0], key[1], how, ""])
            self.next_end += 1
            self.site.run_gone(self, key, how)
            ended = True
        if ended:
            self.changed.set()
            self.changed = asyncio.Event()

    def fail(self, task):
        """Lets the task's run here fail by itself; returns whether there is one."""
        for (name, attempt), run in self.runs.items():
            if name == task:
                run.fails, run.work_ms = True, 0
                return True
        return False

    def extend(self, expires):
        self.lease = max(self.lease, min(expires, self.clock() + MAX_HOLD_MS))

    def refuse(self, reason):
        return 409, json.dumps({"clock-ms": self.clock(), "reason": reason}).encode()

    def accept(self):
        return 200, json.dumps({"clock-ms": self.clock()}).encode()

    async def handle(self, method, target, headers, body):
        if target == "/run-start" and random.random() < self.late_share:
            order = json.loads(body)
            after = random.uniform(*LATE_S)
            self.site.record(
                f"worker {self.number}: the start of {order['task']} run {order['attempt']} is on its way for {after:.1f} s"
            )
            self.late.append(time.monotonic() + after)
            task = asyncio.create_task(self.arrive_late(after, target, headers, body))
            self.site.tasks.append(task)
            return None
        return await self.execute(target, headers, body)

    async def arrive_late(self, after, target, headers, body):
        await asyncio.sleep(after)
        order = json.loads(body)
        answer = await self.execute(target, headers, body)
        self.site.record(
            f"worker {self.number}: the late start of {order['task']} run {order['attempt']} arrives: {answer}"
        )

    async def execute(self, target, headers, body):
        life = self.life
        if not self.up:
            return None
        if headers.get("x-expect-instance", self.id()) != self.id():
            return 421, b"{}"
        order = json.loads(body)
        self.tick()
        if order.get("fencing-token", 0) < self.token:
            return self.refuse("fence")
        self.token = order.get("fencing-token", 0)
        if target == "/run-start":
            return self.run_start(order)
        if target == "/run-stop":
            return self.run_stop(order)
        if target == "/hold":
            return await self.hold(order, life)
        return 404, b"{}"

    def run_start(self, order):
        task, attempt, expires = order["task"], order["attempt"], order["expires-ms"]
        if expires < self.clock():
            return self.refuse("late")
        self.extend(expires)
        if (task, attempt) in self.runs:
            return self.accept()
        if attempt <= self.highest.get(task, 0):
            return self.refuse("old")
        self.runs[(task, attempt)] = Run(json.loads(order["spec"]), attempt, self.clock())
        self.site.run_began(self, (task, attempt), order)
        return self.accept()

    def run_stop(self, order):
        task, attempt = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        for (name, number), run in self.runs.items():
            if name == task and number <= attempt and run.stops_at is None:
                run.stops_at = self.clock() + STOP_GRACE_MS // 2
        self.site.record(f"worker {self.number} told to stop {task} run {attempt}")
        return self.accept()

    async def hold(self, order, life):
        if "expires-ms" in order:
            self.extend(order["expires-ms"])
        seen = order.get("last-seen", 0)
        for end in [e for e in self.ends if e[0] <= seen]:
            self.site.noted(self, end)
        self.ends = [e for e in self.ends if e[0] > seen]
        until = time.monotonic() + order.get("wait-ms", 0) / 1_000
        while not self.ends and time.monotonic() < until:
            try:
                left = until - time.monotonic()
                await asyncio.wait_for(self.changed.wait(), max(0.0, left))
            except asyncio.TimeoutError:
                break
        if life != self.life or not self.up:
            return None
        clock = self.clock()
        running = [[t, a, "", r.percent(clock), 0] for (t, a), r in self.runs.items()]
        answer = {"clock-ms": clock, "born": self.born, "running": running}
        answer["finished"] = self.ends[:500]
        return 200, json.dumps(answer).encode()


# --- members: the system's own processes ---------------------------------------------------


def deploy_command():
    """Returns the words of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        for line in f:
            if line.startswith("run"):
                return line.split("=", 1)[1].strip().strip('"').split()
    raise SystemExit(2)


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Member:
    """A member as the platform starts it: the deploy file's command, settings as its template
    gives them for a machine of a small site."""

    def __init__(self, site, number, zone, door):
        self.site = site
        self.door = door
        self.name = f"edge-{zone}-{number}"
        callers, readiness, peers, metrics = free_ports(4)
        self.callers = f"{HOST}:{callers}"
        self.readiness = f"{HOST}:{readiness}"
        self.settings = os.path.join(site.dir, f"{self.name}.toml")
        self.log = os.path.join(site.dir, f"{self.name}.log")
        self.process = None
        with open(self.settings, "w") as f:
            f.write(
                f'[member]\nname = "{self.name}"\ndomain = "{zone}"\n'
                f'callers = "{self.callers}"\nreadiness = "{self.readiness}"\n'
                f'peers = "{HOST}:{peers}"\nmetrics = "{HOST}:{metrics}"\n'
                f"cores = 0.25\nlink_mbps = 1000.0\nmemory_mib = 260\ndescriptors = 4100\n"
                f'[services]\nstore = "{door.server.addr}"\napproval = ""\n'
                f"[times]\nlease_max = {MAX_HOLD_MS}\nkeep_ended_s = 120\ngrace_s = 6\n"
            )

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["MONSOONNOTCH_NODE_FILE"] = self.settings
        log = open(self.log, "a")
        self.process = subprocess.Popen(
            deploy_command(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.site.record(f"member {self.name} started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.record(f"member {self.name} gets {signal.Signals(number).name}")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        status, _ = await call(self.readiness, "GET", "/readyz", timeout=0.5)
        return status == 200


# --- a site --------------------------------------------------------------------------------


class Site:
    """A small deployment: the store, workers, members, and what was seen of them."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.workers = []
        self.members = []
        # Runs at work now, by task: {(worker, attempt)}.
        self.running = {}
        # When a run of a task first ended `done`, and when such an end was first taken note of.
        self.done = {}
        self.noted_done = {}
        self.ends = []
        self.starts = {}
        self.broken = []
        self.tasks = []

    async def start(self, workers, members, zones, cpu=16_000, routes=(), tenants=(), same_id=False):
        await self.store.start()
        self.publish(1, routes, tenants)
        for number in range(workers):
            worker = Worker(self, number + 1, zones[number % len(zones)], cpu, same_id)
            self.workers.append(worker)
            await worker.begin()
        self.tasks.append(asyncio.create_task(self.tick()))
        self.tasks.append(asyncio.create_task(self.beat()))
        for number in range(members):
            door = await self.store.door()
            member = Member(self, number + 1, zones[number % len(zones)], door)
            self.members.append(member)
            member.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            ready = [await m.is_ready() for m in self.members]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        self.record("the members were not ready in time")
        raise CouldNotRun("members not ready")

    def publish(self, version, routes, tenants):
        config = {
            "version": version,
            "routes": list(routes),
            "services": [{"name": "pool", "enforce-capacity": False}],
            "tenants": list(tenants),
            "limits": {},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record(f"operator: configuration {version} is in the store")

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            for worker in self.workers:
                if worker.up:
                    worker.tick()

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.up:
                    worker.register()

    def crashed(self, id):
        """The entry goes after three heartbeats of silence."""
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.store.put("keyed.servers", id, b"")
        )

    def run_began(self, worker, key, order):
        task, attempt = key
        self.record(f"worker {worker.number} ({worker.id()}) begins {task} run {attempt}")
        self.starts.setdefault(task, []).append((worker.id(), attempt, self.record.now()))
        self.running.setdefault(task, set()).add((worker.number, attempt))

    def run_gone(self, worker, key, how):
        task, attempt = key
        self.record(f"worker {worker.number} ({worker.id()}) ends {task} run {attempt}: {how}")
        self.running.get(task, set()).discard((worker.number, attempt))
        self.ends.append((task, attempt, how))
        if how == "done":
            self.done.setdefault(task, self.record.now())

    def noted(self, worker, end):
        """An end is taken note of when `last-seen` reaches it."""
        if end[3] == "done":
            self.noted_done.setdefault(end[1], self.record.now())

    def leader(self):
        """Returns the member that wrote to the store under a condition last."""
        newest = self.store.topic("keyed.holder").newest.values()
        text = b"".join(value for _, value in newest)
        for member in self.members:
            if member.name.encode() in text:
                return member
        return None

    async def submit(self, member, path, key, body, deadline_ms=3_000):
        return await self.client(member, "POST", path, key, body, deadline_ms)

    async def client(self, member, method, path, key, body=None, deadline_ms=3_000):
        headers = [("Host", "jobs.example"), ("Content-Type", "application/json")]
        headers.append(("X-Deadline-Ms", deadline_ms))
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        body = json.dumps(body).encode() if body is not None else b""
        self.record(f"client: {method} {path} to {member.name}")
        status, answer = await call(
            member.callers, method, path, headers, body, deadline_ms / 1_000
        )
        self.record(f"client: {method} {path} answered {status} {answer.decode()[:200]}")
        return status, answer

    async def state(self, member, path, key):
        """Returns the job's state as a caller reads it; None without such an answer."""
        status, answer = await self.client(member, "GET", path, key)
        if status == 410:
            return "410"
        if status != 200:
            return None
        return json.loads(answer).get("state")

    def end(self):
        for task in self.tasks:
            task.cancel()
        for member in self.members:
            member.end()
        for worker in self.workers:
            worker.server.stop()
        for member in self.members:
            member.door.server.stop()
        self.store.server.stop()
        keep = os.environ.get("KEEP")
        if keep:
            self.record(f"kept {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be played."""


def main(folder, play):
    """Plays a case: `play` gets the site and whether to disturb, and returns what broke the rule."""
    folder = os.path.abspath(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.join(ROOT, deploy_command()[0])
    if not os.path.exists(program):
        print(f"{deploy_command()[0]} is missing: run the build of the deploy file first")
        return 2

    async def run():
        site = Site(folder)
        try:
            return await asyncio.wait_for(play(site, trouble), 112), site
        finally:
            site.end()
            site.record("all processes ended")

    try:
        broken, site = asyncio.run(run())
    except (CouldNotRun, asyncio.TimeoutError) as e:
        print(f"could not run: {e!r}")
        return 2
    for line in broken:
        print(f"broken: {line}")
    if not broken:
        print("the rule held")
    return 1 if broken else 0
