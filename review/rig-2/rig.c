#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/release/bambootally_mesh"
#define BEAT_MS 870
#define QUEUE 72

struct rig rig;
int (*on_run) (struct server *server, const struct msg *request);
size_t (*on_size) (const struct msg *request);
int crash_down_ms = 3000;
int memory_mb = 260;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static long long started_at;

/* Time and record */

long long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

long long
unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms (int ms)
{
  struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };

  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  if (record_file != NULL)
    {
      fprintf (record_file, "%9.3f ", (double)(now_ms () - started_at) / 1000);
      va_start (args, format);
      vfprintf (record_file, format, args);
      va_end (args);
      fputc ('\n', record_file);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

int
finish (int code, const char *format, ...)
{
  char text[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  record ("RESULT %s: %s",
          code == 0   ? "held"
          : code == 1 ? "broken"
                      : "could not run",
          text);
  printf ("%s: %s\n",
          code == 0   ? "held"
          : code == 1 ? "broken"
                      : "could not run",
          text);
  rig_end ();
  exit (code);
}

/* Sockets */

/* All listen on one loopback address of this run: ports that are free there
   are not taken by connections from 127.0.0.1 meanwhile.  */
static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, rig.ip, &a.sin_addr);
  return a;
}

/* Listen on PORT, 0 for a free one.  */
static int
listen_on (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  struct sockaddr_in a = loopback (port);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 256) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
port_of (int fd)
{
  struct sockaddr_in a;
  socklen_t size = sizeof a;

  getsockname (fd, (struct sockaddr *)&a, &size);
  return ntohs (a.sin_port);
}

static int
connect_to (int port, int timeout_ms)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = loopback (port);
  struct timeval t = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = send (fd, bytes, length, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes += n;
      length -= (size_t)n;
    }
  return true;
}

/* HTTP */

/* A connection and what was received on it and not used.  */
struct stream
{
  int fd;
  char *bytes;
  size_t count, size;
};

static bool
more (struct stream *s)
{
  ssize_t n;

  if (s->size - s->count < 65536)
    {
      s->size = s->size * 2 + 131072;
      s->bytes = realloc (s->bytes, s->size);
    }
  n = recv (s->fd, s->bytes + s->count, s->size - s->count - 1, 0);
  if (n <= 0)
    return false;
  s->count += (size_t)n;
  s->bytes[s->count] = '\0';
  return true;
}

static void
use (struct stream *s, size_t n)
{
  memmove (s->bytes, s->bytes + n, s->count - n);
  s->count -= n;
  s->bytes[s->count] = '\0';
}

bool
msg_field (const struct msg *m, const char *name, char *to, size_t size)
{
  const char *line = m->head;
  size_t length = strlen (name);

  while (*line != '\0')
    {
      const char *end = strstr (line, "\r\n");
      if (end == NULL)
        break;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;
          while (*value == ' ')
            value++;
          snprintf (to, size, "%.*s", (int)(end - value), value);
          return true;
        }
      line = end + 2;
    }
  to[0] = '\0';
  return false;
}

/* Read a message; of an answer if IS_ANSWER.  The caller frees its body.  */
static bool
read_msg (struct stream *s, struct msg *m, bool is_answer)
{
  char *end;
  char *line;
  char value[64];
  size_t head;

  memset (m, 0, sizeof *m);
  while (s->count == 0 || (end = strstr (s->bytes, "\r\n\r\n")) == NULL)
    if (!more (s))
      return false;
  head = (size_t)(end - s->bytes) + 4;
  line = strstr (s->bytes, "\r\n");
  if (is_answer)
    sscanf (s->bytes, "HTTP/1.%*d %d", &m->status);
  else
    sscanf (s->bytes, "%15s %511s", m->method, m->target);
  snprintf (m->head, sizeof m->head, "%.*s",
            (int)(head - 2 - (line + 2 - s->bytes)), line + 2);
  use (s, head);
  if (msg_field (m, "Transfer-Encoding", value, sizeof value))
    {
      for (;;)
        {
          size_t size;
          while (s->count == 0 || (end = strstr (s->bytes, "\r\n")) == NULL)
            if (!more (s))
              return false;
          size = strtoul (s->bytes, NULL, 16);
          use (s, (size_t)(end - s->bytes) + 2);
          while (s->count < size + 2)
            if (!more (s))
              return false;
          m->body = realloc (m->body, m->length + size + 1);
          memcpy (m->body + m->length, s->bytes, size);
          m->length += size;
          use (s, size + 2);
          if (size == 0)
            return true;
        }
    }
  if (msg_field (m, "Content-Length", value, sizeof value))
    {
      m->length = strtoul (value, NULL, 10);
      while (s->count < m->length)
        if (!more (s))
          return false;
      m->body = malloc (m->length + 1);
      memcpy (m->body, s->bytes, m->length);
      m->body[m->length] = '\0';
      use (s, m->length);
    }
  return true;
}

