"""Starts plantainhold-jobsd as the deploy file does, and plays the platform, which keeps it running and within its memory."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "plantainhold-jobsd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml")
RESTART_S = 1.0
WATCH_S = 0.02


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        it = socket.socket()
        it.bind((host, 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.0}}."""
    def value(match):
        it = fields
        for name in match.group(1).split("."):
            it = it[int(name)] if isinstance(it, list) else it.get(name, "")
        return str(it)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


class Instance:
    """One entry instance. The platform starts it again after it has ended, and kills it over its memory limit."""

    def __init__(self, number, folder, store_address, record, memory_mb):
        self.name = f"entry-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.folder = folder
        self.record = record
        self.memory_mb = memory_mb
        self.process = None
        self.is_wanted = False
        self.ends = []
        self.peak_mb = 0
        callers, readiness, metrics, peers = free_ports(self.ip, 4)
        self.address = f"{self.ip}:{callers}"
        fields = {
            "node_name": self.name, "zone": f"z{number % 3}", "ip": self.ip, "port_range": [metrics, peers],
            "listen": {"frontend": self.address, "readiness": f"{self.ip}:{readiness}"},
            "limits": {"cpu_share": 1, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100},
            "bounds": {"grace_s": 6, "hold_max_ms": 6000, "drain_ms": 2000, "stop_timeout_ms": 900, "interference_ms": 4000, "status_s": 120, "remote_factor": 1.5},
            "platform": {"address": store_address, "parts": 8, "record_bytes": 262144, "call_bytes": 2097152, "ttl_min_ms": 1000},
            "cloud_api": {},
        }
        self.settings = os.path.join(folder, self.name + ".toml")
        with open(TEMPLATE) as template, open(self.settings, "w") as out:
            out.write(render(template.read(), fields))

    def start(self):
        self.is_wanted = True
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PLANTAINHOLD_BOOT"] = self.settings
        with open(os.path.join(self.folder, self.name + ".out"), "ab") as out:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        self.record(f"{self.name} started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as statm:
                return int(statm.read().split()[1]) * os.sysconf("SC_PAGESIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0

    def processor_s(self):
        try:
            with open(f"/proc/{self.process.pid}/stat") as stat:
                fields = stat.read().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return 0

    async def watch(self):
        """Plays the platform for this process until it is no longer wanted."""
        while self.is_wanted:
            used = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.record(f"{self.name} uses {used:.0f} MB of {self.memory_mb} MB and is killed")
                self.process.kill()
                self.process.wait()
                self.ends.append("memory")
            elif self.process.poll() is not None:
                self.record(f"{self.name} ended with {self.process.returncode}")
                self.ends.append(f"exit {self.process.returncode}")
            if self.process.poll() is not None:
                await asyncio.sleep(RESTART_S)
                if self.is_wanted:
                    self.start()
            await asyncio.sleep(WATCH_S)

    def end(self):
        self.is_wanted = False
        if self.process:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Record:
    """Writes the lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.started = time.monotonic()
        self.lines = []

    def __call__(self, text):
        self.lines.append(text)
        self.out.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.out.flush()


def configuration(version, routes, service, enforces_capacity=True):
    return json.dumps({
        "version": version,
        "routes": [{
            "name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
            "target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": 4, "deadline_factor": 2.0,
        } for name, host, prefix in routes],
        "services": [{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "enforces_capacity": enforces_capacity, "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }).encode()
