"""Stand-ins for a small deployment on loopback: the platform's store, backends,
clients and the operator.  The nodes are the project's own program, started as
the deploy file says.  Everything that was sent, answered and run is kept in
Lab.events and written to record.txt."""

import asyncio, base64, collections, json, os, random, shutil, signal, struct
import sys, tempfile, time

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..'))
# A loopback address of its own for each run, so that runs beside each other don't
# take each other's ports.
HOST = '127.%d.%d.%d' % (random.randrange(1, 255), random.randrange(256), random.randrange(1, 255))


TAKEN = set()


def free_ports(count):
    """Ports below those that the system gives to outgoing connections, each once."""
    import socket
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            ports.append(port)
    return ports


async def read_head(reader):
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_close else b''


async def http(address, method, target, headers=None, body=b'', timeout=5.0):
    """One request on a new connection: (status, headers, body)."""
    async def go():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = ['%s %s HTTP/1.1' % (method, target)]
            hs = {'Host': '%s:%d' % address}
            hs.update(headers or {})
            if body or method in ('POST', 'PUT'):
                hs['Content-Length'] = str(len(body))
            lines += ['%s: %s' % kv for kv in hs.items()]
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
            first, rh = await read_head(reader)
            status = int(first.split()[1])
            rb = b'' if status == 204 else await read_body(reader, rh, True)
            return status, rh, rb
        finally:
            writer.close()
    return await asyncio.wait_for(go(), timeout)


class Lab:
    def __init__(self):
        self.t0 = time.monotonic()
        self.events = []
        self.nodes, self.backends = [], []
        self.dir = tempfile.mkdtemp(prefix='review-')
        self.config_version = 0

    def log(self, kind, **kv):
        self.events.append((time.monotonic() - self.t0, kind, kv))

    def select(self, kind):
        return [(t, kv) for t, k, kv in self.events if k == kind]

    def now(self):
        return time.monotonic() - self.t0

    def write_record(self, path):
        with open(path, 'w') as f:
            for t, kind, kv in self.events:
                f.write('%8.3f %-12s %s\n' % (t, kind, ' '.join('%s=%s' % x for x in kv.items())))

    async def close(self):
        for n in self.nodes:
            await n.kill()
        for b in self.backends:
            await b.stop()
        shutil.rmtree(self.dir, ignore_errors=True)


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self, lab):
        self.lab = lab
        self.topics = collections.defaultdict(list)
        self.changed = asyncio.Event()
        self.address = (HOST, free_ports(1)[0])
        self.silent = False       # accepts calls and answers none
        self.delay = 0.004
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)

    def append(self, topic, records):
        offset = len(self.topics[topic])
        self.topics[topic] += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        k = key.encode()
        return self.append(topic, [bytes([len(k)]) + k + value])

    def newest(self, topic):
        items = {}
        for offset, record in enumerate(self.topics[topic]):
            n = record[0]
            key, value = record[1:1 + n], record[1 + n:]
            items.pop(key, None)
            if value:
                items[key] = (value, offset)
        return items

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                path, _, query = target.partition('?')
                q = dict(p.split('=', 1) for p in query.split('&') if '=' in p)
                from urllib.parse import unquote
                q = {k: unquote(v) for k, v in q.items()}
                await asyncio.sleep(self.delay)
                if self.silent:
                    await reader.read()
                    return
                status, kind, out = await self.answer(path, q, body)
                if self.silent:
                    await reader.read()
                    return
                writer.write(('HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n'
                              % (status, kind, len(out))).encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, q, body):
        topic = q.get('topic', '')
        js = 'application/json'
        if path == '/api/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return 403, js, b'{}'
            records, i = [], 0
            while i < len(body):
                n = struct.unpack('>I', body[i:i + 4])[0]
                records.append(body[i + 4:i + 4 + n])
                i += 4 + n
            end = len(self.topics[topic])
            if 'at' in q and int(q['at']) != end:
                return 412, js, json.dumps({'end': end}).encode()
            offset = self.append(topic, records)
            return 200, js, json.dumps({'offset': offset, 'end': len(self.topics[topic])}).encode()
        if path == '/api/log-read':
            start = int(q.get('from', 0))
            until = time.monotonic() + min(30000, int(q.get('wait-ms', 0))) / 1000
            while len(self.topics[topic]) <= start and time.monotonic() < until and not self.silent:
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), min(0.2, until - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            out = struct.pack('>QQ', len(self.topics[topic]), 0)
            for r in self.topics[topic][start:]:
                out += struct.pack('>I', len(r)) + r
            return 200, 'application/octet-stream', out
        if path == '/api/log-newest':
            after = q.get('after', '').encode()
            items = sorted(self.newest(topic).items())
            items = [{'key': k.decode(), 'value': base64.b64encode(v).decode(), 'offset': o}
                     for k, (v, o) in items if k > after]
            return 200, js, json.dumps({'items': items[:500], 'has-more': len(items) > 500,
                                        'end': len(self.topics[topic])}).encode()
        return 404, js, b'{}'

    def publish(self, routes, services):
        """The operator writes a configuration."""
        self.lab.config_version += 1
        rcols = ['name', 'host', 'path-prefix', 'route-type', 'timeout-ms', 'target-latency-ms',
                 'priority', 'weighted-services', 'max-attempts', 'service']
        scols = ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'sharded', 'warmup-s', 'grants']
        config = {'version': 'r%d' % self.lab.config_version,
                  'routes': {'columns': rcols, 'rows': [[r.get(c) for c in rcols] for r in routes]},
                  'services': {'columns': scols, 'rows': [[s.get(c) for c in scols] for s in services]},
                  'limits': {'max-header-bytes': 16384, 'max-body-bytes': 67108864,
                             'header-timeout-ms': 3000, 'idle-timeout-ms': 15000}}
        self.put('keyed.op', 'config', json.dumps(config).encode())
        self.lab.log('config', version=config['version'])


