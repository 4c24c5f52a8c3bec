"""A server leaves, all daemons are killed, and the server's last heartbeat arrives late."""

import asyncio
import pathlib
import signal
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The daemons are killed this long after the acknowledgement, and start again.
KILLED_AFTER_S = 0.3
DOWN_S = 0.5
# The heartbeat that the server sent just before it left is this late.
LATE_S = 2.5
# The server goes on serving for `drain` and "many seconds" after its farewell.
SERVES_S = 9.0
WORK_S = 0.29
ORDER_EVERY_S = 0.06


class Desk(s.Server):
    """Notes when each request arrives."""

    def __init__(self, *args):
        super().__init__(*args, work_s=WORK_S)
        self.arrivals = []  # (request id, time)

    async def respond(self, line, fields, body, writer):
        self.arrivals.append((fields["request-id"], asyncio.get_running_loop().time()))
        await super().respond(line, fields, body, writer)

    async def farewell(self, control):
        """Sends `DELETE /instances/ID`, without `draining` before."""
        answer = await s.call(control, f"DELETE /instances/{self.instance} HTTP/1.1",
                              [("Host", "control")], b"", 1.0)
        return answer[0] if answer else 0

    def exit(self):
        """Ends as a process does: its connections are reset and its port is closed."""
        self.server.close()
        for writer in list(self.writers):
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


async def case(record, workspace, hosts):
    store = s.Store()
    await store.start()
    routes = [("/order/", "non_idempotent", "quote-desk", 2500)]
    store.put("op", "config", s.configuration(4, routes))
    servers = []
    for index, (zone, service) in enumerate(
        [("z1", "quote-desk"), ("z2", "quote-desk"), ("z3", "art-vault")]
    ):
        server = Desk(record, service, f"i-{index}", zone)
        await server.start()
        host = s.Host(workspace, store.address, f"sidecar-{zone}-1", zone, service, server.address)
        hosts.append(host)
        host.start()
        server.start_beats(host.ports["control"])
        servers.append(server)
    for host in hosts:
        await s.until(f"{host.name} is ready", host.has_started)
    loop = asyncio.get_running_loop()
    leaving, home = servers[0], hosts[0]

    sent_at, answers, number = {}, {}, 0

    async def order(host, request_id):
        sent_at[request_id] = loop.time()
        answer = await s.call(host.ports["calls"], f"POST /order/{request_id} HTTP/1.1",
                              s.call_fields(request_id, 5000), b"x" * 4000)
        answers[request_id] = answer and answer[0]
        record.line(f"client of {request_id} at {host.name} gets {answer and answer[0]}")
        return answer

    async def served():
        nonlocal number
        number += 1
        answer = await order(hosts[number % 3], f"try-{number}")
        return bool(answer) and answer[0] == 200
    await s.until("an order is served", served)
    for _ in range(20):
        await served()

    orders = []

    async def send_orders():
        nonlocal number
        while True:
            number += 1
            orders.append(asyncio.ensure_future(order(hosts[number % 3], f"order-{number}")))
            await asyncio.sleep(ORDER_EVERY_S)
    sending = asyncio.ensure_future(send_orders())
    await asyncio.sleep(1.0)

    # The last heartbeat: on time, or held up on its way.
    leaving.beats.cancel()
    if not s.TROUBLE:
        await leaving.report(home.ports["control"])
    status = await leaving.farewell(home.ports["control"])
    acknowledged = loop.time()
    if status != 200:
        raise s.CannotRun(f"the farewell of {leaving.instance} got {status}")
    record.line(f"{home.name} acknowledges that {leaving.instance} is gone")
    back = acknowledged
    if s.TROUBLE:
        await asyncio.sleep(KILLED_AFTER_S)
        record.line("SIGKILL to all daemons")
        for host in hosts:
            host.signal(signal.SIGKILL)
            host.process.wait()
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            host.start()
        back = loop.time()
        record.line("all daemons have been started again")
        await asyncio.sleep(max(0, acknowledged + LATE_S - loop.time()))
        status = await leaving.report(home.ports["control"])
        record.line(f"the late heartbeat of {leaving.instance} arrives: {status}")
        if status != 200:
            raise s.CannotRun(f"the late heartbeat got {status}")
    await asyncio.sleep(max(0, acknowledged + SERVES_S - loop.time()))
    leaving.exit()
    exited = loop.time()
    record.line(f"{leaving.instance} exits")
    await asyncio.sleep(0.5)
    sending.cancel()
    await asyncio.gather(*orders)

    # Counted are requests that were sent after all daemons have been in touch again.
    in_touch = max(back + STABLE_WINDOW_S, acknowledged + DRAIN_S)
    late = [(request_id, at) for request_id, at in leaving.arrivals
            if at > acknowledged + DRAIN_S and sent_at[request_id] > in_touch]
    if not late:
        return []
    lost = [request_id for request_id, at in late
            if at > exited - WORK_S and answers.get(request_id) != 200]
    first, last = late[0][1] - acknowledged, late[-1][1] - acknowledged
    return [
        f"DRAIN: {len(late)} orders reached {leaving.instance} from {first:.2f} s to {last:.2f} s "
        f"after its leaving was acknowledged, all of them sent by machines in touch",
        f"of these, {len(lost)} were lost when it exited, answered "
        f"{sorted({str(answers[i]) for i in lost})}: {', '.join(lost)}",
    ]


s.main(HERE, case)
