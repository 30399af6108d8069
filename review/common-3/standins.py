"""Stand-ins for the second review: discovery, endpoints, links and clients, over loopback sockets.

Everything runs in the process of the case's script, apart from the sidecar itself, which is started with
the `run` command of deploy/balancer.toml. Standard library only.
"""

import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
# A case has 120 seconds; it ends itself before that.
LONGEST_RUN = 110


class CannotRun(Exception):
    """The case could not run (exit status 2)."""


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:9.4f} {text}\n")
            self.file.flush()


def free_address(host="127.0.0.1"):
    """An address with a free port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return "%s:%d" % probe.getsockname()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def listen(host="127.0.0.1", backlog=256, prepare=None):
    """A listening socket and its address."""
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if prepare:
        prepare(server)
    server.bind((host, 0))
    server.listen(backlog)
    return server, "%s:%d" % server.getsockname()


def spawn(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def reset(connection):
    """Closes a connection by a reset, as a process that dies does."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    connection.close()


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection, chunk=65536):
        self.connection = connection
        self.buffer = b""
        self.chunk = chunk

    def fill(self):
        data = self.connection.recv(self.chunk)
        self.buffer += data
        return bool(data)

    def line(self):
        while b"\n" not in self.buffer:
            if not self.fill():
                return None
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r")

    def head(self):
        """The first line and the headers, or None at the end of the connection."""
        first = self.line()
        if first is None:
            return None
        headers = {}
        while True:
            line = self.line()
            if line is None:
                return None
            if not line:
                return first.decode(), headers
            name, _, value = line.decode().partition(":")
            headers[name.strip().lower()] = value.strip()

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def body(self, headers, to_end=False):
        """The whole body, or None if the connection ended before it."""
        if "chunked" in headers.get("transfer-encoding", "").lower():
            parts = []
            while True:
                size = self.line()
                if size is None:
                    return None
                size = int(size.split(b";")[0], 16)
                if size == 0:
                    while True:
                        trailer = self.line()
                        if trailer is None:
                            return None
                        if not trailer:
                            return b"".join(parts)
                data = self.exactly(size)
                if data is None or self.exactly(2) is None:
                    return None
                parts.append(data)
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        if to_end:
            while self.fill():
                pass
            data, self.buffer = self.buffer, b""
            return data
        return b""


