"""Case 15, rule CONFIG.  A route for uploads is added.  Its first upload crashes
each backend that begins to run it, and comes twice.  Sound uploads of the same
path, with other bodies, must be served."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

BACK_S = 3.0           # a crashed backend is back after some seconds
BYTES = 60000          # mean body of doc-upload
CALM_S = 10.0          # without a crash, before anything is counted
PATH = '/upload/documents'
BAD = b'\x00crash' + os.urandom(BYTES - 6)


class Records(Backend):
    """A backend that crashes if it begins to run the bad upload."""

    async def handle(self, method, target, headers, body, writer):
        if body == BAD and headers.get('expect-instance', self.id) == self.id and self.server and trouble():
            self.lab.log('crash', id=headers['request-id'], at=self.id)
            await self.stop()
            asyncio.ensure_future(self.come_back())
            raise ConnectionError
        await super().handle(method, target, headers, body, writer)

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        await Records(self.lab, self.node, self.service, work_s=self.work_s, slots=self.slots).start()


def route(name, prefix, kind):
    return dict(name=name, host='plans.example', service='plan-records',
                **{'path-prefix': prefix, 'route-type': kind, 'timeout-ms': 1200,
                   'target-latency-ms': 600, 'priority': 1, 'max-attempts': 2})


def service(name):
    return dict(name=name, **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False})


async def scenario(lab):
    store = Store(lab)
    await store.start()
    first, added = route('r-history', '/history/', 'idempotent'), route('r-upload', '/upload/', 'upload')
    services = [service('plan-records'), service('collections')]
    store.publish([first], services)
    nodes = [Node(lab, 'side-%d' % i, 'z1', s, store, beat_ms=870)
             for i, s in enumerate(['plan-records'] * 4 + ['collections'])]
    for n in nodes:
        await n.start()
    for n in nodes:
        kind = Records if n.values['service'] == 'plan-records' else Backend
        await kind(lab, n, n.values['service'], work_s=0.1, slots=18).start()
    for n in nodes:
        if not await until(n.is_ready, 10):
            return 2
    await asyncio.sleep(4)
    client, pending, counting = Client(lab, nodes[-1]), set(), {}
    counts = collections.Counter()

    async def one(name, method, target, body):
        counted = 'yes' in counting
        status = await client.send('plans.example', target, method=method, body=body, deadline_ms=2500)
        if counted:
            counts[name, status == 200] += 1

    def send(*a):
        t = asyncio.ensure_future(one(*a))
        pending.add(t)
        t.add_done_callback(pending.discard)

    async def load():
        while True:
            send('first', 'GET', '/history/x', b'')
            await asyncio.sleep(0.01)

    sender = asyncio.ensure_future(load())
    await asyncio.sleep(3)
    store.publish([first, added], services)
    await asyncio.sleep(3)
    for _ in range(2):
        await client.send('plans.example', PATH, method='POST', body=BAD, deadline_ms=2500)
        await asyncio.sleep(BACK_S + 2)
    await asyncio.sleep(CALM_S)
    counting['yes'] = True
    for i in range(100):
        send('added', 'POST', PATH, b'document %d ' % i + os.urandom(BYTES))
        await asyncio.sleep(0.1)
    sender.cancel()
    if pending:
        await asyncio.wait(pending, timeout=4)
    share = {}
    for name in ('first', 'added'):
        share[name] = counts[name, True] / max(1, counts[name, True] + counts[name, False])
    crashes = len(lab.select('crash'))
    lab.log('result', crashes=crashes, first='%.2f' % share['first'], added='%.2f' % share['added'])
    print('%d crashes; in calm after them %d of %d sound uploads on the added route and %d of %d requests on'
          ' the first one were served'
          % (crashes, counts['added', True], counts['added', True] + counts['added', False],
             counts['first', True], counts['first', True] + counts['first', False]))
    if share['first'] < 0.5 or (trouble() and crashes != 2):
        return 2
    return 1 if share['added'] < share['first'] / 4 else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
