"""A kept channel of a requester to an entry."""

import socket

import rig as stand_ins


class Channel:
    """A kept channel of a requester to the entry."""

    def __init__(self, rig, entry):
        self.rig, self.entry, self.socket, self.stream, self.used = rig, entry, None, None, 0

    def open(self):
        self.socket = socket.create_connection((self.entry.ip, stand_ins.FRONT), timeout=1.0)
        self.socket.settimeout(16.0)
        self.stream, self.used = self.socket.makefile("rb"), 0

    def close(self):
        if self.socket is not None:
            self.stream.close()
            self.socket.close()
            self.socket = None

    def exchange(self, path, request_id, headers, budget_ms):
        """The status and whether the answer is complete; (None, False) without an answer."""
        if self.socket is None:
            self.open()
        lines = ["POST %s HTTP/1.1" % path, "Host: " + stand_ins.HOST, "Request-Id: " + request_id,
                 "Deadline-Ms: %d" % budget_ms, "Authorization: Token " + stand_ins.KEY]
        lines += headers + ["Content-Length: 600"]
        status, complete = None, False
        try:
            self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * 600)
            head = stand_ins.read_head(self.stream)
            if head is not None:
                status = int(head[0].split(" ")[1])
                complete = self.read_body(head[1])
        except (OSError, ValueError):
            pass
        self.used += 1
        if not complete or (head and head[1].get("connection") == "close"):
            self.close()
        return status, complete

    def read_body(self, headers):
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", "0"))
            return len(self.stream.read(length)) == length
        while True:
            size = int(self.stream.readline().strip() or b"", 16)
            if len(self.stream.read(size + 2)) != size + 2:
                return False
            if size == 0:
                return True
