#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NODES_MAX 16
#define PORT_MIN 12000
#define PORT_COUNT 18000
#define PORTS_EACH 60 /* scripts that run at once start so far apart */

bool rig_trouble = true;
int (*store_late_ms) (const struct store_append_info *info);

static FILE *record_file;
static char temporary[256];
static int64_t started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct node *nodes[NODES_MAX];
static int node_count;

/* General */

static int64_t
clock_ms (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
rig_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - started_at;
}

void
rig_sleep (int64_t ms)
{
  if (ms > 0)
    usleep ((useconds_t)ms * 1000);
}

void
rig_sleep_until (int64_t ms)
{
  rig_sleep (ms - rig_ms ());
}

void
rig_record (const char *format, ...)
{
  va_list args;
  int64_t now = rig_ms ();

  pthread_mutex_lock (&record_lock);
  va_start (args, format);
  fprintf (record_file, "%8.3f ", (double)now / 1000);
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  fflush (record_file);
  va_end (args);
  pthread_mutex_unlock (&record_lock);
}

void
rig_init (int argc, char **argv)
{
  char path[512];
  const char *trouble = getenv ("TROUBLE");
  const char *folder = getenv ("TMPDIR");

  started_at = clock_ms (CLOCK_MONOTONIC);
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    {
      fprintf (stderr, "usage: %s FOLDER\n", argv[0]);
      exit (2);
    }
  rig_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  record_file = fopen (path, "w");
  snprintf (temporary, sizeof temporary, "%s/review-XXXXXX",
            folder != NULL ? folder : "/tmp");
  if (record_file == NULL || mkdtemp (temporary) == NULL)
    {
      perror ("rig");
      exit (2);
    }
  rig_record ("start trouble=%d", rig_trouble);
}

/* Ends all nodes, removes the temporary folder and exits.  */
void
rig_end (int status)
{
  int i;

  for (i = 0; i < node_count; i++)
    {
      if (nodes[i]->pid > 0)
        {
          kill (nodes[i]->pid, SIGKILL);
          waitpid (nodes[i]->pid, NULL, 0);
        }
      if (getenv ("RIG_KEEP") == NULL)
        {
          unlink (nodes[i]->settings);
          unlink (nodes[i]->log);
        }
    }
  if (getenv ("RIG_KEEP") == NULL)
    rmdir (temporary);
  rig_record ("end status=%d", status);
  fflush (stdout);
  fclose (record_file);
  _exit (status);
}

void
rig_fail (const char *why)
{
  rig_record ("cannot run: %s", why);
  fprintf (stderr, "cannot run: %s\n", why);
  rig_end (2);
}

void
rig_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    rig_fail ("no thread");
  pthread_attr_destroy (&attributes);
}

/* Sockets */

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

/* Returns a port on which nothing listens, below those that the system gives
   to outgoing connections.  */
int
rig_free_port (void)
{
  static int next;
  int tries;

  if (next == 0)
    next = getpid () * PORTS_EACH % PORT_COUNT;
  for (tries = 0; tries < 1000; tries++)
    {
      int port = PORT_MIN + next++ % PORT_COUNT;
      struct sockaddr_in address = loopback (port);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      bool is_free
          = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  rig_fail ("no free port");
}

int
rig_listen (int port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 256) != 0)
    rig_fail ("cannot listen");
  return fd;
}

