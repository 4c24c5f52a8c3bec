"""Stand-ins of the users' platform for the review's scripts.

A store, a server, raw HTTP helpers, and a host that starts `filbertd mesh` as the
deploy file does. Everything listens on loopback with ports that the kernel chose.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "release" / "filbertd"
TAKEN_PORTS = set()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; nothing can be said about the rule."""


def free_port():
    """A free port outside the range from which outgoing connections take theirs, so
    that none of them has it while a daemon is down."""
    while True:
        port = random.randrange(20000, 32000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()


# HTTP/1.1 messages


async def read_head(reader):
    """Reads the head of a message: the start line and the fields (lower-case names).

    Line ends before the start line are skipped, as common servers do.
    """
    first = await reader.readexactly(1)
    while first in b"\r\n":
        first = await reader.readexactly(1)
    raw = first + await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body that is framed by its length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def request_bytes(line, fields, body=b""):
    head = [line] + [f"{name}: {value}" for name, value in fields]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


async def read_answer(reader):
    """Reads an answer; returns its status, fields and body."""
    start, fields = await read_head(reader)
    return int(start.split(" ")[1]), fields, await read_body(reader, fields)


async def call(address, line, fields, body=b"", timeout=20.0):
    """Sends one request on a new connection. Returns `None` without a whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request_bytes(line, fields, body))
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


# The platform's store


class Store:
    """The tables of the platform's store: reads, feeds and transactions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(value).decode(), self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def listing(self, table, after=0, with_deleted=False):
        keys = [key for (name, key) in self.rows if name == table]
        rows = [self.row(table, key) for key in sorted(keys)]
        rows = [row for row in rows if row["row_version"] > after]
        return [row for row in rows if with_deleted or not row.get("deleted")]

    def answer(self, rows, **more):
        now = f"{(time.monotonic() - self.started) * 1000:.0f}ms"
        return {"rows": rows, "row_version": self.version, "now": now, "has_more": False, **more}

    def transact(self, body):
        expected = body.get("expected_rev", [])

        def current(entry):
            value, version = self.rows.get((entry["table"], entry["key"]), (None, 0))
            return 0 if value is None else version

        if any(current(entry) != entry["row_version"] for entry in expected):
            known = [e for e in expected if (e["table"], e["key"]) in self.rows]
            return 412, self.answer([self.row(e["table"], e["key"]) for e in known])
        self.version += 1
        for entry in body.get("set_keys", []):
            self.rows[(entry["table"], entry["key"])] = (entry["value"], self.version)
        for entry in body.get("delete_keys", []):
            self.rows[(entry["table"], entry["key"])] = (None, self.version)
        self.wake()
        return 200, self.answer([])

    async def respond(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if method == "POST" and path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            return 200, self.answer(self.listing(args["table"]))
        if path == "/rows-feed":
            after = int(args["after"])
            until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
            while True:
                rows = self.listing(args["table"], after, with_deleted=True)
                left = until - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: row["row_version"])
                    return 200, self.answer(rows)
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                status, content = await self.respond(line, await read_body(reader, fields))
                text = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def configuration(version, routes):
    """The operator's configuration. `routes`: (prefix, type, service, timeout in ms)."""
    services = sorted({service for _, _, service, _ in routes})
    return json.dumps({
        "version": f"{version:08x}",
        "routes": [
            {
                "name": f"r-{index}", "host": "shop.example", "prefix": prefix,
                "route_type": kind, "timeout": f"{timeout}ms", "target_latency": "800ms",
                "priority": 1, "service": service, "max_attempts": 2,
            }
            for index, (prefix, kind, service, timeout) in enumerate(routes)
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 110,
             "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 67108864,
                   "header": "3000ms", "idle": "15000ms"},
    }).encode()


# Servers


class Server:
    """An application server: reports itself, runs requests and records them."""

    def __init__(self, record, service, instance, zone, slots=9, work_s=0.05):
        self.record, self.service, self.instance = record, service, instance
        self.zone = zone
        self.slots, self.work_s = slots, work_s
        self.runs = []  # (request line, fields, body)
        self.sequence = 0
        self.writers = set()
        self.beats = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def report(self, control, state="ready"):
        self.sequence += 1
        body = json.dumps({
            "addr": "%s:%d" % self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": state, "sequence": self.sequence, "cold_left": "0ms"},
        }).encode()
        fields = [("Host", "control"), ("Content-Type", "application/json")]
        answer = await call(control, f"PUT /instances/{self.instance} HTTP/1.1", fields, body, 1.0)
        return answer[0] if answer else 0

    def start_beats(self, control, every_s=1.5):
        async def beat():
            while True:
                await self.report(control)
                await asyncio.sleep(every_s)
        self.beats = asyncio.ensure_future(beat())

    async def respond(self, line, fields, body, writer):
        """Runs a request. Subclasses change what it does."""
        await asyncio.sleep(self.work_s)
        writer.write(self.success(fields, b"done"))

    def success(self, fields, body, more=""):
        return (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {fields.get('request-id', '')}\r\n"
            f"Server-Seal: {self.instance}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        ).encode() + body

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                if line.split(" ")[1] == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                named = fields.get("target-instance")
                if named is not None and named != self.instance:
                    await read_body(reader, fields)
                    self.record.line(f"{self.instance} answers 421 to {line}")
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                                 f"{fields.get('request-id', '')}\r\nNot-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                if "request-id" not in fields:
                    await read_body(reader, fields)
                    writer.write(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                    continue
                body = await read_body(reader, fields)
                self.runs.append((line, fields, body))
                self.record.line(
                    f"{self.instance} ({self.service}) runs {line} "
                    f"id={fields['request-id']} caller={fields.get('caller-service')} "
                    f"body={len(body)} bytes")
                await self.respond(line, fields, body, writer)
                await writer.drain()
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            # Bytes that are no request.
            writer.write(b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
                         b"Content-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# Daemons


class Host:
    """A host with its `filbertd mesh`, started by the command of the deploy file."""

    def __init__(self, folder, store, name, zone, service, target, tables=""):
        self.name, self.service, self.target = name, service, target
        self.ports = {k: ("127.0.0.1", free_port())
                      for k in ("calls", "peers", "ready", "control", "metrics")}
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.store, self.zone, self.tables = store, zone, tables
        self.process = None

    def write_settings(self, is_first_start):
        # The layout of platform/settings.toml.in, filled in as for csspc-mesh.
        listen = "\n".join(f'{k} = "{h}:{p}"' for k, (h, p) in self.ports.items())
        text = (
            f'id = "{self.name}"\nzone = "{self.zone}"\nservice = "{self.service}"\n'
            f'target = "{self.target[0]}:{self.target[1]}"\n'
            f'store = "{self.store[0]}:{self.store[1]}"\nfirst_start = {str(is_first_start).lower()}\n'
            f'zones = ["z1", "z2", "z3"]\n\n[listen]\n{listen}\n\n[times]\n'
            'report_every = "1500ms"\ndrain = "2000ms"\ngrace = "6s"\n\n[retry]\n'
            'ratio = 0.2\nslack = 56\nwindow = "10s"\n\n[link]\nmbps = 1000.0\n' + self.tables
        )
        part = self.settings.with_suffix(".part")
        part.write_text(text)
        part.rename(self.settings)

    def start(self):
        """Starts the daemon; only the first time is the first start of the whole system."""
        self.write_settings(is_first_start=self.process is None)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["FILBERTLADDER_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(DAEMON), "mesh"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def has_started(self):
        """Whether the daemon is ready; the case cannot run if it has ended."""
        if self.process.poll() is not None:
            log = self.log.read_text(errors="replace").splitlines()[-3:]
            raise CannotRun(f"{self.name} has ended: {log}")
        return await self.is_ready()

    async def is_ready(self):
        answer = await call(self.ports["ready"], "GET /readiness HTTP/1.1", [("Host", "h")], b"", 1.0)
        return bool(answer) and answer[0] == 200


async def until(what, check, within=30.0):
    """Waits until `check` returns true; the case cannot run if it does not."""
    end = time.monotonic() + within
    while not await check():
        if time.monotonic() > end:
            raise CannotRun(f"not within {within} s: {what}")
        await asyncio.sleep(0.05)


def call_fields(request_id, deadline_ms, more=()):
    return [("Host", "shop.example"), ("Request-Id", request_id),
            ("Deadline-Ms", str(deadline_ms)), *more]


def main(folder, case):
    """Runs `case(folder, record, workspace)`, which returns the broken promises."""
    import sys
    import tempfile

    if not DAEMON.exists():
        print(f"cannot run: {DAEMON} is not built")
        sys.exit(2)
    # A SIGTERM to the script ends the daemons too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.line(f"trouble: {'yes' if TROUBLE else 'no'}")
    with tempfile.TemporaryDirectory(prefix="filbert-review-") as workspace:
        hosts = []
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, workspace, hosts), 110))
        except Exception as error:  # any fault of the case itself is no broken rule
            record.line(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            sys.exit(2)
        finally:
            for host in hosts:
                host.stop()
    for fault in broken:
        record.line(f"BROKEN: {fault}")
        print(f"broken: {fault}")
    if not broken:
        record.line("held")
        print("held")
    sys.exit(1 if broken else 0)
