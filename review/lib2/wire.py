"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""
import asyncio
import json


async def read_message(reader):
    """Reads one request or response; returns (first line, headers, body), or None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode().strip(), headers, body


def response(status, body):
    payload = b"" if body is None else json.dumps(body).encode()
    head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n")
    return head.encode() + payload


async def serve(host, port, handle):
    """Serves handle(method, path, query, headers, body), which returns (status, body) or None for silence."""
    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await handle(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                writer.write(response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(on_connection, host, port, backlog=256)


async def call(address, method, path, body=None, timeout=2.0):
    """Sends one request on a new connection; returns (status, body)."""
    host, _, port = address.rpartition(":")
    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(payload)}\r\n\r\n"
                          ).encode() + payload)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)
