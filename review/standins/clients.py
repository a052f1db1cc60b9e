"""Stand-ins for clients on a machine."""

import asyncio
import random
import socket
import time

from . import http1


def new_id():
    return f"{random.getrandbits(64):016x}"


async def send(record, machine, method, host, target, deadline_ms, body=b"", headers=(),
               chunked=False):
    """One client attempt on a connection of its own. Returns the response, or
    nothing if there was no complete one."""
    request_id = new_id()
    all_headers = [
        ("Host", host),
        ("X-Apricotstile-Request-Attempt-Id", request_id),
        ("X-Apricotstile-Deadline-Remaining", str(deadline_ms)),
        *headers,
    ]
    record.add("sent", id=request_id, machine=machine.name, method=method, target=target,
               bytes=len(body))

    async def exchange():
        reader, writer = await asyncio.open_connection(
            machine.ip, machine.ports["outbound"], limit=1 << 20
        )
        try:
            writer.write(http1.request_bytes(method, target, all_headers, body))
            await writer.drain()
            return await http1.read_message(reader, is_response=True)
        finally:
            writer.close()

    try:
        answer = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.2)
        outcome = str(answer.status) if answer else "closed"
    except asyncio.TimeoutError:
        answer, outcome = None, "deadline"
    except (OSError, asyncio.IncompleteReadError):
        answer, outcome = None, "closed"
    record.add("answered", id=request_id, outcome=outcome,
               signature=answer.header("X-Apricotstile-Response-Signature") if answer else "-")
    return request_id, outcome, answer


def slow_socket(receive_bytes=32768, segment_bytes=1460):
    """A socket with a small window and the segments of an Ethernet link."""
    result = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    result.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    result.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    result.setblocking(False)
    return result


async def download_slowly(record, machine, host, target, deadline_ms, bytes_per_s):
    """Reads its answer at no more than `bytes_per_s`. Returns the id, the
    outcome and how many bytes of the body arrived."""
    loop = asyncio.get_running_loop()
    request_id = new_id()
    record.add("sent", id=request_id, machine=machine.name, method="GET", target=target, bytes=0)
    start = time.monotonic()
    end = start + deadline_ms / 1000
    sock = slow_socket()
    received = b""
    length = None
    outcome = "closed"
    first_byte = None
    try:
        await loop.sock_connect(sock, (machine.ip, machine.ports["outbound"]))
        await loop.sock_sendall(sock, http1.request_bytes("GET", target, [
            ("Host", host),
            ("X-Apricotstile-Request-Attempt-Id", request_id),
            ("X-Apricotstile-Deadline-Remaining", str(deadline_ms)),
        ]))
        step = max(1, bytes_per_s // 50)
        while True:
            left = end - time.monotonic()
            if left <= 0:
                outcome = "deadline"
                break
            data = await asyncio.wait_for(loop.sock_recv(sock, step), left)
            if not data:
                break
            first_byte = first_byte or time.monotonic()
            received += data
            if length is None and b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                status = lines[0].split(" ")[1]
                length = next(
                    int(l.split(":")[1]) for l in lines if l.lower().startswith("content-length:")
                )
            if length is not None and len(received) >= length:
                outcome = status
                break
            await asyncio.sleep(len(data) / bytes_per_s)
    except asyncio.TimeoutError:
        outcome = "deadline"
    except OSError as error:
        outcome = f"closed:{error.strerror}"
    finally:
        sock.close()
    took = time.monotonic() - start
    record.add("answered", id=request_id, outcome=outcome, body_bytes=len(received),
               of=length if length is not None else "-", after_s=f"{took:.3f}")
    return request_id, outcome, len(received), length, took