static bool
answer (int fd, int status, const char *fields, const char *body,
        size_t length)
{
  char head[2048];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n", status,
                    length, fields);

  return send_all (fd, head, (size_t)n) && send_all (fd, body, length);
}

/* Answer 200 with a body of LENGTH bytes.  */
static bool
answer_long (int fd, const char *fields, size_t length)
{
  struct timeval unread = { 5, 0 }; /* what is not read is cut off */
  char *body = malloc (length);
  bool sent;

  memset (body, 'd', length);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &unread, sizeof unread);
  sent = answer (fd, 200, fields, body, length);
  free (body);
  if (!sent)
    record ("server: an answer of %zu bytes was not taken to its end", length);
  return sent;
}

/* The platform's store */

struct entry
{
  char *bytes; /* key length, key, value */
  size_t length;
};

struct topic
{
  char name[TEXT];
  struct entry *entries;
  size_t count;
};

static struct topic topics[16];
static int topic_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static struct topic *
topic_named (const char *name)
{
  int i;

  for (i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  snprintf (topics[topic_count].name, TEXT, "%s", name);
  return &topics[topic_count++];
}

static void
topic_add (struct topic *t, const char *bytes, size_t length)
{
  t->entries = realloc (t->entries, (t->count + 1) * sizeof *t->entries);
  t->entries[t->count].bytes = malloc (length + 1);
  memcpy (t->entries[t->count].bytes, bytes, length);
  t->entries[t->count].length = length;
  t->count++;
  pthread_cond_broadcast (&store_changed);
}

/* Append a record with KEY and VALUE to the keyed topic NAME.  */
void
rig_put (const char *name, const char *key, const char *value, size_t length)
{
  size_t key_length = strlen (key);
  char *bytes = malloc (1 + key_length + length);

  bytes[0] = (char)key_length;
  memcpy (bytes + 1, key, key_length);
  memcpy (bytes + 1 + key_length, value, length);
  pthread_mutex_lock (&store_lock);
  topic_add (topic_named (name), bytes, 1 + key_length + length);
  pthread_mutex_unlock (&store_lock);
  free (bytes);
}

void
rig_put_config (const char *config)
{
  rig_put ("keyed.op", "config", config, strlen (config));
  record ("operator: a configuration was acknowledged");
}

static unsigned long long
query_number (const char *target, const char *name, unsigned long long other)
{
  char pattern[TEXT];
  const char *at;

  snprintf (pattern, sizeof pattern, "%s=", name);
  for (at = strchr (target, '?'); at != NULL; at = strchr (at + 1, '&'))
    if (strncmp (at + 1, pattern, strlen (pattern)) == 0)
      return strtoull (at + 1 + strlen (pattern), NULL, 10);
  return other;
}

static void
query_text (const char *target, const char *name, char *to, size_t size)
{
  char pattern[TEXT];
  const char *at;

  to[0] = '\0';
  snprintf (pattern, sizeof pattern, "%s=", name);
  for (at = strchr (target, '?'); at != NULL; at = strchr (at + 1, '&'))
    if (strncmp (at + 1, pattern, strlen (pattern)) == 0)
      {
        const char *value = at + 1 + strlen (pattern);
        snprintf (to, size, "%.*s", (int)strcspn (value, "&"), value);
      }
}

static void
put32 (char *to, uint32_t n)
{
  n = htonl (n);
  memcpy (to, &n, 4);
}

static void
put64 (char *to, uint64_t n)
{
  put32 (to, (uint32_t)(n >> 32));
  put32 (to + 4, (uint32_t)n);
}

static size_t
base64 (const unsigned char *from, size_t n, char *to)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t i, o = 0;

  for (i = 0; i < n; i += 3)
    {
      uint32_t v = (uint32_t)from[i] << 16
                   | (i + 1 < n ? (uint32_t)from[i + 1] << 8 : 0)
                   | (i + 2 < n ? from[i + 2] : 0);
      to[o++] = digits[v >> 18];
      to[o++] = digits[v >> 12 & 63];
      to[o++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
      to[o++] = i + 2 < n ? digits[v & 63] : '=';
    }
  to[o] = '\0';
  return o;
}

static void
store_append (int fd, const struct msg *m, struct topic *t)
{
  char text[256];
  size_t at = 0;
  unsigned long long offset;
  int status = 200;

  pthread_mutex_lock (&store_lock);
  offset = t->count;
  if (query_number (m->target, "at", offset) != offset)
    status = 412;
  while (status == 200 && at + 4 <= m->length)
    {
      uint32_t length;
      memcpy (&length, m->body + at, 4);
      length = ntohl (length);
      if (at + 4 + length > m->length)
        break;
      topic_add (t, m->body + at + 4, length);
      at += 4 + length;
    }
  snprintf (text, sizeof text, "{\"offset\":%llu,\"end\":%zu}", offset,
            t->count);
  pthread_mutex_unlock (&store_lock);
  answer (fd, status, "Content-Type: application/json\r\n", text,
          strlen (text));
}

static void
store_read (int fd, const struct msg *m, struct topic *t)
{
  unsigned long long from = query_number (m->target, "from", 0);
  unsigned long long wait = query_number (m->target, "wait-ms", 0);
  struct timespec until;
  size_t size = 16;
  size_t i;
  char *bytes;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += (time_t)(wait / 1000);
  pthread_mutex_lock (&store_lock);
  if (from > t->count)
    {
      pthread_mutex_unlock (&store_lock);
      answer (fd, 410, "Content-Type: application/json\r\n", "{\"first\":0}",
              11);
      return;
    }
  while (wait > 0 && from == t->count && !rig.stop)
    if (pthread_cond_timedwait (&store_changed, &store_lock, &until) != 0)
      break;
  bytes = malloc (16);
  put64 (bytes, t->count);
  put64 (bytes + 8, 0);
  for (i = (size_t)from; i < t->count && size < 1000000; i++)
    {
      bytes = realloc (bytes, size + 4 + t->entries[i].length);
      put32 (bytes + size, (uint32_t)t->entries[i].length);
      memcpy (bytes + size + 4, t->entries[i].bytes, t->entries[i].length);
      size += 4 + t->entries[i].length;
    }
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, "", bytes, size);
  free (bytes);
}

