# SPDX-License-Identifier: Apache-2.0
"""Starts one hall's worth of processes on loopback, for first runs and benchmarks.

Ports come from the kernel: every process prints the addresses that it listens on.
"""

import json
import os
import select
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

LISTEN = "127.0.0.1:0"
START_SECONDS = 30


class HallError(Exception):
    """A process did not start, or a step did not come true in time."""


def http(method, address, path, body=None, headers=None, timeout=30):
    """One HTTP call; returns (status, headers, text)."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


def get_json(address, path):
    return json.loads(http("GET", address, path)[2])


class Process:
    """A daemon or stand-in that has said where it listens."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        with open(log_path, "ab") as log:
            self.popen = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=log)
        self.addresses = self._read_addresses()

    def _read_addresses(self):
        ready, _, _ = select.select([self.popen.stdout], [], [], START_SECONDS)
        line = self.popen.stdout.readline().decode() if ready else ""
        if not line.startswith("listening"):
            raise HallError(f"{self.name} did not start: {line!r}")
        pairs = [word.split("=", 1) for word in line.split()[1:]]
        self.all_addresses = [value for key, value in pairs if key == "address"]
        return dict(pairs)

    def stop(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()

    def wait(self, seconds):
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class Hall:
    """The processes of a run, in a folder of their own that goes away with them."""

    def __init__(self, build_dir, log_level="info"):
        self.bin = os.path.join(build_dir, "bin")
        self.log_level = log_level
        self.dir = tempfile.mkdtemp(prefix="holdpost-")
        self.weights_dir = self.path("weights")
        os.mkdir(self.weights_dir)
        self.processes = []
        self.platform = None
        self.agents = {}
        self.entries = {}

    def path(self, name):
        return os.path.join(self.dir, name)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        for process in self.processes:
            process.stop()
        for process in self.processes:
            process.wait(5)
        if kind is None:
            shutil.rmtree(self.dir)
        else:
            print(f"The logs are in {self.dir}.")

    def start(self, name, arguments, config):
        path = self.path(name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)  # JSON is YAML
        program = os.path.join(self.bin, arguments[0])
        command = [program, *arguments[1:], "--config", path, "--log-level", self.log_level]
        process = Process(name, command, self.path(name + ".log"))
        self.processes.append(process)
        return process

    def start_platform(self, origin_bytes_per_second=0):
        config = {
            "listen": LISTEN,
            "weights_dir": self.weights_dir,
            "origin_bytes_per_second": origin_bytes_per_second,
        }
        self.platform = self.start("platform", ["holdpost-standin", "platform"], config)
        return self.platform

    @property
    def platform_address(self):
        return self.platform.addresses["address"]

    def list_instance(self, name, hall, role, address, pool="", state="live"):
        entry = {"hall": hall, "role": role, "address": address, "pool": pool, "state": state}
        http("PUT", self.platform_address, f"/instances/{name}", json.dumps(entry))

    def start_agent(self, name, hall, pool, target):
        config = {
            "instance": name,
            "hall": hall,
            "listen": LISTEN,
            "admin_listen": LISTEN,
            "platform": [self.platform_address],
            "pool": pool,
            "target": target,
            "target_name": "target-" + name,
        }
        agent = self.start(name, ["holdpost-agent"], config)
        self.agents[name] = agent
        self.list_instance(name, hall, "agent", agent.addresses["rpc"], pool)
        return agent

    def start_entry(self, name, hall):
        config = {
            "instance": name,
            "hall": hall,
            "listen": LISTEN,
            "admin_listen": LISTEN,
            "caller_listen": LISTEN,
            "platform": [self.platform_address],
        }
        entry = self.start(name, ["holdpost-entry"], config)
        self.entries[name] = entry
        self.list_instance(name, hall, "entry", entry.addresses["rpc"])
        return entry

    def tool(self, *arguments):
        """Runs the operators' command; returns (exit code, standard output, standard error)."""
        command = [os.path.join(self.bin, "holdpost"), *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.returncode, done.stdout.strip(), done.stderr.strip()

    def make_weights(self, name, size, seed, piece_bytes):
        """Makes a file of weights from a seed; returns its version."""
        path = self.path(name)
        with open(path, "wb") as file:
            file.write(random_bytes(size, seed))
        code, out, err = self.tool(
            "manifest", path, "--name", name, "--piece-bytes", str(piece_bytes),
            "--out", self.weights_dir,
        )
        os.remove(path)
        if code != 0:
            raise HallError(f"holdpost manifest failed: {err}")
        return out

    def write_tree(self, nodes):
        path = self.path("tree.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"nodes": nodes}, file, indent=1)
        return path

    def publish(self, nodes):
        """Publishes a tree; returns the offset at which it was accepted."""
        path = self.write_tree(nodes)
        code, out, err = self.tool("publish", path, "--platform", self.platform_address, "--json")
        if code != 0:
            raise HallError(f"holdpost publish failed: {err}")
        return json.loads(out)["accepted"]

    def admin_addresses(self):
        everyone = list(self.agents.values()) + list(self.entries.values())
        return [process.addresses["admin"] for process in everyone]

    def watch(self, processes, *arguments, timeout=120):
        nodes = []
        for process in processes:
            nodes += ["--node", process.addresses["admin"]]
        code, out, _ = self.tool("watch", *nodes, *arguments, "--timeout", str(timeout), "--json")
        if code != 0:
            raise HallError(f"watch {' '.join(arguments)}: {out}")
        return json.loads(out)["seconds"]


def random_bytes(size, seed):
    """Bytes that do not compress, the same for one seed."""
    import random

    return random.Random(seed).randbytes(size)


def wait_until(what, condition, seconds=60):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise HallError(f"did not come true: {what}")
        time.sleep(0.02)
