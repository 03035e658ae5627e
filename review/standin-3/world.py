"""Stand-ins of the platform for the scripts of review 3, in one process.

It plays the platform's store, its runners and its clients as the users' pages
describe them, on loopback addresses and the real clock, and starts
bronze-scheduler with the command of the deploy file. A case (review/N/case.py)
adds the disruption and the check. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TABLE_ROWS = 500
TABLE_BYTES = 1_000_000
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be set up."""


def steady_ms():
    return int(time.monotonic() * 1000)


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, part, text):
        self.file.write(f"{self.now():8.3f} {part:<10} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message. Returns (first line, headers, body) or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; one call at a time on each connection."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                reply = await self.handle(method, target, headers, body)
                if reply is None:
                    break
                status, content = reply
                text = json.dumps(content).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: "
                              "application/json\r\nContent-Length: "
                              f"{len(text)}\r\n\r\n").encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Ends as a killed process does: all connections are cut."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)


class Store:
    """The platform's store of rows."""

    def __init__(self, record, tx_ms=8):
        self.record = record
        self.tx_ms = tx_ms
        self.version = 0
        self.rows = {}  # (table, part, key) -> (version, value in base64)
        self.changes = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def start(self, host):
        self.address = "%s:%d" % await self.server.listen(host)

    async def put(self, table, key, content):
        """Writes a row as the operator, a runner or another writer does."""
        text = content if isinstance(content, bytes) else json.dumps(
            content).encode()
        async with self.changed:
            self.version += 1
            self.set(table, "", key, base64.b64encode(text).decode())
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.version += 1
            self.set(table, "", key, None)
            self.changed.notify_all()

    def set(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (self.version, value)
        self.changes.append((self.version, table, part, key, value))

    def info(self):
        return {"ver": self.version, "now_ms": steady_ms()}

    def row(self, at):
        version, value = self.rows[at]
        return {"table": at[0], "part": at[1], "key": at[2], "ver": version,
                "value": value}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/bronzeworks/rows-tx" and method == "POST":
            return await self.transact(json.loads(body))
        if path == "/bronzeworks/rows-get":
            return self.read(asked)
        if path == "/bronzeworks/rows-feed":
            return await self.feed(asked)
        return 404, {}

    async def transact(self, call):
        await asyncio.sleep(self.tx_ms / 1000)
        async with self.changed:
            wanted = [(e["table"], e["part"], e["key"], e["ver"])
                      for e in call.get("expected", [])]
            holds = all(self.rows.get(w[:3], (0, ""))[0] == w[3]
                        for w in wanted)
            if not holds:
                current = [self.row(w[:3]) for w in wanted
                           if w[:3] in self.rows]
                return 412, {"rows": current, **self.info()}
            self.version += 1
            for e in call.get("put", []):
                self.set(e["table"], e["part"], e["key"], e["value"])
            for e in call.get("remove", []):
                self.set(e["table"], e["part"], e["key"], None)
            self.changed.notify_all()
            return 200, self.info()

    def read(self, asked):
        table, part = asked.get("table", ""), asked.get("part", "")
        keys = sorted(k for k in self.rows
                      if k[0] == table and k[1] == part
                      and k[2] >= asked.get("from", "")
                      and ("to" not in asked or k[2] < asked["to"]))
        rows, size, truncated = [], 0, False
        for at in keys:
            size += len(self.rows[at][1])
            if rows and (len(rows) == TABLE_ROWS or size > TABLE_BYTES):
                truncated = True
                break
            rows.append(self.row(at))
        return 200, {"rows": rows, "truncated": truncated, **self.info()}

    async def feed(self, asked):
        after = int(asked["after"])
        end = time.monotonic() + min(int(asked["wait_ms"]), 30000) / 1000

        def found():
            rows = []
            for version, table, part, key, value in self.changes:
                if version <= after or table != asked["table"]:
                    continue
                row = {"table": table, "part": part, "key": key,
                       "ver": version}
                if value is None:
                    row["deleted"] = True
                else:
                    row["value"] = value
                rows.append(row)
                if len(rows) == TABLE_ROWS:
                    break
            return rows

        async with self.changed:
            while True:
                rows = found()
                left = end - time.monotonic()
                if rows or left <= 0:
                    info = self.info()
                    if len(rows) == TABLE_ROWS:
                        info["ver"] = rows[-1]["ver"]
                    return 200, {"rows": rows, **info}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Run:
    def __init__(self, task, run, seconds):
        self.task, self.run = task, run
        self.ends_at = time.monotonic() + seconds
        self.begun = time.monotonic()
        self.stopping = False
        self.ended = None


class Runner:
    """One life after the other of a runner under one id, at one address."""

    def __init__(self, world, name, labels, work_s, cpu=64000):
        self.world = world
        self.record = world.record
        self.id = name
        self.labels = labels
        self.work_s = work_s  # spec -> seconds; None: the task lasts
        self.cpu = cpu
        self.port = 0
        self.host = world.host
        self.history = []  # all runs of all lives
        self.before_call = None  # of the case: (path, body) -> None or reply

    async def start(self):
        """Begins a life: it holds and knows nothing of before."""
        self.server = Server(self.handle)
        self.host, self.port = await self.server.listen(self.host, self.port)
        self.address = f"{self.host}:{self.port}"
        self.born = unix_ms()
        self.born_steady = time.monotonic()
        self.fence, self.deadline = 0, 0
        self.running, self.highest = {}, {}
        self.finished, self.ends = [], 0
        self.sequence = 0
        self.alive = True
        self.changed = asyncio.Condition()
        self.ticker = asyncio.ensure_future(self.tick())
        self.record.write("runner", f"{self.id} starts at {self.address} "
                          f"born={self.born}")

    async def crash(self):
        self.alive = False
        self.ticker.cancel()
        for run in self.running.values():
            run.ended = time.monotonic()
        self.running = {}
        await self.server.close()
        self.record.write("runner", f"{self.id} crashes")

    def clock(self):
        return int((time.monotonic() - self.born_steady) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": "order-desk", "address": self.address,
                "zone": "almaty-a", "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 256000, "gpu": 0},
                "labels": self.labels}

    async def beat(self):
        await self.world.store.put("servers", self.id, self.entry())

    def end(self, run, how):
        self.running.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends += 1
        run.ended = time.monotonic()
        self.finished.append([self.ends, run.task, run.run, how, ""])
        self.record.write("runner", f"{self.id} ends task={run.task} "
                          f"run={run.run} how={how}")

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            ended = False
            for run in list(self.running.values()):
                if self.clock() > self.deadline:
                    self.end(run, "lapsed")
                    ended = True
                elif run.stopping and now >= run.stop_at:
                    self.end(run, "stopped")
                    ended = True
                elif now >= run.ends_at:
                    self.end(run, "done")
                    ended = True
            if ended:
                async with self.changed:
                    self.changed.notify_all()

    async def handle(self, method, target, headers, body):
        call = json.loads(body) if body else {}
        if self.before_call:
            reply = await self.before_call(self, target, headers, call)
            if reply is not False:
                return reply
        return await self.carry_out(target, headers, call)

    async def carry_out(self, target, headers, call):
        if headers.get("x-expect-instance") != self.id:
            self.record.write("runner", f"{self.id} answers 421 to {target} "
                              f"for {headers.get('x-expect-instance')}")
            return 421, {"clock_ms": self.clock(), "born": self.born}
        fence = call.get("fence", 0)
        if fence < self.fence:
            self.record.write("runner", f"{self.id} refuses {target} "
                              f"task={call.get('task')} by fence {fence} < "
                              f"{self.fence}")
            return 409, self.answer(reason="fence")
        self.fence = fence
        if "deadline_ms" in call:
            lease = min(call["deadline_ms"], self.clock() +
                        self.world.bounds["max_hold_ms"])
            self.deadline = max(self.deadline, lease)
        if target == "/bronzeworks/run-start":
            return self.run_start(call)
        if target == "/bronzeworks/run-stop":
            return self.run_stop(call)
        if target == "/bronzeworks/hold":
            return await self.hold(call)
        if target == "/bronzeworks/pace":
            return 200, self.answer()
        return 400, self.answer()

    def answer(self, **more):
        return {"clock_ms": self.clock(), "born": self.born, **more}

    def run_start(self, call):
        task, number = call["task"], call["run"]
        present = self.running.get(task)
        if present and present.run == number:
            return 200, self.answer()
        if number <= self.highest.get(task, 0):
            self.record.write("runner", f"{self.id} refuses start task={task} "
                              f"run={number} as old")
            return 409, self.answer(reason="old")
        if self.clock() > call["deadline_ms"]:
            return 409, self.answer(reason="late")
        run = Run(task, number, self.work_s(call["spec"]))
        self.running[task] = run
        self.history.append(run)
        self.record.write("runner", f"{self.id} begins task={task} "
                          f"run={number} fence={call['fence']}")
        return 200, self.answer()

    def run_stop(self, call):
        task, number = call["task"], call["run"]
        self.record.write("runner", f"{self.id} stop task={task} run={number}")
        run = self.running.get(task)
        if run and run.run <= number:
            run.stopping = True
            run.stop_at = time.monotonic() + 0.1
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, self.answer()

    async def hold(self, call):
        seen = call.get("last_seen", 0)
        self.finished = [e for e in self.finished if e[0] > seen]
        end = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000
        count = self.ends
        async with self.changed:
            while not self.finished and self.ends == count:
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 200, self.answer(
            running=[[r.task, r.run, "", 100 if r.ends_at == float("inf")
                      else self.percent(r), 0] for r in self.running.values()],
            finished=self.finished[:500])

    @staticmethod
    def percent(run):
        total = run.ends_at - run.begun
        if total == float("inf"):
            return 100
        return min(99, int(100 * (time.monotonic() - run.begun) / total))


class Node:
    """One entry machine with a process of the deploy file's role."""

    def __init__(self, world, name, host):
        self.world = world
        self.name = name
        self.host = host
        self.process = None
        self.settings = os.path.join(world.folder, f"{name}.yaml")
        self.front, self.ready, self.control, peer = free_ports(host, 4)
        self.ports = (peer, peer)

    def write_settings(self, bounds=None):
        world = self.world
        text = {
            "node_name": self.name, "role": "entry",
            "machine_class": "front", "serves": ["front"], "ip": self.host,
            "zone": "almaty-a", "region": "almaty",
            "zones": {"almaty-a": "almaty"},
            "listen": {"front": f"{self.host}:{self.front}",
                       "ready": f"{self.host}:{self.ready}"},
            "port_range": list(self.ports), "seeds": [],
            "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.1, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1500, "bounds": bounds or world.bounds,
            "orders": "invoke",
            "platform": {"address": world.store.address, "form": "table",
                         "writes_per_s": 800, "reads_per_s": 2000,
                         "tx_ms": 8.0, "part_writes_s": 150,
                         "row_bytes": 65536, "across": False,
                         "history_s": 20},
        }
        # JSON is YAML, with the numbers as Python writes them.
        partial = self.settings + ".new"
        with open(partial, "w") as file:
            json.dump(text, file)
        os.replace(partial, self.settings)

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(command), cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.world.folder,
                 "BRONZEWORKS_CONFIG": self.settings})
        self.world.processes.append(self.process)
        self.world.record.write("node", f"{self.name} starts pid="
                                f"{self.process.pid}")

    def signal(self, number):
        self.world.record.write("node", f"{self.name} gets "
                                f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        path = os.path.join(self.world.folder, f"{self.name}.log")
        with open(path, errors="replace") as file:
            return file.read()

    async def call(self, method, path, content=None, deadline_ms=3000):
        """A client's call. Returns (status, body); status 0: no answer."""
        text = json.dumps(content).encode() if content is not None else b""
        shown = f"{method} {path} at {self.name}"
        self.world.record.write("client", shown)
        status, answer = 0, None
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    self.host, self.front)
                writer.write((f"{method} {path} HTTP/1.1\r\nHost: "
                              f"{self.world.queue_host}\r\nX-Deadline-Ms: "
                              f"{deadline_ms}\r\nContent-Type: application/"
                              f"json\r\nContent-Length: {len(text)}\r\n\r\n"
                              ).encode() + text)
                first, _, body = await read_message(reader)
                status = int(first.split(" ")[1])
                answer = json.loads(body) if body else None
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.close()
        self.world.record.write("client", f"{shown} -> {status or 'no answer'}"
                                f" {json.dumps(answer)}")
        return status, answer


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def free_host():
    """A loopback address whose port for metrics is free."""
    for _ in range(100):
        host = "127.%d.%d.%d" % (random.randint(1, 250),
                                 random.randint(1, 250),
                                 random.randint(2, 250))
        try:
            with socket.socket() as one:
                one.bind((host, METRICS_PORT))
            return host
        except OSError:
            continue
    raise CannotRun("no free loopback address")