static bool
same_key (const struct entry *a, const struct entry *b)
{
  return a->bytes[0] == b->bytes[0]
         && memcmp (a->bytes, b->bytes, (size_t)(unsigned char)a->bytes[0] + 1)
                == 0;
}

/* The newest record of each key, all on one page.  */
static void
store_newest (int fd, const struct msg *m, struct topic *t)
{
  size_t size = 0, i, k;
  char *text;
  bool first = true;

  (void)m;
  pthread_mutex_lock (&store_lock);
  for (i = 0; i < t->count; i++)
    size += t->entries[i].length * 2 + 400;
  text = malloc (size + 256);
  size = (size_t)sprintf (text, "{\"items\":[");
  for (i = 0; i < t->count; i++)
    {
      const struct entry *e = &t->entries[i];
      size_t key = (unsigned char)e->bytes[0];
      for (k = i + 1; k < t->count && !same_key (e, &t->entries[k]); k++)
        ;
      if (k < t->count || e->length <= key + 1)
        continue;
      size += (size_t)sprintf (text + size, "%s{\"key\":\"%.*s\",\"value\":\"",
                               first ? "" : ",", (int)key, e->bytes + 1);
      size += base64 ((const unsigned char *)e->bytes + 1 + key,
                      e->length - 1 - key, text + size);
      size += (size_t)sprintf (text + size, "\",\"offset\":%zu}", i);
      first = false;
    }
  size += (size_t)sprintf (text + size, "],\"has-more\":false,\"end\":%zu}",
                           t->count);
  pthread_mutex_unlock (&store_lock);
  answer (fd, 200, "Content-Type: application/json\r\n", text, size);
  free (text);
}

