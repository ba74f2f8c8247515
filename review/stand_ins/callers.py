"""Callers: one thread each, with kept connections to an entry."""

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

    def receive(self, on_bytes=None):
        """Returns the answer, or None if the connection ended without one."""
        head = read_head(self.stream)
        if head is None:
            return None
        status, headers = int(head[0].split(" ")[1]), head[1]
        parts = []
        on_bytes = on_bytes or parts.append
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = self.stream.readline()
                if not size.endswith(b"\n"):
                    return Answer(status, headers, b"".join(parts), closed=True)
                size = int(size.split(b";")[0], 16)
                if size:
                    on_bytes(self.stream.read(size))
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
    """Sends a request to an entry every `gap_s`, each after the answer to the last one.

    It tries a request once more if it may be repeated or was refused, on a new channel and after
    the time that the refusal names, if that is at most a third of the time left.
    """

    def __init__(self, rig, entry, method, path, host, headers=(), gap_s=0.1, deadline_ms=4000,
                 name=""):
        super().__init__(daemon=True)
        self.rig, self.entry, self.method, self.path, self.host = rig, entry, method, path, host
        self.headers, self.gap_s, self.deadline_s, self.prefix = (
            list(headers), gap_s, deadline_ms / 1000, name)
        self.results = []
        self.ended = threading.Event()
        self.channel = None

    def close(self):
        if self.channel:
            self.channel.close()
        self.channel = None

    def attempt(self, time_left):
        """Returns the status, and how long to wait before the next attempt."""
        request = self.prefix + uuid.uuid4().hex[:12]
        status, wait_s = "closed", 0.0
        try:
            self.channel = self.channel or Channel(self.entry)
            head = [("Host", self.host), ("Request-Id", request),
                    ("Deadline-Ms", str(int(time_left * 1000)))]
            self.channel.send(self.method, self.path, head + self.headers)
            answer = self.channel.receive()
            if answer is None:
                self.close()
            else:
                status = str(answer.status)
                if answer.closed:
                    status = "closed"
                wait_s = float(answer.headers.get("retry-after", 0.0))
                if answer.closed or answer.headers.get("connection") == "close":
                    self.close()
        except OSError as error:
            status = f"closed ({error})"
            self.close()
        self.rig.record(f"caller at {self.entry} {request}: {status}")
        return status, wait_s

    def run(self):
        while not self.ended.is_set():
            sent = time.monotonic()
            status, wait_s = self.attempt(self.deadline_s)
            time_left = sent + self.deadline_s - time.monotonic()
            if status != "200" and wait_s <= time_left / 3:
                self.close()
                self.ended.wait(wait_s)
                time_left = sent + self.deadline_s - time.monotonic()
                if time_left > 0.1:
                    status, _ = self.attempt(time_left)
            self.results.append((sent, status))
            self.ended.wait(self.gap_s)