class World:
    def __init__(self, folder, case_folder):
        self.folder = folder
        self.record = Record(case_folder)
        self.host = "127.0.0.1"
        self.queue_host = "nony24.example"
        self.prefix = "/lohu930/"
        self.bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
            "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
            "loss_slack_ms": 200, "config_apply_ms": 2000,
            "rollback_slack_ms": 250, "max_stretch_ms": 5000,
            "recovery_s": 12, "max_hold_ms": 6000, "stop_timeout_ms": 200,
            "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
            "early_ms": 250, "finish_s": 14, "status_s": 120,
            "spread_factor": 1.5, "checkpoint_s": 0.5, "restore_ms": 100,
            "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
            "require_fencing": False, "lease_ms": 3000, "thaw_ms": 300,
            "pace_ms": 100, "harm_ms": 4000}
        self.processes = []
        self.nodes = []
        self.runners = []
        self.beating = set()
        self.store = Store(self.record)

    async def start(self, nodes, runners):
        await self.store.start(self.host)
        await self.store.put("op", "config", {
            "version": 1,
            "routes": [{"name": "batch", "host": self.queue_host,
                        "path_prefix": self.prefix, "service": "order-desk",
                        "priority": 0, "max_attempts": 4, "stretch": 2.0,
                        "target_latency_ms": 1000}],
            "services": [{"name": "order-desk", "rejects_overload": True}],
            "limits": {}})
        for runner in runners:
            await runner.start()
            self.beating.add(runner)
            await runner.beat()
        self.runners = runners
        asyncio.ensure_future(self.beat())
        for number in range(nodes):
            node = Node(self, f"front-almaty-a-{number + 1}", free_host())
            node.write_settings()
            await node.start()
            self.nodes.append(node)

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            for runner in list(self.beating):
                if runner.alive:
                    await runner.beat()

    async def until(self, what, seconds, condition):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{what} did not come within {seconds} s")

    async def until_scheduling(self):
        def scheduling():
            for node in self.nodes:
                if "loaded, scheduling" in node.log():
                    self.owner = node
                    return True
            return False
        await self.until("an owner of the cell", 20, scheduling)

    def ready(self):
        return all(n.process.returncode is None for n in self.nodes)

    def stop(self):
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass


def main(case, case_file):
    """Runs the case and exits with 0 (held), 1 (broken) or 2 (cannot run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case_folder = os.path.dirname(os.path.abspath(case_file))

    async def play(folder):
        world = World(folder, case_folder)
        world.record.write("case", f"trouble={int(trouble)}")
        try:
            async with asyncio.timeout(110):
                broken = await case(world, trouble)
        except Exception as error:  # Exit code 1 stands for a broken rule only.
            world.record.write("case", f"cannot run: {error!r}")
            return 2
        finally:
            world.stop()
            for process in world.processes:
                await process.wait()
            if os.environ.get("KEEP_LOGS"):
                for node in world.nodes:
                    world.record.write("log", "\n" + node.log())
        for line in broken:
            world.record.write("broken", line)
        world.record.write("case", "broken" if broken else "held")
        return 1 if broken else 0

    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(play(folder))
    sys.exit(code)