static void *
store_conn (void *data)
{
  struct stream s = { .fd = (int)(intptr_t)data };
  struct msg *m = malloc (sizeof *m);

  while (read_msg (&s, m, false))
    {
      char name[TEXT];
      struct topic *t;
      query_text (m->target, "topic", name, sizeof name);
      pthread_mutex_lock (&store_lock);
      t = topic_named (name);
      pthread_mutex_unlock (&store_lock);
      if (strncmp (m->target, "/api/log-append", 15) == 0)
        store_append (s.fd, m, t);
      else if (strncmp (m->target, "/api/log-read", 13) == 0)
        store_read (s.fd, m, t);
      else if (strncmp (m->target, "/api/log-newest", 15) == 0)
        store_newest (s.fd, m, t);
      else
        answer (s.fd, 404, "", "", 0);
      free (m->body);
    }
  close (s.fd);
  free (s.bytes);
  free (m);
  return NULL;
}

static void
start_thread (void *(*fn) (void *), void *data)
{
  pthread_attr_t a;
  pthread_t t;

  pthread_attr_init (&a);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&a, 512 * 1024);
  if (pthread_create (&t, &a, fn, data) != 0)
    {
      fprintf (stderr, "no thread\n");
      exit (2);
    }
  pthread_attr_destroy (&a);
}

static void *
store_accept (void *data)
{
  int listener = (int)(intptr_t)data;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      int one = 1;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (store_conn, (void *)(intptr_t)fd);
    }
}

/* Backend servers */

bool
server_holds (struct server *server, int key)
{
  bool holds;

  pthread_mutex_lock (&server->lock);
  holds = server->up && server->fence[key] != 0
          && now_ms () < server->hold_until;
  pthread_mutex_unlock (&server->lock);
  return holds;
}

/* A connection of a life of a server.  */
struct server_conn
{
  struct server *server;
  int fd;
  int life;
};

static void *server_accept (void *data);

/* Begin a new life of SERVER, which holds nothing.  */
static void
server_begin (struct server *v)
{
  pthread_mutex_lock (&v->lock);
  v->life++;
  v->born = unix_ms ();
  snprintf (v->id, sizeof v->id, "i-%02d%06llx", v->index,
            (unsigned long long)v->born & 0xffffff);
  v->seq = 0;
  v->running = 0;
  v->conn_count = 0;
  memset (v->fence, 0, sizeof v->fence);
  memset (v->max_fence, 0, sizeof v->max_fence);
  v->hold_until = 0;
  v->freed[0] = '\0';
  v->listener = listen_on (v->port);
  v->up = v->listener >= 0;
  pthread_mutex_unlock (&v->lock);
  record ("server %d: starts as %s at port %d%s", v->index, v->id, v->port,
          v->up ? "" : " (cannot listen)");
  start_thread (server_accept, v);
}

static void *
server_back (void *data)
{
  sleep_ms (crash_down_ms);
  if (!rig.stop)
    server_begin (data);
  return NULL;
}