class Discovery:
    """Discovery by the protocol page: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.targets = {}
        self.changes = []
        self.changed = threading.Condition()
        self.server, self.address = listen()
        spawn(self.accept)

    def set(self, *targets):
        """Adds or replaces entries."""
        with self.changed:
            self.rev += 1
            for target in targets:
                self.targets[target["uid"]] = target
                self.changes.append((self.rev, target))
            self.changed.notify_all()
        self.record("discovery rev %d %s" % (self.rev, json.dumps(targets)))

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def accept(self):
        while True:
            connection, _ = self.server.accept()
            spawn(self.serve, connection)

    def serve(self, connection):
        try:
            reader = Reader(connection)
            while True:
                head = reader.head()
                if head is None:
                    return
                target = head[0].split()[1]
                if "watch=1" in target:
                    return self.watch(connection, int(re.search(r"after=(\d+)", target).group(1)))
                with self.changed:
                    body = json.dumps(self.whole()).encode()
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
        except OSError:
            pass
        finally:
            connection.close()

    def watch(self, connection, after):
        def send(line):
            connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))

        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.changed:
            seen, line = self.rev, json.dumps(self.whole()).encode() + b"\n"
        send(line)
        while True:
            with self.changed:
                if self.rev == seen:
                    self.changed.wait(2.0)
                if self.rev == seen:
                    line = b"\n"
                else:
                    news = [target for rev, target in self.changes if rev > seen]
                    seen = self.rev
                    line = json.dumps({"rev": seen, "all": False, "targets": news}).encode() + b"\n"
            send(line)


def target(uid, address, zone="hall-nasr", state="up", boot_ms=0):
    return {"uid": uid, "endpoint": address, "az": zone, "model": "front-fast", "pod_group": 1,
            "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}


class Endpoint:
    """A server of the tier. `serve(request)` is called for each request whose last byte has come.

    `serve` gets a dict with connection, reader, method, path, headers, body, and the time of the last byte.
    It writes the answer itself, and returns False to end the connection.
    """

    def __init__(self, name, record, serve, prepare=None, read_body=None):
        self.name, self.record, self.handler, self.read_body = name, record, serve, read_body
        self.server, self.address = listen(prepare=prepare)
        spawn(self.accept)

    def accept(self):
        while True:
            connection, _ = self.server.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self.serve, connection)

    def serve(self, connection):
        try:
            reader = Reader(connection)
            while True:
                head = reader.head()
                if head is None:
                    return
                (method, path, _), headers = head[0].split(" ", 2), head[1]
                self.record("%s: head of %s %s" % (self.name, headers.get("x-request-id"), path))
                if self.read_body:
                    body = self.read_body(reader, headers)
                else:
                    body = reader.body(headers)
                if body is None:
                    self.record("%s: broke off before the last byte of %s" % (self.name, headers.get("x-request-id")))
                    return
                request = {"connection": connection, "reader": reader, "method": method, "path": path,
                           "headers": headers, "body": body, "at": time.monotonic() - START}
                self.record("%s: last byte of %s, %d bytes" % (self.name, headers.get("x-request-id"), len(body)))
                if self.handler(request) is False:
                    return
        except OSError as error:
            self.record("%s: connection ended: %s" % (self.name, error))
        finally:
            connection.close()


class Link:
    """A network link with a delay in each direction."""

    def __init__(self, to, delay):
        self.to, self.delay = split_address(to), delay
        self.server, self.address = listen()
        spawn(self.accept)

    def accept(self):
        while True:
            near, _ = self.server.accept()
            far = socket.create_connection(self.to)
            for connection in (near, far):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.pipe(near, far)
            self.pipe(far, near)

    def pipe(self, source, sink):
        queue, filled = [], threading.Condition()

        def read():
            while True:
                try:
                    data = source.recv(65536)
                except OSError:
                    data = b""
                with filled:
                    queue.append((time.monotonic() + self.delay, data))
                    filled.notify()
                if not data:
                    return

        def write():
            while True:
                with filled:
                    while not queue:
                        filled.wait()
                    due, data = queue.pop(0)
                wait = due - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                try:
                    if not data:
                        sink.shutdown(socket.SHUT_WR)
                        return
                    sink.sendall(data)
                except OSError:
                    return

        spawn(read)
        spawn(write)


def safe_class(name="proof-view", deadline=3000.0, objective=1200.0):
    return {"name": name, "objectiveMs": objective, "deadlineMs": deadline, "semantics": "safe", "group": "all",
            "repeatWindowMs": 0.0, "lateValue": 0.0, "streamed": False, "worth": 3.0}


def keyed_class(name="job-submit", deadline=4000.0, objective=1500.0, group="zone", window=6000.0):
    return {"name": name, "objectiveMs": objective, "deadlineMs": deadline, "semantics": "keyed", "group": group,
            "repeatWindowMs": window, "lateValue": 0.0, "streamed": False, "worth": 5.0}


def settings(classes, **limits):
    """The settings of a small deployment, with the figures of the wire page's example."""
    return {
        "areas": ["hall-nasr", "hall-maadi", "hall-giza"],
        "balancers": 1,
        "blend": {"whole": 0.5, "worstClass": 0.35, "worstTenant": 0.1, "worstWindow": 0.05},
        "classes": classes,
        "clients": {"marksRetry": True},
        "costs": {"connection": 0.0, "crossZone": 0.09, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.054,
                  "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.05},
        "countedBy": "request",
        "discovery": "subscribe",
        "family": "chain",
        "familyInfo": {"passesDeadline": True},
        "kinds": ["front-fast", "front-mid", "front-slow"],
        "limits": {"cancelling": True, "connectTimeoutMs": 120.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000,
                   "idleCloseMs": 30000.0, "maxAttempts": 3, "maxRetryAfterMs": 2000.0, "openCap": 20000,
                   "peers": False, "probes": True, "retryAfter": True, "secondCopies": True,
                   "streamsPerConn": 1, **limits},
        "me": 0,
        "myZone": 0,
        "overShareWorth": 0.1,
        "resolutionMs": 5.0,
        "rules": {"askWithinMs": 10000.0, "coldShare": 0.3, "drainGraceMs": 250.0, "fallMs": 3000.0,
                  "fallMultiple": 4.0, "graceToAnswerMs": 20.0, "warmWithinMs": 9000.0},
        "stage": 0,
        "telemetry": {"fields": [], "via": "off"},
        "tenants": [{"allowancePerS": 1000.0, "name": "delta-press", "portion": 1.0}],
        "tiers": ["order-front", "render-back"],
        "weightKind": "rough",
    }


def deploy_command(name):
    """A command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s = "([^"]*)"' % name, file.read(), re.M)
    if not found:
        raise CannotRun("the deploy file has no command " + name)
    return found.group(1)


class Sidecar:
    """One sidecar, started as the deployment page says."""

    def __init__(self, record, discovery, settings, memory_mb=192, sockets=1024):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.address, self.operator = free_address(), free_address()
        config = {"name": "n0", "listen": self.address, "discovery": discovery.address,
                  "operator": self.operator, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": discovery.whole(), "settings": settings}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        state = os.path.join(self.folder, "tmp")
        os.mkdir(state)
        environment = dict(os.environ, TMPDIR=state, ROUTER_NAME="n0", ROUTER_LISTEN=self.address,
                           ROUTER_DISCOVERY=discovery.address, ROUTER_CONFIG=path,
                           ROUTER_OPERATOR=self.operator)
        environment.pop("RUST_LOG", None)
        if os.environ.get("SIDECAR_LOG"):
            environment["RUST_LOG"] = os.environ["SIDECAR_LOG"]
        self.log = open(os.path.join(self.folder, "log"), "w", encoding="utf-8")
        command = deploy_command("run")
        binary = command.split()[-1]
        if not os.path.exists(os.path.join(ROOT, binary)):
            raise CannotRun(binary + " is not built")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        start_new_session=True)
        record("sidecar: started, process %d, clients' address %s" % (self.process.pid, self.address))
        self.wait_ready()

    def wait_ready(self):
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("the sidecar has ended: " + self.log_text()[-500:])
            try:
                with Client(self, timeout=1) as client:
                    client.connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    if client.answer()[0] == 200:
                        self.record("sidecar: ready")
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the sidecar was not ready within 15 s")

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8") as file:
            return file.read()

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        self.record("sidecar: " + signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.log.close()
        if os.environ.get("KEEP"):
            shutil.copy(os.path.join(self.folder, "log"), os.environ["KEEP"])
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client's connection. It sends one request at a time."""

    counter = 0
    lock = threading.Lock()

    def __init__(self, sidecar, timeout=30):
        self.connection = socket.create_connection(split_address(sidecar.address), timeout=timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.connection.close()

    @classmethod
    def new_id(cls):
        with cls.lock:
            cls.counter += 1
            return "%016x" % (0x9b1f03aa00000000 + cls.counter)

    @staticmethod
    def head(identity, path, timeout_ms, key=None, length=None):
        """A request's head, in the form of the protocol page."""
        lines = ["%s %s HTTP/1.1" % ("POST" if key else "GET", path), "Host: origin.svc",
                 "X-Request-ID: " + identity, "X-Tenant-Id: delta-press", "X-Timeout: %dm" % timeout_ms]
        if key:
            lines.append("Idempotency-Key: " + key)
        if length is not None:
            lines.append("Content-Length: %d" % length)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def answer(self):
        """The status, headers and body of an answer; the body is None if it is not whole."""
        head = self.reader.head()
        if head is None:
            raise ConnectionError("the connection ended without an answer")
        status = int(head[0].split()[1])
        return status, head[1], self.reader.body(head[1], to_end=True)


def main(folder, case):
    """Runs a case: `case(record, started)` returns the breaks that it found, and passes each sidecar that it
    starts to `started`. Ends the process: 0 if the rule held, 10 if it was broken, 20 if the case could not run.
    """
    record = Record(os.path.join(folder, "record.txt"))
    record("trouble: " + ("yes" if TROUBLE else "no"))
    sidecars = []

    def finish(status):
        for sidecar in sidecars:
            sidecar.end()
        sys.stdout.flush()
        os._exit(status)

    def too_long():
        record("could not run: not over after %d s" % LONGEST_RUN)
        finish(20)

    limit = threading.Timer(LONGEST_RUN, too_long)
    limit.daemon = True
    limit.start()
    try:
        breaks = case(record, sidecars.append)
        for text in breaks:
            record("BROKEN: " + text)
            print("broken:", text)
        result = "the rule was broken" if breaks else "the rule held"
        record("result: " + result)
        print(result)
        status = 10 if breaks else 0
    except Exception as problem:  # no verdict on the rule
        record("could not run: %r" % problem)
        print("could not run: %r" % problem)
        status = 20
    finish(status)
