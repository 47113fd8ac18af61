"""Case 14, rule BUDGET.  A request crashes each backend that begins to run it
and comes again.  Requests with the same path from another service run well.  The
first one must be kept from the backends once it has crashed three."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

CONTACT_S = 3.0      # bound of the deployment
RETRIES = 3          # "in more than three retries"
BACK_S = 2.0         # a crashed backend is back after some seconds
AGAIN_S = 1.5        # pause until the request comes again
SENDS_PER_S = 10     # of the requests that run well
PATH = '/records/index'
OTHERS = os.environ.get('OTHERS', PATH)   # path of the requests that run well


class Records(Backend):
    """A backend that crashes if it begins to run PATH for "collections"."""

    async def handle(self, method, target, headers, body, writer):
        if (trouble() and target == PATH and headers.get('caller-service') == 'collections'
                and headers.get('expect-instance', self.id) == self.id and self.server):
            rid = headers['request-id']
            self.lab.log('run', id=rid, at=self.id, service=self.service, target=target,
                         caller=headers.get('caller-service'))
            self.lab.log('crash', id=rid, at=self.id)
            await self.stop()
            asyncio.ensure_future(self.come_back())
            raise ConnectionError
        await super().handle(method, target, headers, body, writer)

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        await Records(self.lab, self.node, self.service, work_s=self.work_s, slots=self.slots).start()


def service(name):
    return dict(name=name, **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False})


async def scenario(lab):
    store = Store(lab)
    await store.start()
    store.publish([dict(name='r-index', host='plans.example', service='plan-records',
                        **{'path-prefix': '/records/', 'route-type': 'idempotent', 'timeout-ms': 500,
                           'target-latency-ms': 200, 'priority': 2, 'max-attempts': 2})],
                  [service('plan-records'), service('collections'), service('enquiry-desk')])
    nodes = {}
    for name, what in [('rec-%d' % i, 'plan-records') for i in range(4)] + [('coll', 'collections'),
                                                                            ('desk', 'enquiry-desk')]:
        nodes[name] = Node(lab, name, 'z1', what, store, beat_ms=870)
        await nodes[name].start()
    for name, node in nodes.items():
        kind = Records if name.startswith('rec') else Backend
        await kind(lab, node, node.values['service'], work_s=0.04, slots=18).start()
    for node in nodes.values():
        if not await until(node.is_ready, 10):
            return 2
    await asyncio.sleep(4)
    pending = set()

    async def load():
        client = Client(lab, nodes['desk'])
        while True:
            t = asyncio.ensure_future(client.send('plans.example', OTHERS, deadline_ms=500))
            pending.add(t)
            t.add_done_callback(pending.discard)
            await asyncio.sleep(1 / SENDS_PER_S)

    sender = asyncio.ensure_future(load())
    await asyncio.sleep(5)
    client, ids = Client(lab, nodes['coll']), set()
    for _ in range(20):
        rid = 'c%015x' % random.getrandbits(60)
        ids.add(rid)
        await client.send('plans.example', PATH, deadline_ms=500, rid=rid)
        await asyncio.sleep(AGAIN_S)
    sender.cancel()
    if pending:
        await asyncio.wait(pending, timeout=3)
    crashes = lab.select('crash')
    late = {}
    if len(crashes) >= 3:
        since = crashes[2][0] + CONTACT_S
        late = {kv['id'] for t, kv in lab.select('send') if kv['id'] in ids and t > since}
        late &= {kv['id'] for _, kv in lab.select('run')}
    lost = sum(1 for _, kv in lab.select('answer') if kv['id'] not in ids and kv['status'] != 200)
    lab.log('result', crashes=len(crashes), retries_too_late=len(late), others_not_served=lost)
    print('the request came %d times, crashed %d backends; sent again later than %d s after the third'
          ' crash it reached backends %d times; %d of %d other requests were not served'
          % (len(ids), len(crashes), CONTACT_S, len(late), lost, len(lab.select('send')) - len(ids)))
    if not any(kv['status'] == 200 for _, kv in lab.select('answer')):
        return 2
    return 1 if len(late) > RETRIES else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
