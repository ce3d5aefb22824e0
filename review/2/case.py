"""The part of an answer that came before an upstream fell silent is passed on as the whole."""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.fleet import Fleet, Record, route  # noqa: E402
from standin.platform import Upstream  # noqa: E402

#: The crashes: the upstream is silent and down for so long, and comes back as a new one.
CRASHES = 26
CRASH_EVERY_SECONDS = 3.5
DOWN_SECONDS = 0.5

#: The dose of answers without a length: the share of the upstreams, the share of the answers
#: of each of them, and for how long at a time.
SHARE = 0.5
ANSWERS = 0.05
GARBLE_SECONDS = 3.0

BOOKINGS_PER_SECOND = 36.5
OTHERS_PER_SECOND = 10.0

SERVICES = ("slots", "bookings", "courses", "slots", "bookings", "courses", "bookings")
ROUTES = [
    route("/slots/", "slots", "idempotent", "2000ms", "600ms", priority=2),
    route("/book/", "bookings", "non_idempotent", "2500ms", "800ms"),
    route("/courses/", "courses", "idempotent", "5000ms", "1500ms", priority=2),
]
WORK = {"slots": 0.22, "bookings": 0.29, "courses": 0.55}


class Unframed(Upstream):
    """Sends some answers without a length: the first half early, the rest when the work ends.

    Such an answer ends with its connection.  Once the server has crashed it sends nothing more
    on the connections that it had, and doesn't close them.
    """

    unframed = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.silent = asyncio.Event()
        self._dice = random.Random(f"unframed {self.host.number}")

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer one request, unless the server has crashed."""
        if self.silent.is_set():
            await asyncio.Event().wait()
        return await super().handle(method, target, headers, body, reader, writer)

    async def answer(self, writer, headers, status, body, more):
        """Send an answer, unless the server has crashed."""
        if self.silent.is_set():
            await asyncio.Event().wait()
        await super().answer(writer, headers, status, body, more)

    async def _run(self, method, target, headers, body, reader, writer):
        if not self.unframed or self._dice.random() >= ANSWERS:
            return await super()._run(method, target, headers, body, reader, writer)
        request_id = headers["x-request-id"]
        self.record.run(request_id, self, method, target, headers, body)
        whole = self.body_for(request_id)
        self.record.answered(request_id, self, 200, whole)
        more = self.load_headers() | {"X-Server-Seal": self.seal(request_id, whole)}
        half = len(whole) // 2
        writer.write(self.head(headers, 200, more, None) + whole[:half])
        await writer.drain()
        self.record.line(f"{request_id} answer without a length begins, {half} bytes sent")
        if not await self.work(reader, headers):
            return False
        if self.silent.is_set():
            await asyncio.Event().wait()
        writer.write(whole[half:])
        await writer.drain()
        self.record.line(f"{request_id} answer without a length ends with its connection")
        return False


def make(host, instance, service, record):
    """Return the upstream of a host."""
    return Unframed(host, instance, service, record, WORK[service])


def broken(record, reply):
    """Return how the rule MIXED is broken by a reply, empty if it isn't."""
    if not 200 <= reply.status < 300:
        return ""
    made = record.answers.get(reply.request_id, ())
    if "x-server-seal" not in reply.headers:
        return "success without the upstream's X-Server-Seal"
    if (reply.status, reply.body, reply.headers["x-server-seal"]) not in made:
        sizes = ", ".join(str(len(body)) for _, body, _ in made)
        return f"{len(reply.body)} bytes look complete, the upstream's whole body has {sizes}"
    return ""


async def crash(fleet, host):
    """Let the upstream of `host` fall silent, and start another at its address later."""
    former = host.upstream
    former.silent.set()
    fleet.record.line(f"upstream {former.instance} crashes and falls silent")
    fleet.lapse(host, former.instance)
    await asyncio.sleep(DOWN_SECONDS)
    fleet.place(host, host.service)


async def disturb(fleet, dice, trouble):
    """Answer without a length at times, and let one upstream of the bookings crash each time."""
    bookings = [host for host in fleet.hosts if host.service == "bookings"]
    for _ in range(CRASHES):
        chosen = dice.sample(bookings, max(1, int(SHARE * len(bookings))))
        for host in chosen:
            host.upstream.unframed = True
        await asyncio.sleep(GARBLE_SECONDS - 1.0)
        crashing = asyncio.create_task(crash(fleet, chosen[0])) if trouble else None
        await asyncio.sleep(1.0)
        if crashing is not None:
            await crashing
        for host in chosen:
            host.upstream.unframed = False
        await asyncio.sleep(CRASH_EVERY_SECONDS - GARBLE_SECONDS)


async def send(fleet, dice, replies, tasks, rate, prefixes):
    """Send the requests of clients at `rate` until cancelled."""

    async def call(host, prefix):
        method, deadline = prefixes[prefix]
        body = b"x" * 300 if method == "POST" else b""
        replies.append(await fleet.ask(host, method, prefix + "a", body, deadline))

    while True:
        await asyncio.sleep(dice.expovariate(rate))
        prefix = dice.choice(list(prefixes))
        tasks.append(asyncio.create_task(call(dice.choice(fleet.hosts), prefix)))


async def play(record, trouble):
    """Play the case; return the replies that break the rule."""
    replies = []
    tasks = []
    async with Fleet(SERVICES, ROUTES, record, make) as fleet:
        others = {"/slots/": ("GET", 4000), "/courses/": ("GET", 10000)}
        senders = [
            asyncio.create_task(send(fleet, random.Random(seed), replies, tasks, rate, prefixes))
            for seed, rate, prefixes in (
                (1, BOOKINGS_PER_SECOND, {"/book/": ("POST", 5000)}),
                (2, OTHERS_PER_SECOND, others),
            )
        ]
        await disturb(fleet, random.Random(3), trouble)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*tasks)
    served = sum(200 <= reply.status < 300 for reply in replies)
    record.line(f"{len(replies)} requests, {served} with success")
    if served < len(replies) * 0.5:
        raise RuntimeError("the deployment doesn't serve")
    return [(reply, reason) for reply in replies if (reason := broken(record, reply))]


def main():
    """Return the exit status of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    try:
        found = asyncio.run(play(record, trouble))
    except Exception as error:
        record.line(f"couldn't run: {type(error).__name__}: {error}")
        print(f"couldn't run: {error}")
        return 2
    else:
        for reply, reason in found:
            text = f"MIXED broken: {reply.request_id} got {reply.status}, {reason}"
            record.line(text)
            print(text)
        record.line("rule broken" if found else "rule held")
        print("rule broken" if found else "rule held")
        return 1 if found else 0
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
