#ifndef TESTS_UNREAD_RUN_H
#define TESTS_UNREAD_RUN_H

#include "platform/config.h"
#include "platform/store.h"
#include "soak/soak_node.h"
#include "soak/soak_server.h"
#include "soak/soak_store.h"
#include "tests/suite.h"
#include "tests/unread_crowd.h"
#include "types/clock.h"

#include <dirent.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>

/* Guards against a node that ends or fills its host because of callers that
   send requests and read no responses.  The nodes are processes of their own,
   with lowered limits in their settings; their backend servers, the store and
   the callers are in the process of the test.  */

#define UNREAD_MEMORY_MB 32u /* limit in the settings: memory */
#define UNREAD_FDS_MAX 700u  /* limit in the settings: open descriptors */
#define UNREAD_FOLDER "out/unread"
#define UNREAD_PORT 27300u       /* port of the store; the others follow */
#define UNREAD_PORTS_PER_HOST 8u /* ports of one node and its server */
#define UNREAD_HOSTS_MAX 2u      /* most nodes of a test */
#define UNREAD_STEP_MSEC 5u      /* interval between sends of the crowd */
/* Few enough for the admission control of a server with 8 slots.  */
#define UNREAD_CONNECTIONS_PER_STEP 6u
#define UNREAD_CROWD_MSEC 4000      /* how long the crowd is there at least */
#define UNREAD_ANSWER_MSEC 20000    /* longest wait for an ordinary answer */
#define UNREAD_RETRY_MSEC 500       /* pause before it is asked for again */
#define UNREAD_SERVER_CUT_MSEC 2000 /* a server cuts unread responses off */
/* The configuration: two services that are not divided by key.  */
#define UNREAD_CONFIG                                                         \
  "{\"version\":\"r1\",\"services\":{\"columns\":[\"name\",\"sharded\"],"     \
  "\"rows\":[[\"front\",false],[\"svc\",false]]},\"routes\":{\"columns\":"    \
  "[\"name\",\"host\",\"path-prefix\",\"route-type\",\"service\","            \
  "\"priority\",\"timeout-ms\",\"max-attempts\"],\"rows\":"                   \
  "[[\"a\",\"t\",\"/svc/\",\"idempotent\",\"svc\",1,15000,1]]}}"

/* A node, and the backend server beside it.  */
struct unread_host
{
  struct soak_node node;         /* process of the node */
  struct soak_server heartbeats; /* sends the heartbeats of its server */
  struct http_server backend;    /* answers the requests */
  guint16 callers_port;          /* port for callers */
  guint descriptors;             /* most open descriptors seen */
};

struct unread_run
{
  struct soak_store store; /* store of the platform */
  struct http client;      /* client for heartbeats */
  guint host_count;        /* nodes */
  struct unread_host hosts[UNREAD_HOSTS_MAX];
  GPtrArray *callers; /* struct unread_caller */
  guint timer;        /* source id of the step */
};

static struct unread_run unread;

/* Measures */

/* Return the number of open descriptors of the process PID.  */
static inline guint
unread_count_descriptors (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)pid);
  DIR *folder = opendir (path);
  guint count = 0;

  g_free (path);
  if (folder == NULL)
    return 0;
  for (; readdir (folder) != NULL; count++)
    ;
  closedir (folder);
  return count - 2; /* the folder itself and its parent */
}

/* Return the peak of the resident memory of the process PID, in kilobytes.  */
static inline guint64
unread_peak_kb (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  const char *at = NULL;
  guint64 peak = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    at = strstr (text, "VmHWM:");
  if (at != NULL)
    peak = g_ascii_strtoull (at + strlen ("VmHWM:"), NULL, 10);
  g_free (path);
  g_free (text);
  return peak;
}

/* Backend servers */

/* Cut off the response to the request DATA unless it was sent.  */
static inline gboolean
unread_on_cut (gpointer data)
{
  struct handle request = { GPOINTER_TO_UINT (data) };
  guint i;

  for (i = 0; i < unread.host_count; i++)
    http_server_cut (&unread.hosts[i].backend, request);
  return G_SOURCE_REMOVE;
}

/* Respond to a request with as many bytes as the last part of its path says.
 */
static inline void
unread_on_backend (const struct http_server_event *event, gpointer data)
{
  struct http_server *backend = data;
  SoupMessageHeaders *headers;
  gsize bytes;
  char *text;

  if (event->kind != HTTP_SERVER_BODY_END)
    return;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  soup_message_headers_append (
      headers, "Request-Id",
      soup_message_headers_get_one (event->head->headers, "Request-Id"));
  soup_message_headers_append (headers, "Server-Stamp", "s");
  bytes = strtoul (strrchr (event->head->target, '/') + 1, NULL, 10);
  text = g_strnfill (bytes, 'x');
  g_timeout_add (UNREAD_SERVER_CUT_MSEC, unread_on_cut,
                 GUINT_TO_POINTER (event->request.bits));
  http_server_answer (backend, event->request, SOUP_STATUS_OK, headers, text);
  g_free (text);
  soup_message_headers_unref (headers);
}

