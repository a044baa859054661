"""Runners name a very large Server-Limit in their answers for three seconds. Their sidecars count the
permits that are due one by one, and never hand the processor back. Weights that are named later are
never loaded, and once their bound has passed no request of the service is served."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
import models
import standin
from standin import call, host

LIMIT = "50" if os.environ.get("TROUBLE") == "0" else "1000000000"
GATEWAYS = [1, 2]
RUNNERS = [21, 22, 23]
# Seconds from the start of the traffic.
NEED_AT, NEED_S, NAME_2, WATCH_FROM, END = 4.0, 3.0, 12.0, 12.0, 42.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def main(record):
    store = await standin.Store().listen((host(200), 8007))
    asyncio.ensure_future(store.lapse_silent())
    origin = await models.Origin("m").listen((host(201), 8006))
    await store.put_json("keyed.op", "config", standin.config(1, [
        standin.route("utkast", "utkast.example", "modellpool", "streaming", 6000, 400)],
        [standin.model_service("modellpool", "m", models.LAYERS, models.PIECES,
                               models.PIECE_BYTES),
         {"Name": "kundeportal", "Origin": "%s:%d" % origin.address, "Zone": "a",
          "LinkMbps": 7.3, "MaxConns": 48}]))
    await store.put_json("keyed.op", "version/m", {"Model": "m", "Version": 1})
    runners = []
    for machine in RUNNERS:
        runner = models.ModelRunner(f"i-llm-{machine}", "modellpool", "a", "m", record)
        await runner.listen((host(machine), standin.RUNNER_PORT))
        asyncio.ensure_future(runner.beat(store))
        runners.append(runner)
    programs = standin.Programs(store.address, record)

    async def measure():
        for machine in RUNNERS:
            programs.start("sidecar", machine, service="modellpool")
        for machine in GATEWAYS:
            programs.start("gateway", machine, seeds=GATEWAYS)
        for machine in GATEWAYS:
            await standin.until("a gateway is ready", lambda m=machine: standin.is_ready(m))

            async def reported(m=machine):
                return await standin.metric(m, "holdpost_targets_reported") == len(RUNNERS)
            await standin.until("all sidecars have reported", reported)
        began = record.now()
        results = []  # (sent, status)
        silent = {machine: 0.0 for machine in RUNNERS}  # seconds without an answer at a stretch
        longest = dict(silent)

        async def at(seconds):
            await asyncio.sleep(max(began + seconds - record.now(), 0))

        async def ask(count):
            sent = record.now() - began
            got = await call((host(GATEWAYS[count % len(GATEWAYS)]), standin.CALLERS_PORT), "POST",
                             f"/utkast/{count}", {
                "Host": "utkast.example", "X-Request-Id": f"r-{count}", "X-Deadline-Ms": "6000",
                "X-Model": "m", "X-Token-Counts": "600,40",
                "X-Prompt-Prefix": f"aa:40,{count:x}:560", "Authorization": "Bearer key-1"},
                f"draft {count}".encode(), timeout=8)
            results.append((sent, got.status))
            record.note(f"r-{count}, sent at {sent:.3f}: {got.status} "
                        f"{got.fields.get('holdpost-error', got.error)}")

        async def traffic():
            count = 0
            while record.now() - began < END:
                asyncio.ensure_future(ask(count))
                count += 1
                await asyncio.sleep(0.1)

        async def events():
            await at(NEED_AT)
            record.note(f"the runners name Server-Limit: {LIMIT}")
            for runner in runners:
                runner.answer_fields = {"Server-Limit": LIMIT}
            await at(NEED_AT + NEED_S)
            record.note("the runners name no limit any more")
            for runner in runners:
                runner.answer_fields = {}
            await at(NAME_2)
            origin.newest = 2
            record.note("version 2 is named")
            await store.put_json("keyed.op", "version/m", {"Model": "m", "Version": 2})

        async def watch(machine):
            """Fetches the metrics that the deploy file names, each second."""
            process = programs.processes[f"sidecar-{machine}"]
            await at(WATCH_FROM)
            since, used = record.now(), processor_seconds(process)
            while record.now() - began < END:
                asked = record.now()
                got = await call((host(machine), standin.ADMIN_PORT), "GET", "/metrics",
                                 {"Host": "m"}, timeout=1)
                await asyncio.sleep(max(asked + 1 - record.now(), 0))
                share = (processor_seconds(process) - used) / (record.now() - since)
                since, used = record.now(), processor_seconds(process)
                record.note(f"sidecar-{machine}: metrics {got.status or 'none'}, {share:.2f} of a "
                            f"processor, runs: {process.poll() is None}")
                hangs = got.status == 0 and share > 0.8
                silent[machine] = silent[machine] + since - asked if hangs else 0.0
                longest[machine] = max(longest[machine], silent[machine])

        await asyncio.gather(traffic(), events(), *(watch(machine) for machine in RUNNERS))
        await asyncio.sleep(7)
        early = [r for r in results if r[0] < NEED_AT]
        late = [r for r in results if r[0] > NAME_2 + standin.VERSION_MS / 1000]
        record.note(f"served before: {sum(r[1] == 200 for r in early)} of {len(early)}; after the "
                    f"bound of version 2: {sum(r[1] == 200 for r in late)} of {len(late)}")
        record.note(f"runners hold versions {[r.version for r in runners]}; the longest time in "
                    f"which a sidecar took the processor and answered nothing: {longest}")
        if any(r[1] != 200 for r in early):
            raise standin.CannotRun("not all is served before")
        return max(longest.values()) >= 20

    try:
        return await measure()
    finally:
        programs.end_all()


standin.run_case(main, FOLDER)