/* The process of SERVER dies: all its connections are reset.  */
static void
server_crash (struct server *v)
{
  struct linger drop = { 1, 0 };
  int i;

  pthread_mutex_lock (&v->lock);
  v->up = false;
  v->life++;
  record ("server %d: %s crashes, %d requests were running", v->index, v->id,
          v->running);
  shutdown (v->listener, SHUT_RDWR);
  close (v->listener);
  for (i = 0; i < v->conn_count; i++)
    if (v->conns[i] >= 0)
      {
        setsockopt (v->conns[i], SOL_SOCKET, SO_LINGER, &drop, sizeof drop);
        /* A connect to no address resets an open connection at once.  */
        struct sockaddr none = { .sa_family = AF_UNSPEC };
        connect (v->conns[i], &none, sizeof none);
      }
  v->conn_count = 0;
  pthread_mutex_unlock (&v->lock);
  start_thread (server_back, v);
}

static void
load_field (struct server *v, char *to, size_t size)
{
  int running = v->running;

  snprintf (to, size, "Server-Load: %d,%d,%d\r\n",
            running < v->slots ? running : v->slots,
            running > v->slots ? running - v->slots : 0, v->slots);
}

/* Serve one request.  Returns false if the connection is to end.  */
static bool
serve (struct server_conn *c, const struct msg *m)
{
  struct server *v = c->server;
  char id[TEXT], expected[TEXT], key[TEXT], caller[TEXT];
  char fields[768], load[TEXT], body[512];
  int work;
  int status = 200;

  msg_field (m, "Request-Id", id, sizeof id);
  msg_field (m, "Caller-Service", caller, sizeof caller);
  pthread_mutex_lock (&v->lock);
  if (id[0] == '\0')
    status = 400;
  else if (msg_field (m, "Expect-Instance", expected, sizeof expected)
           && strcmp (expected, v->id) != 0)
    status = 421;
  else if (v->sharded
           && (!msg_field (m, "Shard-Key", key, sizeof key)
               || v->fence[atoi (key) & (KEYS - 1)] == 0
               || now_ms () >= v->hold_until))
    status = 421;
  else if (v->running >= v->slots + QUEUE)
    status = 503;
  else
    v->running++;
  load_field (v, load, sizeof load);
  snprintf (fields, sizeof fields, "Request-Id: %s\r\nInstance-Id: %s\r\n%s%s",
            id, v->id, load, status != 200 ? "Not-Executed: 1\r\n" : "");
  pthread_mutex_unlock (&v->lock);
  if (status != 200)
    {
      record ("server %d: %s answers %d to %s, not run", v->index, v->id,
              status, id);
      return answer (c->fd, status, fields, "", 0);
    }
  work = on_run (v, m);
  if (work < 0)
    {
      server_crash (v);
      return false;
    }
  sleep_ms (work);
  pthread_mutex_lock (&v->lock);
  if (v->life != c->life)
    {
      pthread_mutex_unlock (&v->lock);
      return false;
    }
  v->running--;
  load_field (v, load, sizeof load);
  pthread_mutex_unlock (&v->lock);
  snprintf (fields, sizeof fields,
            "Request-Id: %s\r\nInstance-Id: %s\r\nServer-Stamp: s.%s.%s\r\n%s",
            id, v->id, v->id, id, load);
  snprintf (body, sizeof body, "answer of %s to %s\n", v->id, id);
  if (on_size != NULL && on_size (m) > 0)
    return answer_long (c->fd, fields, on_size (m));
  return answer (c->fd, 200, fields, body, strlen (body));
}

static void *
server_conn (void *data)
{
  struct server_conn *c = data;
  struct stream s = { .fd = c->fd };
  struct msg *m = malloc (sizeof *m);
  int i;

  while (read_msg (&s, m, false))
    {
      bool go_on = serve (c, m);
      free (m->body);
      if (!go_on)
        break;
    }
  pthread_mutex_lock (&c->server->lock);
  if (c->server->life == c->life)
    for (i = 0; i < c->server->conn_count; i++)
      if (c->server->conns[i] == c->fd)
        c->server->conns[i] = -1;
  close (c->fd);
  pthread_mutex_unlock (&c->server->lock);
  free (s.bytes);
  free (m);
  free (c);
  return NULL;
}

