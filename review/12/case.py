"""Case 12, rule RECOVER.  Backends of a service that is divided by key fall
silent for good, one after the other; the address of each goes to a backend of
another service.  Empty backends of the first service are added.  Its keys must be served
again."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

BEAT_MS = 1500         # of the deployment
REUSE_AFTER_S = 2.0    # bound of the deployment
RECOVERY_S = 15.0      # bound of the deployment
SENDS_PER_S = 40       # a backend completes 100 a second
MEASURE_S = 10.0
REUSE = os.environ.get('REUSE', '1') != '0'   # 0: the addresses are not used again


def route(name, prefix, service):
    return dict(name=name, host='cart.example', service=service,
                **{'path-prefix': prefix, 'route-type': 'idempotent', 'timeout-ms': 500,
                   'target-latency-ms': 200, 'priority': 2, 'max-attempts': 2})


def service(name, **more):
    return dict(name=name, **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False}, **more)


async def scenario(lab):
    store = Store(lab)
    await store.start()
    store.publish([route('r-menu', '/menu/', 'menu'), route('r-sale', '/sale/', 'kasir')],
                  [service('menu', sharded=True, **{'warmup-s': 5.0, 'grants': 'heartbeat'}), service('kasir')])

    async def machine(name, what):
        node = Node(lab, name, 'malioboro', what, store, beat_ms=BEAT_MS)
        await node.start()
        backend = Silent(lab, node, what, sharded=what == 'menu', work_s=0.06, slots=6)
        await backend.start()
        return backend

    menu = [await machine('menu-%d' % i, 'menu') for i in range(3)]
    kasir = [await machine('kasir-%d' % i, 'kasir') for i in range(3)]

    def held(backends):
        return sum(z - a + 1 for b in backends if b.server for a, z in b.held())

    if not await until(lambda: held(menu) == 65536, 20):
        return 2
    clients, pending, phase = [Client(lab, b.node) for b in kasir], set(), {'name': 'before'}
    served, sent = collections.Counter(), collections.Counter()

    async def one(client):
        name = phase['name']
        sent['count'] += 1
        status = await client.send('cart.example', '/menu/x', key=sent['count'] * 40503 % 65536, deadline_ms=500)
        served[name, status == 200] += 1

    async def load():
        while True:
            t = asyncio.ensure_future(one(random.choice(clients)))
            pending.add(t)
            t.add_done_callback(pending.discard)
            await asyncio.sleep(1 / SENDS_PER_S)

    sender = asyncio.ensure_future(load())
    await asyncio.sleep(6)
    added = []
    for i, old in enumerate(menu):
        if not trouble():
            break
        if i == len(menu) - 1:
            phase['name'] = 'before-last'
            await asyncio.sleep(6)
        phase['name'] = 'during'
        old.fall_silent()
        await asyncio.sleep(REUSE_AFTER_S + 0.2)
        await old.stop()                      # what is left of it is reset
        if REUSE:
            node = old.node
            node.values['service'] = 'kasir'
            node.write_settings()
            await Backend(lab, node, 'kasir', work_s=0.06, slots=6).start()
        await asyncio.sleep(5)
    added.append(await machine('menu-new', 'menu'))
    lab.log('machines-back')
    await asyncio.sleep(RECOVERY_S)
    phase['name'] = 'after'
    await asyncio.sleep(MEASURE_S)
    sender.cancel()
    if pending:
        await asyncio.wait(pending, timeout=3)
    share = {}
    for name in ('before', 'before-last', 'after'):
        good, bad = served[name, True], served[name, False]
        share[name] = good / max(1, good + bad)
    lab.log('result', served_before='%.2f' % share['before'], served_before_last='%.2f' % share['before-last'],
            served_after='%.2f' % share['after'], keys_held=held(menu + added),
            menu_backends_up=sum(1 for b in menu + added if b.server))
    print('served before %.2f, before the last fault %.2f, later than %d s after it %.2f; keys held %d of 65536'
          ' by %d menu backend(s) that are up'
          % (share['before'], share['before-last'], RECOVERY_S, share['after'], held(menu + added),
             sum(1 for b in menu + added if b.server)))
    if share['before'] < 0.25:
        return 2
    if trouble() and share['before-last'] < 0.25:
        return 2
    return 1 if share['after'] < 0.25 else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
