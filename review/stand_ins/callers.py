"""Callers: one thread each, with one kept connection to an entry."""

import socket
import threading
import time
import uuid

from rig import FRONT_PORT, read_head


class Answer:
    def __init__(self, status, headers, body, closed=False):
        self.status, self.headers, self.body, self.closed = status, headers, body, closed


class Channel:
    """A kept connection to an entry."""

    def __init__(self, address, timeout_s=6.0):
        self.socket = socket.create_connection((address, FRONT_PORT), timeout=timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self):
        """Returns the answer, or None if the connection ended without one."""
        head = read_head(self.stream)
        if head is None:
            return None
        status, headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in headers.get("transfer-encoding", ""):
            parts = []
            while True:
                size = self.stream.readline()
                if not size.endswith(b"\n"):
                    return Answer(status, headers, b"".join(parts), closed=True)
                size = int(size.split(b";")[0], 16)
                parts.append(self.stream.read(size))
                self.stream.readline()
                if size == 0:
                    return Answer(status, headers, b"".join(parts))
        length = int(headers.get("content-length", 0))
        body = self.stream.read(length)
        return Answer(status, headers, body, closed=len(body) < length)

    def close(self):
        self.stream.close()
        self.socket.close()


class Caller(threading.Thread):
    """Sends a request to an entry every `gap_s`, each after the answer to the last one."""

    def __init__(self, rig, entry, method, path, host, headers=(), gap_s=0.1, name=""):
        super().__init__(daemon=True)
        self.rig, self.entry, self.method, self.path, self.host = rig, entry, method, path, host
        self.headers, self.gap_s, self.prefix = list(headers), gap_s, name
        self.results = []
        self.ended = threading.Event()

    def run(self):
        channel = None
        while not self.ended.is_set():
            request = self.prefix + uuid.uuid4().hex[:12]
            sent = time.monotonic()
            status = "closed"
            try:
                channel = channel or Channel(self.entry)
                head = [("Host", self.host), ("Request-Id", request), ("Deadline-Ms", "4000")]
                channel.send(self.method, self.path, head + self.headers)
                answer = channel.receive()
                if answer is None:
                    channel = None
                else:
                    status = str(answer.status)
                    if answer.closed or answer.headers.get("connection") == "close":
                        channel.close()
                        channel = None
            except OSError as error:
                status, channel = f"closed ({error})", None
            self.results.append((request, sent, status))
            self.rig.record(f"caller at {self.entry} {request}: {status}")
            self.ended.wait(self.gap_s)
