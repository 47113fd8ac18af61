"""Case 12, rule CONFIG.  A route is added, and while the first requests on it
run, two of eight backends crash, one after the other.  The requests are sound and
crash nothing; once the backends are back they must be served."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

WORK_S = 2.2           # mean work of plan-history
DOWN_S = 3.9           # a crashed backend is back after this
CRASHES = [1.0, 1.8]   # moments of the crashes after the first request on the added route
CALM_S = 12.0          # after the backends are back, before anything is counted
COUNT_S = 10.0
PATH = '/statement/current'


class Records(Backend):
    async def handle(self, method, target, headers, body, writer):
        work, self.work_s = self.work_s, WORK_S if target == PATH else 0.1
        run = super().handle(method, target, headers, body, writer)
        await run

    async def crash(self):
        self.lab.log('crash', at=self.id)
        await self.stop()
        await asyncio.sleep(DOWN_S)
        await Records(self.lab, self.node, self.service, slots=self.slots).start()


def route(name, prefix):
    return dict(name=name, host='plans.example', service='plan-records',
                **{'path-prefix': prefix, 'route-type': 'idempotent', 'timeout-ms': 12000,
                   'target-latency-ms': 6000, 'priority': 2, 'max-attempts': 2})


def service(name):
    return dict(name=name, **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False})


async def scenario(lab):
    store = Store(lab)
    await store.start()
    first, added = route('r-history', '/history/'), route('r-statement', '/statement/')
    services = [service('plan-records'), service('collections')]
    store.publish([first], services)
    nodes = [Node(lab, 'side-%d' % i, 'z1', s, store, beat_ms=1000)
             for i, s in enumerate(['plan-records'] * 8 + ['collections'])]
    for n in nodes:
        await n.start()
    backends = []
    for n in nodes:
        kind = Records if n.values['service'] == 'plan-records' else Backend
        backends.append(kind(lab, n, n.values['service'], slots=9))
        await backends[-1].start()
    for n in nodes:
        if not await until(n.is_ready, 10):
            return 2
    await asyncio.sleep(4)
    client, pending, counting = Client(lab, nodes[-1]), set(), {}
    counts = collections.Counter()

    async def one(name, target):
        counted = 'yes' in counting
        status = await client.send('plans.example', target, deadline_ms=25000)
        if counted:
            counts[name, status == 200] += 1

    async def load(name, target, per_s):
        while True:
            t = asyncio.ensure_future(one(name, target))
            pending.add(t)
            t.add_done_callback(pending.discard)
            await asyncio.sleep(1 / per_s)

    senders = [asyncio.ensure_future(load('first', '/history/x', 60))]
    await asyncio.sleep(3)
    store.publish([first, added], services)
    await asyncio.sleep(4)
    senders.append(asyncio.ensure_future(load('added', PATH, 16)))
    start, crashes = lab.now(), []
    for at, backend in zip(CRASHES, backends):
        await asyncio.sleep(max(0, start + at - lab.now()))
        if trouble():
            crashes.append(asyncio.ensure_future(backend.crash()))
    await asyncio.sleep(DOWN_S + CALM_S)
    counting['yes'] = True
    await asyncio.sleep(COUNT_S)
    for s in senders:
        s.cancel()
    if pending:
        await asyncio.wait(pending, timeout=14)
    share = {}
    for name in ('first', 'added'):
        share[name] = counts[name, True] / max(1, counts[name, True] + counts[name, False])
    lab.log('result', first='%.2f' % share['first'], added='%.2f' % share['added'])
    print('%d crashes; in calm after them %d of %d requests on the added route and %d of %d on the first'
          ' one were served'
          % (len(lab.select('crash')), counts['added', True], counts['added', True] + counts['added', False],
             counts['first', True], counts['first', True] + counts['first', False]))
    if share['first'] < 0.5 or counts['added', True] + counts['added', False] < 20:
        return 2
    return 1 if share['added'] < share['first'] / 4 else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
