"""A client's own header whose text ends in `Transfer-Encoding: chunked`, with a long body."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

# Length of the orders' bodies; the configuration allows 64 MiB.
BODY_BYTES = 96 * 1024
# Length of the body of the last orders, which end with the text of another request.
LONG_BODY_BYTES = 4 * 1024 * 1024
# Empty lines before that text.
EMPTY_LINES = 4000


def order_body(number, length=BODY_BYTES):
    """A body of printable lines; the end of a long one has the form of a request."""
    tail = b"" if length == BODY_BYTES else (
        "\r\n" * EMPTY_LINES + f"POST /order/smuggled-{number} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: nobody-{number}\r\nCaller-Service: another-shop\r\n"
        "Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
    ).encode()
    line = b"%06d letters cut from aluminium\n" % number
    filler = line * (length // len(line) + 1)
    return filler[: length - len(tail)] + tail


async def case(record, workspace, hosts):
    store = s.Store()
    await store.start()
    routes = [("/order/", "non_idempotent", "quote-desk", 2500)]
    store.put("op", "config", s.configuration(4, routes))
    servers = []
    for index, (zone, service) in enumerate(
        [("z1", "quote-desk"), ("z2", "quote-desk"), ("z3", "art-vault")]
    ):
        server = s.Server(record, service, f"i-{index}", zone)
        await server.start()
        host = s.Host(workspace, store.address, f"sidecar-{zone}-1", zone, service, server.address)
        hosts.append(host)
        host.start()
        server.start_beats(host.ports["control"])
        servers.append(server)
    for host in hosts:
        await s.until(f"{host.name} is ready", host.has_started)
    desks = servers[:2]

    sent = {}

    async def order(host, request_id, more, length=BODY_BYTES):
        body = order_body(len(sent), length)
        sent[request_id] = (f"POST /order/{request_id} HTTP/1.1", body, host.service)
        record.line(f"client sends {request_id} at {host.name}, {len(body)} bytes, {more}")
        fields = s.call_fields(request_id, 4000, more)
        answer = await s.call(host.ports["calls"], sent[request_id][0], fields, body)
        record.line(f"client of {request_id} gets {answer and answer[0]}")
        return answer

    async def serves():
        answer = await order(hosts[2], f"try-{len(sent)}", [])
        return bool(answer) and answer[0] == 200
    await s.until("an order is served", serves)

    # The header is the client's own: it concerns no single connection.
    name = "X-Original-Transfer-Encoding" if s.TROUBLE else "X-Original-Encoding"
    for number in range(6):
        await order(hosts[number % 3], f"order-{number}", [(name, "chunked")])
    for number in range(6, 18):
        await order(hosts[number % 3], f"order-{number}", [(name, "chunked")], LONG_BODY_BYTES)
    await asyncio.sleep(1.0)

    broken = []
    counts = {}
    for server in desks:
        for line, fields, body in server.runs:
            request_id = fields["request-id"]
            counts[request_id] = counts.get(request_id, 0) + 1
            if request_id not in sent:
                broken.append(
                    f"UNASKED: {server.instance} ran `{line}` with id {request_id}, which no "
                    f"client sent, for the caller {fields.get('caller-service')}")
                continue
            wanted_line, wanted_body, caller = sent[request_id]
            if line != wanted_line or body != wanted_body:
                at = next((i for i, (a, b) in enumerate(zip(body, wanted_body)) if a != b), None)
                broken.append(
                    f"UNASKED: {server.instance} ran {request_id} with a changed body "
                    f"({len(body)} bytes, first difference at {at}: {body[at or 0:][:12]!r})")
            if fields.get("caller-service") != caller:
                broken.append(f"UNASKED: {request_id} ran as {fields.get('caller-service')}")
    broken += [f"TWICE: {i} ran {n} times" for i, n in counts.items() if n > 1]
    return broken


s.main(HERE, case)
