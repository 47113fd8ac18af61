"""Case 11, rule ROUTE.  Two backends of one service fall silent; later their
addresses go to backends of another service, beside the same nodes.  Requests
that waited at those nodes for the first backends must not run at the second."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

WORK_S = 1.0           # mean work of plan-history
DEADLINE_MS = 12000    # its clients' deadline
TIMEOUT_MS = 6000      # timeout of its route
REUSE_AFTER_S = 2.0    # bound of the deployment
SLOTS = 4
SENDS_PER_S = 32       # the six backends complete 24 a second
SILENT = 2             # of the six backends


def route(name, prefix, service):
    return dict(name=name, host='plans.example', service=service,
                **{'path-prefix': prefix, 'route-type': 'idempotent', 'timeout-ms': TIMEOUT_MS,
                   'target-latency-ms': 2000, 'priority': 1, 'max-attempts': 2})


def service(name):
    return dict(name=name, **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False})


async def scenario(lab):
    store = Store(lab)
    await store.start()
    # No route leads /history/ to "collections", in any configuration.
    store.publish([route('r-history', '/history/', 'plan-records'),
                   route('r-ledger', '/ledger/', 'collections')],
                  [service('plan-records'), service('collections')])
    nodes = [Node(lab, 'side-%d' % i, 'z1', s, store, beat_ms=870)
             for i, s in enumerate(['plan-records'] * 6 + ['collections'] * 3)]
    for n in nodes:
        await n.start()
    backends = [Silent(lab, n, n.values['service'], work_s=WORK_S, slots=SLOTS) for n in nodes]
    for b in backends:
        await b.start()
    for n in nodes:
        if not await until(n.is_ready, 10):
            return 2
    await asyncio.sleep(3)
    clients = [Client(lab, n) for n in nodes]
    pending = set()

    async def load():
        i = 0
        while True:
            i += 1
            t = asyncio.ensure_future(clients[i % len(clients)].send(
                'plans.example', '/history/%d' % i, deadline_ms=DEADLINE_MS))
            pending.add(t)
            t.add_done_callback(pending.discard)
            await asyncio.sleep(1 / SENDS_PER_S)

    sender = asyncio.ensure_future(load())
    await asyncio.sleep(5)
    if trouble():
        for old in backends[:SILENT]:
            old.fall_silent()
        await asyncio.sleep(REUSE_AFTER_S + 0.25)
        for old in backends[:SILENT]:
            await old.stop()                  # what is left of it is reset
            node = old.node
            node.values['service'] = 'collections'   # the settings name the new service
            node.write_settings()
            await Backend(lab, node, 'collections', work_s=WORK_S, slots=SLOTS).start()
    await asyncio.sleep(6)
    sender.cancel()
    if pending:
        await asyncio.wait(pending, timeout=DEADLINE_MS / 1000 + 2)
    runs = [kv for _, kv in lab.select('run')]
    wrong = [kv for kv in runs if kv['target'].startswith('/history/') and kv['service'] != 'plan-records']
    answers = collections.Counter(str(kv['status']) for _, kv in lab.select('answer'))
    foreign = {kv['id'] for kv in wrong}
    given = sum(1 for _, kv in lab.select('answer') if kv['id'] in foreign and kv['status'] == 200)
    lab.log('result', sent=len(lab.select('send')), runs=len(runs), wrong=len(wrong), given_to_clients=given)
    print('sent %d, runs %d, run by the wrong service %d (answered 200 to clients: %d), answers %s'
          % (len(lab.select('send')), len(runs), len(wrong), given, dict(answers)))
    if not any(kv['status'] == 200 for _, kv in lab.select('answer')):
        return 2
    return 1 if wrong else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
