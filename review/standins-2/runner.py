"""Stand-in of a runner: one process, which serves requests and writes its entry to the store.

Its lines on standard output tell what it ran, as JSON: `begin`, `sent` (pieces written) and `end`.
SIGTERM makes it leave as PROTOCOL.md tells: it says so in the store and in all its answers, serves for
`drain_s` and a little longer, and exits. SIGKILL is a crash.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time

C = json.loads(sys.argv[1])
ACTIVE = 0
SEQUENCE = 0
LEAVING = False
BORN = int(time.time() * 1000)


def log(**row):
    row["at"] = round(time.monotonic(), 4)
    row["runner"] = C["id"]
    print(json.dumps(row), flush=True)


def plain_body(attempt):
    """The whole answer to a request: everyone can work it out from its id."""
    seed = hashlib.sha256(attempt.encode()).hexdigest()
    return (seed * 13)[:800].encode()


def event(number, attempt):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


async def post_beat(**data):
    host, port = C["store"]
    reader, writer = await asyncio.open_connection(host, port)
    body = json.dumps(data).encode()
    writer.write(f"POST /standin/beat HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()
    await reader.readline()
    writer.close()


async def beat_once():
    global SEQUENCE
    SEQUENCE += 1
    entry = {"service": C["service"], "address": f"{C['address'][0]}:{C['address'][1]}", "zone": C["zone"],
             "version": C.get("version", "v1"), "slots": C["slots"],
             "state": "draining" if LEAVING else "ready", "coldRemainingMs": 0, "sequence": SEQUENCE,
             "born": BORN}
    await post_beat(name=C["id"], entry=entry)


async def beats():
    while True:
        try:
            await beat_once()
        except OSError:
            pass
        await asyncio.sleep(C.get("heartbeat_s", 1.2))


async def leave():
    global LEAVING
    LEAVING = True
    log(what="leaving")
    await beat_once()
    # It serves for `drain_s` after the store has accepted that, and a little longer.
    await asyncio.sleep(C["drain_s"] + C.get("longer_s", 0.5))
    await post_beat(name=C["id"], gone=True)
    log(what="exit", active=ACTIVE)
    os._exit(0)


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    headers = {}
    while True:
        header = (await reader.readline()).decode().strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    return method, target, headers, body


def head(status, attempt, extra):
    lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {attempt}", f"Server-Load: {ACTIVE},0,{C['slots']}"]
    if LEAVING:
        lines.append("Server-Leaving: 1")
    return ("\r\n".join(lines + extra) + "\r\n\r\n").encode()


async def serve(reader, writer):
    global ACTIVE
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            method, target, headers, body = request
            attempt = headers.get("attempt-id", "")
            if target == C.get("health", "/health"):
                extra = [f"Instance-Id: {C['id']}", "Content-Length: 0"]
                writer.write(head(503 if LEAVING else 200, attempt, extra))
                continue
            if headers.get("expect-instance", C["id"]) != C["id"]:
                writer.write(head(421, attempt, ["Not-Executed: 1", "Content-Length: 0"]))
                continue
            if ACTIVE >= C["slots"]:
                writer.write(head(503, attempt, ["Not-Executed: 1", "Content-Length: 0"]))
                continue
            ACTIVE += 1
            try:
                is_kept = await run(writer, method, target, headers, body, attempt)
            finally:
                ACTIVE -= 1
            if not is_kept:
                break
    except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
        pass
    finally:
        writer.close()


async def run(writer, method, target, headers, body, attempt):
    """Runs a request. Unless `framed`, the answer has no length and ends with its channel, as the pages
    allow. Returns whether the channel is kept."""
    log(what="begin", id=attempt, method=method, target=target, tenant=headers.get("tenant"),
        after=headers.get("last-event-id"))
    extra = [f"Server-Seal: {C['id']}.{attempt}", "Connection: close"]
    if int(hashlib.sha256(attempt.encode()).hexdigest(), 16) % 1000 < 1000 * C.get("spoil", 0):
        # It sends bytes that are no answer to this request, which asked for no other protocol.
        await asyncio.sleep(C["first_s"])
        writer.write(head("101", attempt, [extra[0], "Connection: Upgrade", "Upgrade: x"]) + b"\x00" * 20)
        await writer.drain()
        log(what="spoiled", id=attempt)
        return True
    if "model" in headers:
        await asyncio.sleep(C["first_s"])
        parts = [entry.split(":")[0] for entry in headers.get("prompt-prefix", "").split(",")]
        if C.get("deadly") in parts[:-1]:
            # This part of a prompt crashes each runner that begins to write an answer on it.
            log(what="crash", id=attempt)
            os.kill(os.getpid(), signal.SIGKILL)
        first = int(headers.get("last-event-id") or 0) + 1
        if C.get("framed"):
            extra = [extra[0], "Transfer-Encoding: chunked"]
        frame = (lambda data: b"%x\r\n%s\r\n" % (len(data), data)) if C.get("framed") else (lambda data: data)
        writer.write(head(200, attempt, ["Content-Type: text/event-stream", "Weight-Versions: 1"] + extra))
        # An event holds 5 tokens; the client names the most tokens that it wants.
        last = int(headers["token-usage"].split(",")[1]) // 5
        for number in range(first, last + 1):
            if number > first:
                await asyncio.sleep(C["event_s"])
            writer.write(frame(event(number, attempt)))
            await writer.drain()
            log(what="sent", id=attempt, number=number)
        if C.get("framed"):
            writer.write(b"0\r\n\r\n")
    else:
        await asyncio.sleep(C["first_s"])
        whole = plain_body(attempt)
        if C.get("framed"):
            extra = [extra[0], f"Content-Length: {len(whole)}"]
        pieces = C.get("pieces", 8)
        size = -(-len(whole) // pieces)
        writer.write(head(200, attempt, extra))
        for number in range(pieces):
            if number:
                await asyncio.sleep(C["piece_s"])
            writer.write(whole[number * size:(number + 1) * size])
            await writer.drain()
            log(what="sent", id=attempt, number=number + 1)
    log(what="end", id=attempt)
    return bool(C.get("framed"))


async def main():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(leave()))
    await asyncio.start_server(serve, *C["address"])
    log(what="start")
    await beats()


asyncio.run(main())
