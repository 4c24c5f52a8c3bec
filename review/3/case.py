"""A planned stop while clients read their downloads slowly and pipeline a next request."""

import asyncio
import pathlib
import signal
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

# As in the site's sheet: the longest artwork, and its clients' deadline.
ART_BYTES = 540_000
DEADLINE_MS = 4000
PROOF_BYTES = 5000
# A client's pace, about 160 KB a second: an artwork takes it 3.3 s.
READ_BYTES = 8 * 1024
READ_EVERY_S = 0.05
RECEIVE_BUFFER_BYTES = 16 * 1024
# When each client sends its next request, from the start of its download.
NEXT_AT_S = [0.6, 0.9, 1.2, 1.5, 1.8, 2.1, 2.4, 2.7, 2.85, 3.0]
STOP_AT_S = 0.3


class Vault(s.Server):
    async def respond(self, line, fields, body, writer):
        await asyncio.sleep(self.work_s)
        size = ART_BYTES if "/art/" in line else PROOF_BYTES
        writer.write(self.success(fields, b"x" * size))


class SlowClient:
    """One connection, read at a steady pace. Sends a second request before the answer
    to the first is complete."""

    def __init__(self, record, number, address):
        self.record, self.number, self.address = record, number, address
        self.buffer = b""
        self.end = None  # why the connection ended, and when
        self.received = {}  # request id -> (bytes received, bytes wanted, time)
        self.sent_at = {}

    async def run(self, next_at):
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setblocking(False)
        await self.loop.sock_connect(self.sock, self.address)
        self.begun = self.loop.time()
        first, second = f"art-{self.number}", f"next-{self.number}"
        await self.send("/art/", first)
        sending = asyncio.ensure_future(self.send_next(second, next_at))
        if await self.answer(first):
            sending.cancel()
            if second in self.sent_at:
                await self.answer(second)
        sending.cancel()
        self.sock.close()

    async def send(self, path, request_id):
        self.sent_at[request_id] = self.loop.time()
        self.record.line(f"client {self.number} sends {request_id}")
        await self.loop.sock_sendall(self.sock, s.request_bytes(
            f"GET {path}{request_id} HTTP/1.1", s.call_fields(request_id, DEADLINE_MS)))

    async def send_next(self, request_id, next_at):
        await asyncio.sleep(next_at)
        try:
            await self.send("/proof/", request_id)
        except OSError as error:
            self.record.line(f"client {self.number} cannot send {request_id}: {error!r}")

    async def fill(self):
        await asyncio.sleep(READ_EVERY_S)
        try:
            data = await self.loop.sock_recv(self.sock, READ_BYTES)
        except OSError as error:
            data, self.end = b"", repr(error)
        if not data:
            self.end = self.end or "closed"
            return False
        self.buffer += data
        return True

    async def answer(self, request_id):
        """Reads one answer; returns whether it is complete."""
        wanted = None
        while True:
            if wanted is None and b"\r\n\r\n" in self.buffer:
                head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {k.lower(): v.strip() for k, _, v in (i.partition(":") for i in lines)}
                wanted = int(fields.get("content-length", "0"))
                self.record.line(f"client {self.number}: {request_id}: {lines[0]}, "
                                 f"{fields.get('connection', 'kept open')}")
            if wanted is not None and len(self.buffer) >= wanted:
                self.buffer = self.buffer[wanted:]
                self.note(request_id, wanted, wanted)
                return True
            if not await self.fill():
                self.note(request_id, len(self.buffer), wanted)
                return False

    def note(self, request_id, received, wanted):
        took = self.loop.time() - self.sent_at[request_id]
        self.received[request_id] = (received, wanted, took)
        self.record.line(f"client {self.number}: {request_id}: {received} of {wanted} bytes "
                         f"after {took:.2f} s{', then ' + self.end if self.end else ''}")


async def case(record, workspace, hosts):
    store = s.Store()
    await store.start()
    routes = [("/art/", "download", "art-vault", DEADLINE_MS),
              ("/proof/", "idempotent", "art-vault", DEADLINE_MS)]
    store.put("op", "config", s.configuration(4, routes))
    servers = []
    for zone, service in (("z1", "quote-desk"), ("z2", "art-vault"), ("z3", "art-vault")):
        server = Vault(record, service, f"i-{zone}")
        servers.append(server)
        await server.start()
        host = s.Host(workspace, store.address, f"sidecar-{zone}-1", zone, service, server.address)
        hosts.append(host)
        host.start()
        server.start_beats(host.ports["control"])
    for host in hosts:
        await s.until(f"{host.name} is ready", host.has_started)
    entry = hosts[0]

    async def served():
        answer = await s.call(entry.ports["calls"], "GET /art/try HTTP/1.1",
                              s.call_fields("try", DEADLINE_MS))
        return bool(answer) and answer[0] == 200
    await s.until("a download is served", served)

    async def check_readiness():
        while True:
            record.line(f"readiness of {entry.name}: {await entry.is_ready()}")
            await asyncio.sleep(1.0)

    async def watch_exit():
        while entry.process.poll() is None:
            await asyncio.sleep(0.01)
        record.line(f"{entry.name} has exited with {entry.process.returncode}")

    background = [asyncio.ensure_future(check_readiness())]
    clients = [SlowClient(record, n, entry.ports["calls"]) for n in range(len(NEXT_AT_S))]
    running = [asyncio.ensure_future(client.run(at)) for client, at in zip(clients, NEXT_AT_S)]
    await asyncio.sleep(STOP_AT_S)
    if s.TROUBLE:
        record.line(f"SIGTERM to {entry.name}")
        entry.signal(signal.SIGTERM)
        background.append(asyncio.ensure_future(watch_exit()))
    await asyncio.gather(*running)
    for task in background:
        task.cancel()

    # Only what a server has run counts, and only what ended before its deadline.
    ran = {fields["request-id"] for server in servers for _, fields, _ in server.runs}
    return [
        f"LOST: {request_id} was run by a server, and its connection ended after {took:.2f} s "
        f"with {received} of {wanted} bytes: {client.end}"
        for client in clients
        for request_id, (received, wanted, took) in client.received.items()
        if request_id in ran and received != wanted and took * 1000 < DEADLINE_MS
    ]


s.main(HERE, case)