static void *
server_accept (void *data)
{
  struct server *v = data;
  int life = v->life;
  int listener = v->listener;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      int one = 1;
      int i;
      struct server_conn *c;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      pthread_mutex_lock (&v->lock);
      for (i = 0; i < v->conn_count && v->conns[i] >= 0; i++)
        ;
      if (v->life != life || i >= 256)
        {
          pthread_mutex_unlock (&v->lock);
          close (fd);
          if (v->life != life)
            return NULL;
          continue;
        }
      v->conns[i] = fd;
      if (i == v->conn_count)
        v->conn_count++;
      pthread_mutex_unlock (&v->lock);
      c = malloc (sizeof *c);
      *c = (struct server_conn){ v, fd, life };
      start_thread (server_conn, c);
    }
}

/* Heartbeats */

/* Write the rows of what V holds.  */
static size_t
write_holds (const struct server *v, char *to, size_t size)
{
  size_t n = 0;
  int k = 0;
  bool live = now_ms () < v->hold_until;

  while (live && k < KEYS && n + 64 < size)
    {
      int first = k;
      uint64_t fence = v->fence[k];
      while (k < KEYS && v->fence[k] == fence)
        k++;
      if (fence != 0)
        n += (size_t)sprintf (to + n, "%s[%d,%d,%llu]", n > 0 ? "," : "",
                              first, k - 1, (unsigned long long)fence);
    }
  to[n] = '\0';
  return n;
}

/* Take over the rows of ANSWER, to a heartbeat sent at SENT_AT.  Returns
   whether something was released.  */
static bool
take_holds (struct server *v, const char *text, long long sent_at)
{
  const char *at = strstr (text, "\"holds\"");
  const char *hold = strstr (text, "\"hold-ms\":");
  uint64_t *given;
  bool released = false;
  int k;

  if (at == NULL || hold == NULL)
    return false;
  given = calloc (KEYS, sizeof *given);
  at = strchr (at, '[');
  while (at != NULL && (at = strchr (at + 1, '[')) != NULL)
    {
      int first, last;
      unsigned long long fence;
      bool taken = true;
      if (sscanf (at, "[%d,%d,%llu,", &first, &last, &fence) != 3)
        break;
      for (k = first; k <= last; k++)
        taken = taken && fence >= v->max_fence[k];
      for (k = first; taken && k <= last; k++)
        given[k] = v->max_fence[k] = fence;
    }
  if (now_ms () >= v->hold_until)
    memset (v->fence, 0, sizeof v->fence);
  for (k = 0; k < KEYS;)
    {
      int first = k;
      while (k < KEYS && v->fence[k] != 0 && given[k] == 0)
        k++;
      if (k > first)
        {
          size_t n = strlen (v->freed);
          if (n + 96 < sizeof v->freed)
            sprintf (v->freed + n, "%s[%d,%d,\"t%d.%lld.%d\"]",
                     n > 0 ? "," : "", first, k - 1, v->index, sent_at, first);
          released = true;
        }
      else
        k++;
    }
  memcpy (v->fence, given, KEYS * sizeof *given);
  free (given);
  v->hold_until = sent_at + atoi (hold + strlen ("\"hold-ms\":"));
  return released;
}

int
call_json (int port, const char *method, const char *target, const char *json,
           char *to, size_t size, int timeout_ms)
{
  struct stream s = { .fd = connect_to (port, timeout_ms) };
  struct msg *m = malloc (sizeof *m);
  char head[512];
  int status = 0;
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: control\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                    method, target, strlen (json));

  if (to != NULL)
    to[0] = '\0';
  if (s.fd >= 0 && send_all (s.fd, head, (size_t)n)
      && send_all (s.fd, json, strlen (json)) && read_msg (&s, m, true))
    {
      status = m->status;
      if (to != NULL && m->body != NULL)
        snprintf (to, size, "%s", m->body);
      free (m->body);
    }
  if (s.fd >= 0)
    close (s.fd);
  free (s.bytes);
  free (m);
  return status;
}

