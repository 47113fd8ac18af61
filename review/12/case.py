"""Case 12, rule OWNER.  A heartbeat of another writer, in which a field is
missing, reaches the node of a backend that holds keys.  It names no backend to
use; the backend must go on holding its keys alone."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *

OVERLAP_S = 0.5      # "hold the same keys for over half a second"
STEP_S = 0.02


def config():
    routes = [dict(name='r-1', host='desk.example', service='enquiry-desk',
                   **{'path-prefix': '/desk/', 'route-type': 'idempotent', 'timeout-ms': 1000,
                      'target-latency-ms': 500, 'priority': 2, 'max-attempts': 2})]
    services = [dict(name='enquiry-desk', sharded=True,
                     **{'health-path': '/health', 'max-conns': 110, 'protocol': 'h1', 'tls': False,
                        'warmup-s': 5.0, 'grants': 'heartbeat'})]
    return routes, services


async def watch(lab, backends):
    """Notes how long two backends that are up hold a key in common."""
    since, longest = {}, 0.0
    while True:
        held = [b.held() if b.server else {} for b in backends]
        for i in range(len(backends)):
            for j in range(i):
                common = [(max(a, c), min(z, e)) for a, z in held[i] for c, e in held[j] if a <= e and c <= z]
                if not common:
                    since.pop((i, j), None)
                    continue
                start = since.setdefault((i, j), lab.now())
                if lab.now() - start > longest + 0.2:
                    longest = lab.now() - start
                    lab.log('both-hold', a=backends[i].id, b=backends[j].id, for_s='%.2f' % longest,
                            keys='%d-%d' % common[0])
        await asyncio.sleep(STEP_S)


async def scenario(lab):
    store = Store(lab)
    await store.start()
    store.publish(*config())
    nodes = [Node(lab, 'side-%d' % i, 'z1', 'enquiry-desk', store, beat_ms=870) for i in range(3)]
    for n in nodes:
        await n.start()
    backends = [Backend(lab, n, 'enquiry-desk', sharded=True, work_s=0.16, slots=18) for n in nodes]
    for b in backends:
        await b.start()
    if not await until(lambda: sum(z - a + 1 for b in backends for a, z in b.held()) == 65536, 20):
        return 2
    watcher = asyncio.ensure_future(watch(lab, backends))
    await asyncio.sleep(3)
    if trouble():
        victim = backends[0]
        beat = victim.body()
        for field in ('holds', 'freed'):
            del beat[field]
        del beat['info']['zone']              # the missing field
        beat['born'] = int(time.time() * 1000)
        beat['status'] = {'state': 'draining', 'seq': 1, 'cold-left-ms': 0}
        status, _, body = await http(victim.node.control, 'PUT', '/api/instances/x-other',
                                     {'Content-Type': 'application/json'}, json.dumps(beat).encode())
        lab.log('other-writer', victim=victim.id, sent=json.dumps(beat).replace(' ', ''), status=status,
                answer=body.decode().replace(' ', ''))
    client, pending = Client(lab, nodes[1]), set()
    end = lab.now() + 8
    while lab.now() < end:
        t = asyncio.ensure_future(client.send('desk.example', '/desk/x', key=random.randrange(65536)))
        pending.add(t)
        t.add_done_callback(pending.discard)
        await asyncio.sleep(0.05)
    if pending:
        await asyncio.wait(pending, timeout=4)
    watcher.cancel()
    longest = max([float(kv['for_s']) for _, kv in lab.select('both-hold')], default=0.0)
    answers = collections.Counter(str(kv['status']) for _, kv in lab.select('answer'))
    lab.log('result', longest_s=longest)
    print('two backends held the same keys for up to %.2f s; answers %s' % (longest, dict(answers)))
    return 1 if longest > OVERLAP_S else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