static void
set_timeout (int fd, int timeout_ms)
{
  struct timeval limit
      = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

int
rig_connect (int port, int timeout_ms)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  set_timeout (fd, timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

bool
http_send (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t count = send (fd, at, length, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      at += count;
      length -= (size_t)count;
    }
  return true;
}

/* HTTP */

void
http_in_init (struct http_in *in, int fd)
{
  in->fd = fd;
  in->length = 0;
  in->size = TEXT_MAX;
  in->bytes = malloc (in->size);
}

void
http_in_clear (struct http_in *in)
{
  free (in->bytes);
}

static bool
read_more (struct http_in *in)
{
  ssize_t count;

  if (in->size - in->length < 16384)
    {
      in->size *= 2;
      in->bytes = realloc (in->bytes, in->size);
    }
  count = recv (in->fd, in->bytes + in->length, in->size - in->length, 0);
  if (count <= 0)
    return false;
  in->length += (size_t)count;
  return true;
}

static void
consume (struct http_in *in, size_t length)
{
  memmove (in->bytes, in->bytes + length, in->length - length);
  in->length -= length;
}

bool
http_header (const struct http_head *head, const char *name, char *value,
             size_t size)
{
  const char *line = strchr (head->line, '\n');
  size_t name_length = strlen (name);

  value[0] = '\0';
  while (line != NULL && line[1] != '\0')
    {
      const char *at = line + 1;
      const char *end = strchr (at, '\n');
      if (strncasecmp (at, name, name_length) == 0 && at[name_length] == ':')
        {
          size_t length;
          at += name_length + 1;
          while (*at == ' ')
            at++;
          length = end != NULL ? (size_t)(end - at) : strlen (at);
          if (length >= size)
            length = size - 1;
          memcpy (value, at, length);
          value[length] = '\0';
          return true;
        }
      line = end;
    }
  return false;
}

bool
http_read_head (struct http_in *in, struct http_head *head)
{
  char *end;
  size_t length;
  size_t i;
  size_t k = 0;
  char value[64];

  while ((end = memmem (in->bytes, in->length, "\r\n\r\n", 4)) == NULL)
    if (!read_more (in))
      return false;
  length = (size_t)(end - in->bytes);
  for (i = 0; i < length && k < sizeof head->line - 2; i++)
    if (in->bytes[i] != '\r')
      head->line[k++] = in->bytes[i];
  head->line[k++] = '\n';
  head->line[k] = '\0';
  consume (in, length + 4);
  head->status = 0;
  head->method[0] = '\0';
  if (strncmp (head->line, "HTTP/", 5) == 0)
    head->status = atoi (head->line + 9);
  else if (sscanf (head->line, "%15s %2047s", head->method, head->target) != 2)
    return false;
  head->body_length = head->status != 0 ? -2 : 0;
  if (http_header (head, "Transfer-Encoding", value, sizeof value))
    head->body_length = -1;
  else if (http_header (head, "Content-Length", value, sizeof value))
    head->body_length = atol (value);
  return true;
}

static void
append_to (char **body, size_t *length, const char *bytes, size_t count)
{
  *body = realloc (*body, *length + count + 1);
  memcpy (*body + *length, bytes, count);
  *length += count;
  (*body)[*length] = '\0';
}

static bool
read_count (struct http_in *in, size_t count, char **body, size_t *length)
{
  while (count > 0)
    {
      size_t part;
      if (in->length == 0 && !read_more (in))
        return false;
      part = in->length < count ? in->length : count;
      append_to (body, length, in->bytes, part);
      consume (in, part);
      count -= part;
    }
  return true;
}

/* Reads a whole body.  Free *BODY.  Returns false if it breaks off.  */
bool
http_read_body (struct http_in *in, const struct http_head *head, char **body,
                size_t *length)
{
  *body = calloc (1, 1);
  *length = 0;
  if (head->body_length >= 0)
    return read_count (in, (size_t)head->body_length, body, length);
  if (head->body_length == -2)
    {
      do
        {
          append_to (body, length, in->bytes, in->length);
          in->length = 0;
        }
      while (read_more (in));
      return true;
    }
  while (true)
    {
      char *end;
      unsigned long size;
      while ((end = memmem (in->bytes, in->length, "\r\n", 2)) == NULL)
        if (!read_more (in))
          return false;
      size = strtoul (in->bytes, NULL, 16);
      consume (in, (size_t)(end - in->bytes) + 2);
      if (!read_count (in, size, body, length))
        return false;
      while (in->length < 2)
        if (!read_more (in))
          return false;
      consume (in, 2);
      if (size == 0)
        return true;
    }
}

/* The store */

struct log_record
{
  unsigned char *bytes;
  size_t length;
};
struct topic
{
  char name[64];
  struct log_record *records;
  long count;
};

#define TOPICS_MAX 16
static struct topic topics[TOPICS_MAX];
static int topic_count;
static enum store_mode store_mode;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static struct topic *
find_topic (const char *name)
{
  int i;

  for (i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  if (topic_count == TOPICS_MAX)
    rig_fail ("too many topics");
  snprintf (topics[topic_count].name, sizeof topics[0].name, "%s", name);
  return &topics[topic_count++];
}

static void
add_record (struct topic *topic, const unsigned char *bytes, size_t length)
{
  struct log_record *record;

  topic->records = realloc (topic->records,
                            (size_t)(topic->count + 1) * sizeof *record);
  record = &topic->records[topic->count++];
  record->bytes = malloc (length + 1);
  memcpy (record->bytes, bytes, length);
  record->length = length;
  pthread_cond_broadcast (&store_changed);
}

void
store_put (const char *topic, const char *key, const char *value)
{
  size_t key_length = strlen (key);
  size_t length = 1 + key_length + strlen (value);
  unsigned char *bytes = malloc (length);

  bytes[0] = (unsigned char)key_length;
  memcpy (bytes + 1, key, key_length);
  memcpy (bytes + 1 + key_length, value, strlen (value));
  pthread_mutex_lock (&store_lock);
  add_record (find_topic (topic), bytes, length);
  pthread_mutex_unlock (&store_lock);
  free (bytes);
}

void
store_set_mode (enum store_mode mode)
{
  pthread_mutex_lock (&store_lock);
  store_mode = mode;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
  rig_record ("store %s", mode == STORE_SERVES ? "serves" : "is busy (503)");
}

static void
query_text (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  value[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          size_t count = strcspn (at + length + 1, "&");
          if (count >= size)
            count = size - 1;
          memcpy (value, at + length + 1, count);
          value[count] = '\0';
          return;
        }
      at = strchr (at, '&');
    }
}

static long
query_number (const char *target, const char *name, long otherwise)
{
  char text[32];

  query_text (target, name, text, sizeof text);
  return text[0] != '\0' ? atol (text) : otherwise;
}

static bool
answer_bytes (int fd, int status, const char *type, const void *bytes,
              size_t length)
{
  char head[256];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
            status, type, length);
  return http_send (fd, head, strlen (head)) && http_send (fd, bytes, length);
}

static void
put_big (unsigned char *to, uint64_t value, int bytes)
{
  int i;

  for (i = 0; i < bytes; i++)
    to[i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
}

/* Waits for records from FROM on and answers a read.  */
static bool
answer_read (int fd, const char *name, long from, long wait_ms)
{
  int64_t until = clock_ms (CLOCK_REALTIME) + wait_ms;
  struct timespec deadline = { until / 1000, (until % 1000) * 1000000 };
  struct topic *topic;
  unsigned char *bytes;
  size_t length = 16;
  long i;
  bool result;

  pthread_mutex_lock (&store_lock);
  topic = find_topic (name);
  while (topic->count <= from && store_mode == STORE_SERVES
         && clock_ms (CLOCK_REALTIME) < until)
    pthread_cond_timedwait (&store_changed, &store_lock, &deadline);
  if (store_mode != STORE_SERVES)
    {
      pthread_mutex_unlock (&store_lock);
      return answer_bytes (fd, 503, "text/plain", "", 0);
    }
  bytes = malloc (length);
  put_big (bytes, (uint64_t)topic->count, 8);
  put_big (bytes + 8, 0, 8);
  for (i = from; i < topic->count; i++)
    {
      const struct log_record *record = &topic->records[i];
      bytes = realloc (bytes, length + 4 + record->length);
      put_big (bytes + length, record->length, 4);
      memcpy (bytes + length + 4, record->bytes, record->length);
      length += 4 + record->length;
    }
  pthread_mutex_unlock (&store_lock);
  result = answer_bytes (fd, 200, "application/octet-stream", bytes, length);
  free (bytes);
  return result;
}

static void
append_base64 (char **text, size_t *length, const unsigned char *bytes,
               size_t count)
{
  static const char letters[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t i;

  for (i = 0; i < count; i += 3)
    {
      unsigned value = (unsigned)bytes[i] << 16;
      char out[4];
      if (i + 1 < count)
        value |= (unsigned)bytes[i + 1] << 8;
      if (i + 2 < count)
        value |= bytes[i + 2];
      out[0] = letters[value >> 18];
      out[1] = letters[value >> 12 & 63];
      out[2] = i + 1 < count ? letters[value >> 6 & 63] : '=';
      out[3] = i + 2 < count ? letters[value & 63] : '=';
      append_to (text, length, out, 4);
    }
}

static bool
same_key (const struct log_record *a, const struct log_record *b)
{
  return a->bytes[0] == b->bytes[0]
         && memcmp (a->bytes + 1, b->bytes + 1, a->bytes[0]) == 0;
}

static bool
answer_newest (int fd, const char *name)
{
  struct topic *topic;
  char *text = calloc (1, 1);
  size_t length = 0;
  char part[512];
  long i;
  long k;
  bool first = true;
  bool result;

  pthread_mutex_lock (&store_lock);
  topic = find_topic (name);
  append_to (&text, &length, "{\"items\":[", 10);
  for (i = 0; i < topic->count; i++)
    {
      const struct log_record *record = &topic->records[i];
      size_t key = record->bytes[0];
      for (k = i + 1; k < topic->count; k++)
        if (same_key (record, &topic->records[k]))
          break;
      if (k < topic->count || record->length <= 1 + key)
        continue;
      snprintf (part, sizeof part, "%s{\"key\":\"%.*s\",\"offset\":%ld,\"value\":\"",
                first ? "" : ",", (int)key, record->bytes + 1, i);
      first = false;
      append_to (&text, &length, part, strlen (part));
      append_base64 (&text, &length, record->bytes + 1 + key,
                     record->length - 1 - key);
      append_to (&text, &length, "\"}", 2);
    }
  snprintf (part, sizeof part, "],\"has-more\":false,\"end\":%ld}",
            topic->count);
  append_to (&text, &length, part, strlen (part));
  pthread_mutex_unlock (&store_lock);
  result = answer_bytes (fd, 200, "application/json", text, length);
  free (text);
  return result;
}

struct late_append
{
  char topic[64];
  long at;
  unsigned char *bytes;
  size_t length;
  int late_ms;
};

/* Carries out an append if its condition holds.  Returns the offset or -1.  */
static long
append_now (const char *name, long at, const unsigned char *bytes,
            size_t length, long *end)
{
  struct topic *topic;
  long offset = -1;

  pthread_mutex_lock (&store_lock);
  topic = find_topic (name);
  if (at < 0 || at == topic->count)
    {
      offset = topic->count;
      while (length >= 4)
        {
          size_t count = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16
                         | (size_t)bytes[2] << 8 | bytes[3];
          if (count > length - 4)
            break;
          add_record (topic, bytes + 4, count);
          bytes += 4 + count;
          length -= 4 + count;
        }
    }
  *end = topic->count;
  pthread_mutex_unlock (&store_lock);
  return offset;
}

static void *
run_late_append (void *data)
{
  struct late_append *late = data;
  long end;
  long offset;

  rig_sleep (late->late_ms);
  offset = append_now (late->topic, late->at, late->bytes, late->length, &end);
  rig_record ("store carries out a late append key=%.*s at=%ld offset=%ld",
              late->bytes[4], late->bytes + 5, late->at, offset);
  free (late->bytes);
  free (late);
  return NULL;
}

static bool
answer_append (int fd, const char *target, const char *name, const char *body,
               size_t length)
{
  struct store_append_info info = { 0 };
  char key[256];
  char text[128];
  long at = query_number (target, "at", -1);
  long end;
  long offset;
  int late_ms = 0;

  if (length >= 5 && (size_t)(unsigned char)body[4] + 5 <= length)
    {
      snprintf (key, sizeof key, "%.*s", (unsigned char)body[4], body + 5);
      info.key = key;
      info.value = body + 5 + (unsigned char)body[4];
      info.length = length - 5 - (unsigned char)body[4];
      info.at = at;
      if (store_late_ms != NULL)
        late_ms = store_late_ms (&info);
    }
  if (late_ms > 0)
    {
      struct late_append *late = malloc (sizeof *late);
      snprintf (late->topic, sizeof late->topic, "%s", name);
      late->at = at;
      late->bytes = malloc (length);
      memcpy (late->bytes, body, length);
      late->length = length;
      late->late_ms = late_ms;
      rig_record ("store gives no answer to an append key=%s at=%ld", key, at);
      rig_thread (run_late_append, late);
      pause ();
    }
  offset = append_now (name, at, (const unsigned char *)body, length, &end);
  if (offset < 0)
    {
      snprintf (text, sizeof text, "{\"end\":%ld}", end);
      return answer_bytes (fd, 412, "application/json", text, strlen (text));
    }
  snprintf (text, sizeof text, "{\"offset\":%ld,\"end\":%ld}", offset, end);
  return answer_bytes (fd, 200, "application/json", text, strlen (text));
}

static void *
run_store_connection (void *data)
{
  int fd = (int)(intptr_t)data;
  struct http_in in;
  struct http_head *head = malloc (sizeof *head);
  bool more = true;

  http_in_init (&in, fd);
  while (more && http_read_head (&in, head))
    {
      char name[64];
      char *body;
      size_t length;
      if (!http_read_body (&in, head, &body, &length))
        {
          free (body);
          break;
        }
      rig_sleep (4);
      query_text (head->target, "topic", name, sizeof name);
      if (store_mode == STORE_BUSY)
        more = answer_bytes (fd, 503, "text/plain", "", 0);
      else if (strncmp (head->target, "/api/log-append", 15) == 0)
        more = answer_append (fd, head->target, name, body, length);
      else if (strncmp (head->target, "/api/log-read", 13) == 0)
        more = answer_read (fd, name, query_number (head->target, "from", 0),
                            query_number (head->target, "wait-ms", 0));
      else if (strncmp (head->target, "/api/log-newest", 15) == 0)
        more = answer_newest (fd, name);
      else
        more = answer_bytes (fd, 404, "text/plain", "", 0);
      free (body);
    }
  http_in_clear (&in);
  free (head);
  close (fd);
  return NULL;
}

static void *
run_store_acceptor (void *data)
{
  int listener = (int)(intptr_t)data;

  while (true)
    {
      int fd = accept (listener, NULL, NULL);
      int on = 1;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      rig_thread (run_store_connection, (void *)(intptr_t)fd);
    }
}

void
store_start (int port)
{
  rig_thread (run_store_acceptor, (void *)(intptr_t)rig_listen (port));
}

void
operator_put (int version, const char *rows, const char *services)
{
  char text[8192];

  snprintf (
      text, sizeof text,
      "{\"version\":\"r%d\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[%s]},\"services\":{\"columns\":[\"name\",\"health-path\","
      "\"max-conns\",\"protocol\",\"tls\",\"sharded\",\"warmup-s\","
      "\"grants\"],\"rows\":[%s]},\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}",
      version, rows, services);
  store_put ("keyed.op", "config", text);
  rig_record ("operator writes r%d", version);
}

/* Nodes */

void
node_init (struct node *node, const char *name, const char *service,
           int store_port)
{
  memset (node, 0, sizeof *node);
  snprintf (node->name, sizeof node->name, "%s", name);
  snprintf (node->zone, sizeof node->zone, "caerdydd");
  snprintf (node->service, sizeof node->service, "%s", service);
  node->store_port = store_port;
  node->callers = rig_free_port ();
  node->control = rig_free_port ();
  node->ready = rig_free_port ();
  node->metrics = rig_free_port ();
  node->peers = rig_free_port ();
  node->server = rig_free_port ();
  snprintf (node->settings, sizeof node->settings, "%s/%s.ini", temporary,
            name);
  snprintf (node->log, sizeof node->log, "%s/%s.log", temporary, name);
  nodes[node_count++] = node;
}

void
node_start (struct node *node)
{
  FILE *file = fopen (node->settings, "w");

  if (file == NULL)
    rig_fail ("no settings file");
  fprintf (file,
           "[node]\nhost = %s\nzone = %s\nservice = %s\n\n"
           "[listen]\ncallers = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\n"
           "ready = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
           "peers = 127.0.0.1:%d\n\n"
           "[server]\naddress = 127.0.0.1:%d\nbeat-ms = %d\n"
           "grants = heartbeat\n\n"
           "[store]\naddress = 127.0.0.1:%d\n\n"
           "[bounds]\nhold-max-ms = 10000\ndrain-ms = %d\n"
           "grace-seconds = 6\n\n[journal]\nlevel = info\n",
           node->name, node->zone, node->service, node->callers,
           node->control, node->ready, node->metrics, node->peers,
           node->server, HEARTBEAT_MS, node->store_port, DRAIN_MS);
  fclose (file);
  node->pid = fork ();
  if (node->pid < 0)
    rig_fail ("no process");
  if (node->pid == 0)
    {
      FILE *out = freopen (node->log, "a", stdout);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (out != NULL)
        dup2 (fileno (stdout), 2);
      setenv ("BAMBOOTALLY_CONFIG", node->settings, 1);
      execl ("target/release/bambootally_mesh",
             "target/release/bambootally_mesh", (char *)NULL);
      _exit (127);
    }
  rig_record ("node %s starts", node->name);
}

void
node_kill (struct node *node, int signal_number)
{
  rig_record ("node %s gets signal %d", node->name, signal_number);
  kill (node->pid, signal_number);
  if (signal_number != SIGKILL)
    return;
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}

/* Returns whether the process has ended by itself, with its wait status.  */
bool
node_has_ended (struct node *node, int *status)
{
  if (node->pid <= 0 || waitpid (node->pid, status, WNOHANG) != node->pid)
    return false;
  node->pid = 0;
  return true;
}

/* Makes a call and returns its status, 0 for none.  */
static int
call (int port, const char *method, const char *target, const char *body,
      char *answer, size_t answer_size)
{
  int fd = rig_connect (port, 1000);
  struct http_in in;
  struct http_head *head;
  char text[512];
  char *bytes;
  size_t length;
  int status = 0;

  if (fd < 0)
    return 0;
  head = malloc (sizeof *head);
  http_in_init (&in, fd);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            method, target, port, strlen (body));
  if (http_send (fd, text, strlen (text))
      && http_send (fd, body, strlen (body)) && http_read_head (&in, head))
    {
      if (http_read_body (&in, head, &bytes, &length))
        status = head->status;
      if (answer != NULL)
        snprintf (answer, answer_size, "%s", bytes);
      free (bytes);
    }
  http_in_clear (&in);
  free (head);
  close (fd);
  return status;
}

bool
node_is_ready (struct node *node)
{
  return call (node->ready, "GET", "/api/ready", "", NULL, 0) == 200;
}

void
node_wait_ready (struct node *node, int64_t timeout_ms)
{
  int64_t until = rig_ms () + timeout_ms;

  while (!node_is_ready (node))
    {
      int status;
      if (rig_ms () >= until || node_has_ended (node, &status))
        rig_fail ("a node is not ready");
      rig_sleep (50);
    }
  rig_record ("node %s is ready", node->name);
}

/* Backends */

void
backend_init (struct backend *backend, const char *id, const char *service,
              const struct node *node, int slots, int run_ms)
{
  memset (backend, 0, sizeof *backend);
  snprintf (backend->id, sizeof backend->id, "%s", id);
  snprintf (backend->service, sizeof backend->service, "%s", service);
  backend->port = node->server;
  backend->control = node->control;
  backend->slots = slots;
  backend->run_ms = run_ms;
  backend->born = clock_ms (CLOCK_REALTIME);
  backend->beats = true;
  backend->fence = calloc (KEYS, sizeof (uint64_t));
  backend->seen = calloc (KEYS, sizeof (uint64_t));
  pthread_mutex_init (&backend->lock, NULL);
}

/* Appends the held keys as rows to TEXT.  */
static void
format_holds (const struct backend *backend, char *text, size_t size)
{
  size_t length = 0;
  int key = 0;

  text[0] = '\0';
  while (key < KEYS && length + 64 < size)
    {
      int last = key;
      while (last + 1 < KEYS && backend->fence[last + 1] == backend->fence[key])
        last++;
      if (backend->fence[key] != 0)
        length += (size_t)snprintf (text + length, size - length,
                                    "%s[%d,%d,%llu]", length > 0 ? "," : "",
                                    key, last,
                                    (unsigned long long)backend->fence[key]);
      key = last + 1;
    }
}

/* Takes in the keys that ANSWER grants, to a heartbeat sent at SENT_AT.  */
static void
take_holds (struct backend *backend, const char *answer, int64_t sent_at)
{
  uint64_t *granted = calloc (KEYS, sizeof *granted);
  const char *at = strstr (answer, "\"holds\":[");
  const char *hold_ms = strstr (answer, "\"hold-ms\":");
  bool changed = false;
  int key = 0;

  if (at == NULL || hold_ms == NULL)
    {
      free (granted);
      return;
    }
  at += 9;
  while (at[0] == '[' || at[0] == ',')
    {
      int first;
      int last;
      unsigned long long fence;
      if (sscanf (at + (at[0] == ','), "[%d,%d,%llu", &first, &last, &fence)
          != 3)
        break;
      for (key = first; key <= last && key < KEYS; key++)
        if (fence >= backend->seen[key])
          granted[key] = backend->seen[key] = fence;
      at = strchr (at, ']') + 1;
    }
  backend->hold_until = sent_at + atol (hold_ms + 10);
  for (key = 0; key < KEYS; key++)
    {
      int first = key;
      changed = changed || granted[key] != backend->fence[key];
      if (backend->fence[key] == 0 || granted[key] != 0)
        continue;
      while (key + 1 < KEYS && backend->fence[key + 1] != 0
             && granted[key + 1] == 0)
        key++;
      changed = true;
      snprintf (backend->freed + strlen (backend->freed),
                sizeof backend->freed - strlen (backend->freed),
                "%s[%d,%d,\"t%s%d-%lld\"]",
                backend->freed[0] != '\0' ? "," : "", first, key, backend->id,
                first, (long long)rig_ms ());
      backend->beat_soon = true;
    }
  memcpy (backend->fence, granted, KEYS * sizeof *granted);
  free (granted);
  if (changed)
    {
      char text[4096];
      format_holds (backend, text, sizeof text);
      rig_record ("backend %s holds %s", backend->id, text);
      if (backend->on_holds != NULL)
        backend->on_holds (backend);
    }
}

/* Drops the keys if the hold has run out.  */
static void
expire_holds (struct backend *backend)
{
  if (backend->hold_until == 0 || rig_ms () < backend->hold_until)
    return;
  backend->hold_until = 0;
  memset (backend->fence, 0, KEYS * sizeof (uint64_t));
  rig_record ("backend %s: its hold has run out", backend->id);
  if (backend->on_holds != NULL)
    backend->on_holds (backend);
}

/* Drops the keys if the hold has run out, as the backend itself does.  */
void
backend_expire_holds (struct backend *backend)
{
  pthread_mutex_lock (&backend->lock);
  expire_holds (backend);
  pthread_mutex_unlock (&backend->lock);
}

/* Returns whether the backend holds KEY.  */
static bool
holds_key (struct backend *backend, const char *key)
{
  int number = atoi (key);
  bool holds;

  pthread_mutex_lock (&backend->lock);
  expire_holds (backend);
  holds = key[0] != '\0' && number >= 0 && number < KEYS
          && backend->fence[number] != 0;
  pthread_mutex_unlock (&backend->lock);
  return holds;
}

/* Sends a heartbeat and returns the status of its answer.  */
int
backend_heartbeat (struct backend *backend)
{
  char target[128];
  char body[12288];
  char holds[4096];
  char told[2048];
  char answer[8192] = "";
  int64_t sent_at;
  int status;

  pthread_mutex_lock (&backend->lock);
  expire_holds (backend);
  format_holds (backend, holds, sizeof holds);
  snprintf (told, sizeof told, "%s", backend->freed);
  backend->beat_soon = false;
  pthread_mutex_unlock (&backend->lock);
  snprintf (target, sizeof target, "/api/instances/%s", backend->id);
  snprintf (body, sizeof body,
            "{\"address\":\"127.0.0.1:%d\",\"born\":%lld,\"info\":{"
            "\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"caerdydd\","
            "\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%ld,"
            "\"cold-left-ms\":0},\"holds\":[%s],\"freed\":[%s]}",
            backend->port, (long long)backend->born, backend->service,
            backend->slots, backend->draining ? "draining" : "ready",
            ++backend->sequence, holds, told);
  sent_at = rig_ms ();
  backend->last_beat_at = sent_at;
  status = call (backend->control, "PUT", target, body, answer, sizeof answer);
  if (status == 200 && backend->sharded && rig_ms () - sent_at <= 1000)
    {
      pthread_mutex_lock (&backend->lock);
      memmove (backend->freed, backend->freed + strlen (told),
               strlen (backend->freed) - strlen (told) + 1);
      take_holds (backend, answer, sent_at);
      pthread_mutex_unlock (&backend->lock);
    }
  return status;
}

/* Deregisters the backend and returns the status of the answer.  */
int
backend_deregister (struct backend *backend)
{
  char target[128];

  snprintf (target, sizeof target, "/api/instances/%s", backend->id);
  return call (backend->control, "DELETE", target, "", NULL, 0);
}

static void *
run_heartbeats (void *data)
{
  struct backend *backend = data;

  while (backend->beats)
    {
      int64_t next = rig_ms () + HEARTBEAT_MS;
      backend_heartbeat (backend);
      while (backend->beats && !backend->beat_soon
             && rig_ms () < next)
        rig_sleep (2);
      if (backend->beat_soon)
        rig_sleep (50);
    }
  return NULL;
}

struct backend_connection
{
  struct backend *backend;
  int fd;
};

/* A copy of the last answer on a connection that comes late: right before the
   next answer on it.  */
static __thread char late_copy[1024];

static bool
answer_request (struct backend *backend, int fd, int status, const char *id,
                const char *extra, const char *body)
{
  char text[1024];

  snprintf (text, sizeof text,
            "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Load: %d,0,%d\r\n%s"
            "Content-Length: %zu\r\n\r\n%s",
            status, id, backend->busy, backend->slots, extra, strlen (body),
            body);
  if (backend->copies_answer != NULL
      && backend->copies_answer (backend, status))
    snprintf (late_copy, sizeof late_copy, "%s", text);
  return http_send (fd, text, strlen (text));
}

/* Handles one request on FD.  Returns false if the connection is to end.  */
static bool
handle_request (struct backend *backend, struct http_in *in,
                struct backend_request *request)
{
  const struct http_head *head = &request->head;
  char expected[64];
  char stamp[160];
  char *body = NULL;
  size_t length;
  bool more = true;

  http_header (head, "Request-Id", request->id, sizeof request->id);
  http_header (head, "Caller-Service", request->caller,
               sizeof request->caller);
  http_header (head, "Shard-Key", request->key, sizeof request->key);
  snprintf (stamp, sizeof stamp, "Server-Stamp: %s.%s\r\n", backend->id,
            request->id);
  if (http_header (head, "Expect-Instance", expected, sizeof expected)
      && strcmp (expected, backend->id) != 0)
    {
      snprintf (stamp, sizeof stamp, "Instance-Id: %s\r\n", backend->id);
      return answer_request (backend, in->fd, 421, request->id, stamp, "")
             && head->body_length == 0;
    }
  if (late_copy[0] != '\0')
    {
      rig_record ("backend %s sends its last answer on this connection again,"
                  " before the answer to %s",
                  backend->id, request->id);
      http_send (in->fd, late_copy, strlen (late_copy));
      late_copy[0] = '\0';
    }
  if (backend->sharded && !holds_key (backend, request->key))
    {
      rig_record ("backend %s does not hold key %s of %s", backend->id,
                  request->key, request->id);
      return http_read_body (in, head, &body, &length)
             && (free (body), true)
             && answer_request (backend, in->fd, 421, request->id,
                                "Not-Executed: 1\r\n", "");
    }
  if ((int)(++backend->draws * 37 % 100) < backend->shed_percent
      && backend->keeps_shed)
    {
      if (http_read_body (in, head, &body, &length))
        {
          rig_record ("backend %s sheds %s", backend->id, request->id);
          more = answer_request (backend, in->fd, 503, request->id,
                                 "Not-Executed: 1\r\n", "");
        }
      free (body);
      return more;
    }
  if ((int)(backend->draws * 37 % 100) < backend->shed_percent)
    {
      rig_sleep (backend->shed_after_ms);
      rig_record ("backend %s sheds %s", backend->id, request->id);
      answer_request (backend, in->fd, 503, request->id,
                      "Not-Executed: 1\r\nConnection: close\r\n", "");
      shutdown (in->fd, SHUT_WR);
      set_timeout (in->fd, 1000);
      while (read_more (in))
        in->length = 0;
      return false;
    }
  backend->busy++;
  if (!backend->quiet)
    rig_record ("backend %s runs %s %s %s caller=%s", backend->id, request->id,
              head->method, head->target, request->caller);
  if (backend->on_run != NULL)
    backend->on_run (request);
  if ((int)(backend->draws * 37 % 100) < backend->early_percent
      && head->body_length > 0)
    {
      rig_sleep (backend->run_ms);
      more = answer_request (backend, in->fd, 413, request->id, stamp,
                             "early");
      rig_record ("backend %s answers %s early with 413", backend->id,
                  request->id);
      rig_sleep (5000);
      more = http_read_body (in, head, &body, &length) && more;
    }
  else if (http_read_body (in, head, &body, &length))
    {
      rig_sleep (backend->run_ms);
      more = answer_request (backend, in->fd, 200, request->id, stamp, "ok");
      if (!backend->quiet)
        rig_record ("backend %s answers %s with 200 sent=%d body=%zu",
                  backend->id, request->id, more, length);
    }
  else
    {
      rig_record ("backend %s: body of %s breaks off", backend->id,
                  request->id);
      more = false;
    }
  free (body);
  backend->busy--;
  return more;
}

static void *
run_backend_connection (void *data)
{
  struct backend_connection *connection = data;
  struct http_in in;
  struct backend_request *request = calloc (1, sizeof *request);

  http_in_init (&in, connection->fd);
  request->backend = connection->backend;
  while (http_read_head (&in, &request->head)
         && handle_request (connection->backend, &in, request))
    ;
  http_in_clear (&in);
  close (connection->fd);
  free (request);
  free (connection);
  return NULL;
}

static void *
run_backend_acceptor (void *data)
{
  struct backend *backend = data;

  while (true)
    {
      int fd = accept (backend->listener, NULL, NULL);
      int on = 1;
      struct backend_connection *connection;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = malloc (sizeof *connection);
      connection->backend = backend;
      connection->fd = fd;
      rig_thread (run_backend_connection, connection);
    }
}

void
backend_start (struct backend *backend)
{
  backend->listener = rig_listen (backend->port);
  rig_thread (run_backend_acceptor, backend);
  rig_thread (run_heartbeats, backend);
  rig_record ("backend %s of %s starts", backend->id, backend->service);
}

/* Clients */

void
client_request_init (struct client_request *request, int port,
                     const char *method, const char *path)
{
  static unsigned count;
  unsigned number = __atomic_add_fetch (&count, 1, __ATOMIC_SEQ_CST);

  memset (request, 0, sizeof *request);
  request->port = port;
  request->method = method;
  request->path = path;
  request->host = "desk.example";
  request->deadline_ms = 2500;
  snprintf (request->id, sizeof request->id, "q%05u", number);
}

/* Sends LENGTH bytes on the non-blocking FD until UNTIL.  Returns false if the
   connection fails, the time is over or an answer has arrived.  */
static bool
send_part (int fd, const char *bytes, size_t length, int64_t until)
{
  while (length > 0)
    {
      struct pollfd polled = { .fd = fd, .events = POLLIN | POLLOUT };
      ssize_t count;
      int64_t left = until - rig_ms ();
      if (left <= 0 || poll (&polled, 1, (int)left) <= 0
          || (polled.revents & (POLLIN | POLLERR | POLLHUP)) != 0)
        return false;
      count = send (fd, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN)
        return false;
      if (count > 0)
        {
          bytes += count;
          length -= (size_t)count;
        }
    }
  return true;
}

/* Sends the body in parts until UNTIL.  Stops if an answer arrives.  */
static void
send_body (int fd, const struct client_request *request, int64_t until)
{
  size_t left = request->body_bytes;
  size_t part = request->body_first;
  char *zeros = calloc (1, left + 1);

  while (left > 0)
    {
      if (part > left || part == 0)
        part = left;
      if (!send_part (fd, zeros, part, until))
        {
          rig_record ("client %s stops sending, %zu bytes of its body left",
                      request->id, left);
          break;
        }
      left -= part;
      part = request->body_part;
      if (left > 0)
        rig_sleep (request->body_gap_ms);
    }
  free (zeros);
}

/* Sends a request on a new connection and waits for its answer.  */
struct answer
client_send (const struct client_request *request)
{
  struct answer answer = { 0 };
  int give_up_ms
      = request->give_up_ms > 0 ? request->give_up_ms : request->deadline_ms;
  int64_t begun = rig_ms ();
  bool reused = request->kept != NULL && *request->kept >= 0;
  int fd = reused ? *request->kept : rig_connect (request->port, 1000);
  struct http_in in;
  struct http_head *head;
  char text[1024];
  char stamp[128];
  char *body = NULL;
  size_t length;

  if (fd < 0)
    {
      if (!request->quiet)
        rig_record ("client %s cannot connect", request->id);
      return answer;
    }
  answer.reused = reused;
  set_timeout (fd, give_up_ms);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: %d\r\n%s%s%sContent-Length: %zu\r\n\r\n",
            request->method, request->path, request->host, request->id,
            request->deadline_ms, request->key != NULL ? "Shard-Key: " : "",
            request->key != NULL ? request->key : "",
            request->key != NULL ? "\r\n" : "", request->body_bytes);
  if (!request->quiet)
    rig_record ("client %s sends %s %s body=%zu%s", request->id, request->method,
              request->path, request->body_bytes,
              reused ? " on a kept connection" : "");
  head = malloc (sizeof *head);
  http_in_init (&in, fd);
  http_send (fd, text, strlen (text));
  if (request->body_bytes > 0)
    send_body (fd, request, begun + give_up_ms);
  set_timeout (fd, (int)(begun + give_up_ms - rig_ms () > 1
                             ? begun + give_up_ms - rig_ms ()
                             : 1));
  errno = 0;
  if (http_read_head (&in, head))
    {
      answer.status = head->status;
      answer.whole = http_read_body (&in, head, &body, &length);
      answer.stamped = http_header (head, "Server-Stamp", stamp, sizeof stamp);
      free (body);
    }
  else if (errno == EAGAIN || errno == EWOULDBLOCK)
    answer.status = -1;
  answer.took_ms = rig_ms () - begun;
  if (!request->quiet)
    rig_record ("client %s gets %d%s after %lld ms", request->id, answer.status,
              answer.status == -1  ? " (no answer)"
              : answer.status == 0 ? " (connection ended)"
                                   : "",
              (long long)answer.took_ms);
  http_in_clear (&in);
  if (request->kept != NULL)
    {
      *request->kept
          = answer.status > 0 && answer.whole
                    && !(http_header (head, "Connection", stamp, sizeof stamp)
                         && strcasecmp (stamp, "close") == 0)
                ? fd
                : -1;
    }
  if (request->kept == NULL || *request->kept < 0)
    close (fd);
  free (head);
  return answer;
}