static void *
server_beats (void *data)
{
  struct node *node = data;
  struct server *v = node->server;
  size_t size = 262144;
  char *json = malloc (size), *holds = malloc (size), *reply = malloc (size);

  sleep_ms (100 + 90 * v->index);
  while (!rig.stop)
    {
      char target[TEXT + 32];
      long long sent_at = now_ms ();
      int life;
      int status;
      bool released = false;
      pthread_mutex_lock (&v->lock);
      life = v->life;
      if (!v->up || !v->beats)
        {
          pthread_mutex_unlock (&v->lock);
          sleep_ms (50);
          continue;
        }
      write_holds (v, holds, size);
      snprintf (json, size,
                "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{"
                "\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
                "\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%lld,"
                "\"cold-left-ms\":0},\"holds\":[%s],\"freed\":[%s]}",
                rig.ip, v->port, v->born, v->service, node->zone, v->slots,
                v->draining ? "draining" : "ready", ++v->seq, holds, v->freed);
      snprintf (target, sizeof target, "/api/instances/%s", v->id);
      pthread_mutex_unlock (&v->lock);
      status
          = call_json (node->control, "PUT", target, json, reply, size, 1000);
      pthread_mutex_lock (&v->lock);
      if (status == 200 && v->life == life)
        {
          v->freed[0] = '\0';
          if (v->sharded)
            released = take_holds (v, reply, sent_at);
        }
      pthread_mutex_unlock (&v->lock);
      sleep_ms (released ? 50 : BEAT_MS - 20);
    }
  free (json);
  free (holds);
  free (reply);
  return NULL;
}

/* Clients */

int
client_send (int port, const char *method, const char *host, const char *path,
             const char *id, int key, const char *body, size_t length,
             int deadline_ms, char *stamp, size_t size)
{
  struct stream s = { .fd = connect_to (port, deadline_ms) };
  struct msg *m = malloc (sizeof *m);
  char head[1024], shard[64] = "";
  int status = 0;
  int n;

  if (key >= 0)
    snprintf (shard, sizeof shard, "Shard-Key: %d\r\n", key);
  n = snprintf (head, sizeof head,
                "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                "Deadline-Ms: %d\r\n%s%sConnection: close\r\n",
                method, path, host, id, deadline_ms, shard, "");
  if (length > 0 || strcmp (method, "POST") == 0)
    n += snprintf (head + n, sizeof head - (size_t)n,
                   "Content-Length: %zu\r\n", length);
  n += snprintf (head + n, sizeof head - (size_t)n, "\r\n");
  if (stamp != NULL)
    stamp[0] = '\0';
  if (s.fd >= 0 && send_all (s.fd, head, (size_t)n)
      && send_all (s.fd, body, length) && read_msg (&s, m, true))
    {
      status = m->status;
      if (stamp != NULL)
        msg_field (m, "Server-Stamp", stamp, size);
      free (m->body);
    }
  if (s.fd >= 0)
    close (s.fd);
  free (s.bytes);
  free (m);
  return status;
}

int
client_connect (int port, int rcvbuf)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = loopback (port);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof rcvbuf);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Nodes */

static void
write_settings (const struct node *node)
{
  FILE *f = fopen (node->file, "w");

  if (f == NULL)
    exit (2);
  fprintf (f,
           "[node]\nhost = sidecar-%s-%d\nzone = %s\nservice = %s\n\n"
           "[listen]\ncallers = %s:%d\ncontrol = %s:%d\n"
           "ready = %s:%d\nmetrics = %s:%d\n"
           "peers = %s:%d\n\n"
           "[server]\naddress = %s:%d\nbeat-ms = %d\n"
           "grants = heartbeat\n\n[store]\naddress = %s:%d\n\n"
           "[bounds]\nhold-max-ms = 10000\ndrain-ms = 2000\n"
           "config-apply-ms = 2000\n\ngrace-seconds = 6\n\n"
           "[limits]\nmemory-mb = %d\nmax-fds = 4100\nlink-mbps = 1000.0\n\n"
           "[journal]\nlevel = info\n",
           node->zone, node->index, node->zone, node->server->service, rig.ip,
           node->callers, rig.ip, node->control, rig.ip, node->ready, rig.ip,
           node->metrics, rig.ip, node->peers, rig.ip, node->server->port,
           BEAT_MS, rig.ip, rig.store_port, memory_mb);
  fclose (f);
}

