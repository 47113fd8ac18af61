"""Case 13, rule LOST.  A node is asked to stop.  Clients that send requests
ahead and read slowly must get the whole answer to a request that was passed on
to a backend."""

import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lab-3'))
from lab import *
import socket

RESPONSE_BYTES = 540000    # longest photo-pack
DEADLINE_MS = 3000         # of its clients
WORK_S = 0.082             # its mean work
CLIENTS = 10
AHEAD = 8                  # requests that a client sends behind the first one
GAP_S = 0.05               # time between the requests of a client
READ_PER_S = 300000        # bytes a second that a client reads, once it has sent them


class Media(Backend):
    async def handle(self, method, target, headers, body, writer):
        rid = headers['request-id']
        self.lab.log('run', id=rid, at=self.id, service=self.service, target=target)
        await asyncio.sleep(WORK_S)
        n = RESPONSE_BYTES if target.startswith('/pack/') else 400
        self.reply(writer, 200, {'Request-Id': rid, 'Server-Stamp': self.id + '.' + rid}, b'x' * n)


def route(name, prefix):
    return dict(name=name, host='photos.example', service='media',
                **{'path-prefix': prefix, 'route-type': 'idempotent', 'timeout-ms': DEADLINE_MS,
                   'target-latency-ms': 800, 'priority': 2, 'max-attempts': 2})


async def client(lab, node, i):
    """Returns whether the first answer was whole."""
    loop = asyncio.get_event_loop()
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)   # reads slowly
    s.setblocking(False)
    await loop.sock_connect(s, node.callers)
    first, sent_at = 'p%d-%08x' % (i, random.getrandbits(32)), lab.now()
    for k in range(1 + AHEAD):
        rid = first if k == 0 else '%s-%d' % (first, k)
        target = '/pack/%d' % i if k == 0 else '/list/%d' % k
        await loop.sock_sendall(s, ('GET %s HTTP/1.1\r\nHost: photos.example\r\nRequest-Id: %s\r\n'
                                    'Deadline-Ms: %d\r\n\r\n' % (target, rid, DEADLINE_MS)).encode())
        lab.log('send', id=rid, node=node.name, target=target)
        await asyncio.sleep(GAP_S)
    got, end = b'', 'open'
    while True:
        head, found, body = got.partition(b'\r\n\r\n')
        whole = bool(found) and len(body) >= RESPONSE_BYTES
        if whole or lab.now() - sent_at > DEADLINE_MS / 1000:
            break
        try:
            data = await asyncio.wait_for(loop.sock_recv(s, 8192), 1)
        except asyncio.TimeoutError:
            continue
        except ConnectionError:
            end = 'reset'
            break
        if not data:
            end = 'closed'
            break
        got += data
        await asyncio.sleep(len(data) / READ_PER_S)
    s.close()
    status = head.split(b' ')[1].decode() if found else 'none'
    lab.log('answer', id=first, status=status, whole=whole, connection=end, bytes=len(got),
            after_s='%.2f' % (lab.now() - sent_at))
    return first, status, whole, end


async def scenario(lab):
    store = Store(lab)
    await store.start()
    store.publish([route('r-pack', '/pack/'), route('r-list', '/list/')],
                  [dict(name='media', **{'health-path': '/health', 'max-conns': 550, 'protocol': 'h1', 'tls': False})])
    nodes = [Node(lab, 'side-%d' % i, 'cape-west-a', 'media', store, beat_ms=1000) for i in range(3)]
    for n in nodes:
        await n.start()
    for n in nodes:
        await Media(lab, n, 'media', slots=6).start()
    for n in nodes:
        if not await until(n.is_ready, 10):
            return 2
    await asyncio.sleep(4)
    if trouble():
        nodes[0].signal(signal.SIGTERM)
        lab.log('sigterm', node=nodes[0].name)
        await asyncio.sleep(0.2)
    results = await asyncio.gather(*[client(lab, nodes[0], i) for i in range(CLIENTS)])
    ran = {kv['id'] for _, kv in lab.select('run')}
    lost = [r for r in results if r[0] in ran and not r[2] and r[3] != 'open' and r[1] in ('200', 'none')]
    print('%d requests, %d answered whole, %d ran and lost their answer with the connection (%s)'
          % (len(results), sum(r[2] for r in results), len(lost), dict(collections.Counter(r[3] for r in lost))))
    if not ran:
        return 2
    return 1 if lost else 0


main(scenario, os.path.dirname(os.path.abspath(__file__)))
