"""A small HTTP/1.1 reader and writer on asyncio streams."""

import asyncio
import json


class Message:
    """A request or a response with its body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader, is_response=False, head_only=False):
    """Returns nothing if the connection ends before a message begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers, b"")
    if head_only:
        return message
    if message.header("Transfer-Encoding").lower() == "chunked":
        message.body = await read_chunked(reader)
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    elif is_response:
        message.body = await reader.read(-1)
    return message


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Reason"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    return response_bytes(
        status, [("Content-Type", "application/json")], json.dumps(value).encode()
    )


async def call(host, port, method, target, headers=(), body=b"", timeout=5.0):
    """One exchange on a connection of its own."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                request_bytes(method, target, [("Host", f"{host}:{port}"), *headers], body)
            )
            await writer.drain()
            return await read_message(reader, is_response=True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