void
rig_start_node (struct node *node)
{
  char log[600];

  snprintf (log, sizeof log, "%s/node-%d.log", rig.dir, node->index);
  node->pid = fork ();
  if (node->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("BAMBOOTALLY_CONFIG", node->file, 1);
      execl (PROGRAM, PROGRAM, (char *)NULL);
      _exit (127);
    }
  record ("node %d: starts", node->index);
}

static void
free_ports (int *ports, int count)
{
  int fds[NODES_MAX * 6 + 1];
  int i;

  for (i = 0; i < count; i++)
    {
      fds[i] = listen_on (0);
      ports[i] = port_of (fds[i]);
    }
  for (i = 0; i < count; i++)
    close (fds[i]);
}

void
rig_start (int count, const char *const *services, const bool *sharded,
           const char *config)
{
  static const char *const zones[] = { "caerdydd", "abertawe", "wrecsam" };
  int ports[NODES_MAX * 6 + 1];
  const char *trouble = getenv ("TROUBLE");
  const char *tmp = getenv ("RIG_DIR");
  int store;
  int i;

  started_at = now_ms ();
  signal (SIGPIPE, SIG_IGN);
  record_file = fopen (
      getenv ("RECORD") != NULL ? getenv ("RECORD") : "record.txt", "w");
  rig.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (rig.dir, sizeof rig.dir, "%s", tmp != NULL ? tmp : ".");
  record ("with%s the disruption", rig.trouble ? "" : "out");
  snprintf (rig.ip, sizeof rig.ip, "127.%d.%d.1", 1 + getpid () / 250 % 250,
            1 + getpid () % 250);
  store = listen_on (0);
  rig.store_port = port_of (store);
  start_thread (store_accept, (void *)(intptr_t)store);
  rig_put_config (config);
  free_ports (ports, count * 6);
  rig.node_count = count;
  for (i = 0; i < count; i++)
    {
      struct node *node = &rig.nodes[i];
      struct server *v = &rig.servers[i];
      *node = (struct node){ .index = i,
                             .callers = ports[6 * i],
                             .control = ports[6 * i + 1],
                             .ready = ports[6 * i + 2],
                             .metrics = ports[6 * i + 3],
                             .peers = ports[6 * i + 4],
                             .server = v };
      snprintf (node->zone, sizeof node->zone, "%s", zones[i % 3]);
      snprintf (node->file, sizeof node->file, "%s/node-%d.ini", rig.dir, i);
      v->index = i;
      v->port = ports[6 * i + 5];
      v->service = services[i];
      v->sharded = sharded[i];
      v->slots = 18;
      v->beats = true;
      pthread_mutex_init (&v->lock, NULL);
      server_begin (v);
      write_settings (node);
      rig_start_node (node);
      start_thread (server_beats, node);
    }
}

bool
rig_wait_ready (int timeout_ms)
{
  long long until = now_ms () + timeout_ms;
  int i = 0;

  while (i < rig.node_count && now_ms () < until)
    if (call_json (rig.nodes[i].ready, "GET", "/api/ready", "", NULL, 0, 500)
        == 200)
      i++;
    else
      sleep_ms (50);
  record (i == rig.node_count ? "all nodes are ready" : "not all are ready");
  return i == rig.node_count;
}

/* End all processes that were started.  */
void
rig_end (void)
{
  int i;

  rig.stop = true;
  for (i = 0; i < rig.node_count; i++)
    if (rig.nodes[i].pid > 0)
      kill (rig.nodes[i].pid, SIGKILL);
  for (i = 0; i < rig.node_count; i++)
    if (rig.nodes[i].pid > 0)
      {
        int status;
        pid_t pid = waitpid (rig.nodes[i].pid, &status, 0);
        if (pid > 0 && WIFEXITED (status))
          record ("node %d had ended by itself: %d", i, WEXITSTATUS (status));
        else if (pid > 0 && WIFSIGNALED (status)
                 && WTERMSIG (status) != SIGKILL)
          record ("node %d had died of signal %d", i, WTERMSIG (status));
      }
}