class Node:
    """One node, started with the program and the template of the deploy file."""

    def __init__(self, lab, name, zone, service, store, beat_ms=1000, grace_s=6, level='info'):
        self.lab, self.name = lab, name
        ports = free_ports(6)
        (self.callers, self.control, self.ready, self.metrics, self.peers, self.app) = [
            (HOST, p) for p in ports]
        self.beat = beat_ms / 1000
        self.values = dict(name=name, zone=zone, service=service, store=store.address,
                           beat_ms=beat_ms, grace_s=grace_s, level=level)
        self.file = os.path.join(lab.dir, name + '.ini')
        self.logfile = os.path.join(lab.dir, name + '.log')
        self.proc = None
        lab.nodes.append(self)
        self.write_settings()

    def write_settings(self):
        v = self.values
        a = lambda x: '%s:%d' % x
        text = ('[node]\nhost = %s\nzone = %s\nservice = %s\n[listen]\ncallers = %s\ncontrol = %s\n'
                'ready = %s\nmetrics = %s\npeers = %s\n[server]\naddress = %s\nbeat-ms = %d\n'
                'grants = heartbeat\n[store]\naddress = %s\n[bounds]\nhold-max-ms = 10000\n'
                'drain-ms = 2000\nconfig-apply-ms = 2000\ngrace-seconds = %d\n[limits]\n'
                'memory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n[journal]\nlevel = %s\n'
                % (v['name'], v['zone'], v['service'], a(self.callers), a(self.control),
                   a(self.ready), a(self.metrics), a(self.peers), a(self.app), v['beat_ms'],
                   a(v['store']), v['grace_s'], v['level']))
        with open(self.file, 'w') as f:
            f.write(text)

    async def start(self):
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['BAMBOOTALLY_CONFIG'] = self.file
        self.proc = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, os.environ.get('MESH_PROGRAM', 'target/release/bambootally_mesh')), cwd=ROOT, env=env,
            stdout=open(self.logfile, 'ab'), stderr=asyncio.subprocess.STDOUT)
        self.lab.log('node-start', node=self.name, service=self.values['service'])

    def signal(self, number):
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(number)

    async def kill(self):
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(signal.SIGCONT)
            self.proc.kill()
            await self.proc.wait()

    async def is_ready(self):
        try:
            return (await http(self.ready, 'GET', '/api/ready', timeout=1))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Backend:
    """A backend beside NODE, at the address that the node's settings name."""

    def __init__(self, lab, node, service, sharded=False, work_s=0.02, slots=8, id=None):
        self.lab, self.node, self.service, self.sharded = lab, node, service, sharded
        self.work_s, self.slots = work_s, slots
        self.id = id or 'i-%08x' % random.getrandbits(32)
        self.state, self.seq, self.born = 'ready', 0, 0
        self.holds = {}                # (first, last) -> fence
        self.hold_until = 0.0
        self.highest = {}              # first, last, fence that were seen
        self.freed = []
        self.working = collections.Counter()
        self.server, self.task, self.conns = None, None, set()
        self.running = 0
        lab.backends.append(self)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.node.app, limit=1 << 22)
        self.task = asyncio.ensure_future(self.beat_loop())
        self.lab.log('backend-start', id=self.id, service=self.service, born=self.born)

    async def stop(self):
        """The backend ends: nothing of it is left."""
        if self.server is None:
            return
        self.task.cancel()
        self.server.close()
        for w in list(self.conns):
            w.transport.abort()
        self.server = None
        self.lab.log('backend-end', id=self.id, service=self.service)

    # Keys

    def held(self):
        return dict(self.holds) if time.monotonic() < self.hold_until else {}

    def holds_key(self, key):
        return any(a <= key <= b for a, b in self.held())

    def body(self):
        held = self.held()
        status = {'state': self.state, 'seq': self.seq, 'cold-left-ms': 0}
        b = {'address': '%s:%d' % self.node.app, 'born': self.born,
             'info': {'service': self.service, 'version': 'v1', 'zone': self.node.values['zone'],
                      'slots': self.slots}, 'status': status}
        if self.sharded:
            b['holds'] = [[a, z, f] for (a, z), f in sorted(held.items())]
            b['freed'] = list(self.freed)
        return b

    async def beat_once(self):
        self.seq += 1
        sent, b = time.monotonic(), self.body()
        freed = list(self.freed)
        try:
            status, _, out = await http(self.node.control, 'PUT', '/api/instances/' + self.id,
                                        {'Content-Type': 'application/json'}, json.dumps(b).encode(), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        if status // 100 != 2:
            self.lab.log('beat-refused', id=self.id, status=status)
            return False
        self.freed = [x for x in self.freed if x not in freed]
        answer = json.loads(out or b'{}')
        if not self.sharded or 'holds' not in answer:
            return False
        before = self.held()
        after = {(a, z): f for a, z, f, _ in answer['holds']}
        for (a, z), f in before.items():
            left = [k for k in after if not (k[1] < a or k[0] > z)]
            if not left:
                self.freed.append([a, z, '%016x' % random.getrandbits(64)])
        self.holds = after
        self.hold_until = sent + answer['hold-ms'] / 1000
        if after != before:
            self.lab.log('holds', id=self.id, service=self.service, hold_ms=answer['hold-ms'],
                         ranges=json.dumps(sorted([a, z, f] for (a, z), f in after.items())).replace(' ', ''))
        return bool(self.freed)

    async def beat_loop(self):
        while True:
            soon = await self.beat_once()
            await asyncio.sleep(0.1 if soon else self.node.beat)

    # Requests

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def reply(self, writer, status, headers, body=b''):
        hs = ''.join('%s: %s\r\n' % kv for kv in headers.items())
        writer.write(('HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n' % (status, hs, len(body))).encode() + body)

    async def handle(self, method, target, headers, body, writer):
        rid = headers.get('request-id', '')
        base = {'Request-Id': rid, 'Instance-Id': self.id}
        expected = headers.get('expect-instance')
        self.lab.log('arrive', id=rid, at=self.id, service=self.service, target=target,
                     expect=expected, caller=headers.get('caller-service'))
        if expected is not None and expected != self.id:
            return self.reply(writer, 421, dict(base, **{'Not-Executed': '1'}))
        key = headers.get('shard-key')
        if self.sharded and (key is None or not self.holds_key(int(key))):
            return self.reply(writer, 421, dict(base, **{'Not-Executed': '1'}))
        if self.running >= self.slots:
            return self.reply(writer, 503, dict(base, **{'Not-Executed': '1'}))
        self.running += 1
        self.lab.log('run', id=rid, at=self.id, service=self.service, target=target, key=key,
                     caller=headers.get('caller-service'))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.reply(writer, 200, {'Request-Id': rid, 'Server-Stamp': self.id + '.' + rid}, b'ok ' + rid.encode())


class Silent(Backend):
    """A backend that can fall silent: it accepts and reads, and says nothing."""
    dark = False

    async def handle(self, *a):
        if self.dark:
            return await asyncio.sleep(1000)
        await super().handle(*a)

    def reply(self, *a):
        if not self.dark:
            super().reply(*a)

    def fall_silent(self):
        self.dark = True
        self.task.cancel()
        self.lab.log('silent', id=self.id, service=self.service)


class Client:
    """Sends requests to a node, each on a connection of its own."""

    def __init__(self, lab, node):
        self.lab, self.node = lab, node

    async def send(self, host, target, method='GET', key=None, deadline_ms=2000, body=b'', rid=None):
        rid = rid or '%016x' % random.getrandbits(64)
        headers = {'Host': host, 'Request-Id': rid, 'Deadline-Ms': str(deadline_ms)}
        if key is not None:
            headers['Shard-Key'] = str(key)
        self.lab.log('send', id=rid, node=self.node.name, target=target, key=key)
        try:
            status, rh, rb = await http(self.node.callers, method, target, headers, body, deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            self.lab.log('answer', id=rid, status='none', why=type(e).__name__)
            return None
        self.lab.log('answer', id=rid, status=status, stamp=rh.get('server-stamp'), bytes=len(rb))
        return status


async def until(condition, timeout=20.0, step=0.05):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        r = condition()
        if asyncio.iscoroutine(r):
            r = await r
        if r:
            return True
        await asyncio.sleep(step)
    return False


def trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def main(scenario, folder):
    """Runs SCENARIO (lab) -> 0 held, 1 broken, 2 could not run."""
    async def go():
        lab = Lab()
        try:
            return await asyncio.wait_for(scenario(lab), 110)
        except Exception as e:
            import traceback
            traceback.print_exc()
            lab.log('error', what=repr(e))
            return 2
        finally:
            if os.environ.get('KEEP_LOGS'):
                shutil.copytree(lab.dir, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
            await lab.close()
            lab.write_record(os.path.join(folder, 'record.txt'))
    code = asyncio.run(go())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