/* Start and stop */

/* Write the settings of node I, whose ports begin at PORT and whose server
   belongs to SERVICE.  */
static inline void
unread_write_settings (guint i, guint port, const char *service)
{
  struct soak_node *node = &unread.hosts[i].node;
  char *text = g_strdup_printf (
      "[node]\nhost = h-%u\nzone = z\nservice = %s\n[listen]\n"
      "callers = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\n"
      "ready = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
      "peers = 127.0.0.1:%u\n[server]\naddress = 127.0.0.1:%u\n"
      "beat-ms = 900\n[store]\naddress = 127.0.0.1:%u\n"
      "[limits]\nmemory-mb = %u\nmax-fds = %u\n",
      i, service, port, port + 1, port + 2, port + 3, port + 4, port + 5,
      UNREAD_PORT, UNREAD_MEMORY_MB, UNREAD_FDS_MAX);

  node->settings_path = g_strdup_printf ("%s/node-%u.ini", UNREAD_FOLDER, i);
  node->log_path = g_strdup_printf ("%s/node-%u.log", UNREAD_FOLDER, i);
  g_file_set_contents (node->settings_path, text, -1, NULL);
  unlink (node->log_path);
  g_free (text);
}

/* Start host I with PROGRAM as its node.  Its server belongs to SERVICE.  */
static inline void
unread_start_host (guint i, const char *program, const char *service)
{
  struct unread_host *host = &unread.hosts[i];
  struct soak_server *server = &host->heartbeats;
  guint port = UNREAD_PORT + 1 + i * UNREAD_PORTS_PER_HOST;
  struct address at = { INADDR_LOOPBACK, (guint16)(port + 5) };
  struct address unused = { INADDR_LOOPBACK, (guint16)(port + 6) };

  host->callers_port = (guint16)port;
  host->node.program_path = program;
  unread_write_settings (i, port, service);
  http_server_init (&host->backend, unread_on_backend, &host->backend);
  CU_ASSERT_EQUAL_FATAL (http_server_listen (&host->backend, at), ERR_NONE);
  g_strlcpy (server->service, service, NAME_SIZE);
  g_snprintf (server->instance.id, sizeof server->instance.id, "s-%u", i);
  server->instance.started_at_msec = 1000;
  server->announced_address = at;
  server->control_address
      = (struct address){ INADDR_LOOPBACK, (guint16)(port + 1) };
  CU_ASSERT_TRUE_FATAL (
      soak_server_init (server, &unread.client, NULL, unused));
  soak_node_start (&host->node);
}

/* Step the crowd, the client and the measures.  */
static inline gboolean
unread_on_step (gpointer data)
{
  guint i;

  (void)data;
  http_expire (&unread.client, clock_usec ());
  for (i = 0; i < unread.callers->len; i++)
    unread_caller_send (g_ptr_array_index (unread.callers, i));
  for (i = 0; i < unread.host_count; i++)
    unread.hosts[i].descriptors
        = MAX (unread.hosts[i].descriptors,
               unread_count_descriptors (unread.hosts[i].node.pid));
  return G_SOURCE_CONTINUE;
}

/* Start HOSTS nodes, whose program is in FOLDER.  Callers connect to the first
   one; the service that they ask for is beside the last one.  */
static inline void
unread_start (guint hosts, const char *folder)
{
  static char program[PATH_SIZE];
  guint i;

  memset (&unread, 0, sizeof unread);
  signal (SIGPIPE, SIG_IGN);
  g_mkdir_with_parents (UNREAD_FOLDER, 0755);
  g_snprintf (program, sizeof program, "%s/bambootally_mesh", folder);
  http_init (&unread.client);
  unread.callers = g_ptr_array_new_with_free_func (unread_caller_free);
  CU_ASSERT_TRUE_FATAL (soak_store_init (
      &unread.store,
      (struct address){ INADDR_LOOPBACK, (guint16)UNREAD_PORT }));
  soak_store_put (&unread.store, STORE_TOPIC_CONFIG, PLATFORM_CONFIG_KEY,
                  UNREAD_CONFIG);
  for (i = 0; i < hosts; i++, unread.host_count++)
    unread_start_host (i, program, i + 1 == hosts ? "svc" : "front");
  unread.timer = g_timeout_add (UNREAD_STEP_MSEC, unread_on_step, NULL);
}

/* Kill the nodes and release everything.  */
static inline void
unread_stop (void)
{
  guint i;

  g_source_remove (unread.timer);
  for (i = 0; i < unread.host_count; i++)
    {
      struct unread_host *host = &unread.hosts[i];
      soak_node_kill (&host->node);
      http_server_clear (&host->backend);
      soak_server_clear (&host->heartbeats);
      g_free (host->node.settings_path);
      g_free (host->node.log_path);
    }
  g_ptr_array_free (unread.callers, TRUE);
  http_clear (&unread.client);
  soak_store_clear (&unread.store);
}

#endif
