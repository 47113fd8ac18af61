#include "rig.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Clients read long answers slowly; meanwhile the process of the node beside
   the server is killed (rule CONFIG: requests without a final answer after
   their route's time).  */

#define HOST "jepu9.example"
#define CLIENTS 12
#define BYTES 16000000u
#define STEP_BYTES 50000u
#define STEP_MS 50
#define TIMEOUT_MS 20000
#define LATE_MS 500
#define MIN_LATE 8
#define NODES 5
#define ENTRIES 4 /* nodes at which clients ask */
#define KILL_MS 4000

static const char config[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[[\"r-photo\",\"" HOST "\",\"/lepu270/\",\"download\",20000,"
      "3000,2,null,2,\"huvo11a\"]]},\"services\":{\"columns\":[\"name\","
      "\"health-path\",\"max-conns\",\"protocol\",\"tls\",\"sharded\","
      "\"warmup-s\",\"grants\"],\"rows\":[[\"huvo11a\",\"/health\",110,\"h1\","
      "false,null,null,null],[\"wuno96b\",\"/health\",110,\"h1\",false,null,"
      "null,null]]},\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

static volatile int complete, broken, hung;

static int
run (struct server *server, const struct msg *request)
{
  char id[TEXT];

  msg_field (request, "Request-Id", id, sizeof id);
  record ("server %d: %s runs %s", server->index, server->id, id);
  return 20;
}

static size_t
size_of (const struct msg *request)
{
  (void)request;
  return BYTES;
}

static void *
client (void *data)
{
  int self = (int)(intptr_t)data;
  char *bytes = malloc (STEP_BYTES);
  char head[512];
  size_t got = 0;
  long long sent_at = now_ms ();
  int fd = client_connect (rig.nodes[self % ENTRIES].callers, 65536);
  int n = snprintf (head, sizeof head,
                    "GET /lepu270/%d HTTP/1.1\r\nHost: " HOST
                    "\r\nRequest-Id: 9c41d07be2a35f%02x\r\n"
                    "Deadline-Ms: 25000\r\n\r\n",
                    self, self);
  ssize_t count = send (fd, head, (size_t)n, MSG_NOSIGNAL);

  record ("client %d: asks node %d for %u bytes", self, self % ENTRIES, BYTES);
  while (count > 0 && got < BYTES
         && now_ms () < sent_at + TIMEOUT_MS + LATE_MS)
    {
      size_t want = STEP_BYTES;
      long long step_at = now_ms ();
      while (want > 0)
        {
          count = recv (fd, bytes, want, MSG_DONTWAIT);
          if (count < 0 && (errno == EAGAIN || errno == EINTR))
            {
              count = 1;
              if (now_ms () >= step_at + STEP_MS)
                break;
              sleep_ms (2);
              continue;
            }
          if (count <= 0)
            break;
          got += (size_t)count;
          want -= (size_t)count;
        }
      if (now_ms () < step_at + STEP_MS)
        sleep_ms ((int)(step_at + STEP_MS - now_ms ()));
    }
  if (got >= BYTES)
    __sync_fetch_and_add (&complete, 1);
  else if (count <= 0)
    __sync_fetch_and_add (&broken, 1);
  else
    __sync_fetch_and_add (&hung, 1);
  record ("client %d: after %lld ms %s, %zu bytes with the head", self,
          now_ms () - sent_at,
          got >= BYTES ? "the answer is whole"
          : count <= 0 ? "the connection has ended"
                       : "the answer is not whole and the connection is open",
          got);
  close (fd);
  free (bytes);
  return NULL;
}

/* The node beside the server is killed; with the argument "term" it is asked
   to stop, as in a planned restart, and with "stop" it stands still for 3.5 s.
 */
int
main (int argc, char **argv)
{
  const char *how = argc > 1 ? argv[1] : "kill";
  static const char *const services[NODES]
      = { "wuno96b", "wuno96b", "wuno96b", "wuno96b", "huvo11a" };
  static const bool sharded[NODES];
  pthread_t threads[CLIENTS];
  struct node *owner = &rig.nodes[ENTRIES];
  int i;

  on_run = run;
  memory_mb = 160;
  on_size = size_of;
  rig_start (NODES, services, sharded, config);
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  sleep_ms (3000);
  for (i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, client, (void *)(intptr_t)i);
  sleep_ms (KILL_MS);
  if (rig.trouble && strcmp (how, "stop") == 0)
    {
      record ("node 4: its process gets SIGSTOP");
      kill (owner->pid, SIGSTOP);
      sleep_ms (3500);
      kill (owner->pid, SIGCONT);
      record ("node 4: its process goes on");
    }
  else if (rig.trouble)
    {
      bool planned = strcmp (how, "term") == 0;
      record ("node 4: its process gets SIG%s", planned ? "TERM" : "KILL");
      kill (owner->pid, planned ? SIGTERM : SIGKILL);
      waitpid (owner->pid, NULL, 0);
      record ("node 4: its process has ended");
      sleep_ms (500);
      rig_start_node (owner);
    }
  for (i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  if (complete + broken + hung < CLIENTS)
    return finish (2, "not all were sent");
  return finish (
      hung >= MIN_LATE,
      "of %d answers %d were whole, %d broke off, and %d had no end "
      "%d ms after the route's time",
      CLIENTS, complete, broken, hung, LATE_MS);
}
