#include "edge/server_poll.h"

#include "edge/node.h"

#include <string.h>

#define POLL_PATH "/bambootally/load"
#define POLL_INTERVAL_USEC ((gint64)500000)
#define POLL_TIMEOUT_USEC ((gint64)500000)
#define DOWN_AFTER_FAILURES                                                   \
  3u /* consecutive failures of a server that is down */

/* Pass the load in the server's report to the core.  A malformed report is
   ignored.  */
static void
handle_report (struct node *node)
{
  struct server_poll *poll = &node->poll;
  struct event event = { .kind = EVENT_SERVER_LOAD };
  const char *busy;

  poll->text[poll->length] = '\0';
  busy = strstr (poll->text, "busy=");
  if (poll->status != SOUP_STATUS_OK || busy == NULL)
    return;
  event.u.server_load.busy_slots
      = (guint32)g_ascii_strtoull (busy + strlen ("busy="), NULL, 10);
  event.u.server_load.measured_at = poll->begun;
  node_feed (node, &event);
}

/* Handle a poll that failed with CODE.  The server is down if nothing listens
   on its address, or after DOWN_AFTER_FAILURES consecutive failures.  After a
   timeout the idle connections are closed, since they may be dead.  */
static void
handle_failure (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_SERVER_DOWN };

  node->poll.failures++;
  if (code == ERR_TIMEOUT)
    http_drop_idle (&node->proxy.http, node->proxy.server);
  server_poll_soon (node);
  event.u.server_down.not_listening = code == ERR_REFUSED;
  if (code == ERR_REFUSED || node->poll.failures >= DOWN_AFTER_FAILURES)
    node_feed (node, &event);
}

/* Handle the end of a poll with CODE.  */
static void
handle_end (struct node *node, enum err code)
{
  node->poll.call = HANDLE_NONE;
  if (code != ERR_NONE)
    {
      handle_failure (node, code);
      return;
    }
  node->poll.failures = 0;
  handle_report (node);
}

/* Handle an event of the pending poll.  */
static void
on_poll_event (const struct http_event *event, gpointer data)
{
  struct node *node = data;
  struct server_poll *poll = &node->poll;
  gsize room = sizeof poll->text - 1 - poll->length;

  switch (event->kind)
    {
    case HTTP_HEAD:
      poll->status = event->status;
      break;
    case HTTP_DATA:
      memcpy (poll->text + poll->length, event->bytes,
              MIN (event->count, room));
      poll->length += MIN (event->count, room);
      break;
    case HTTP_FLUSH:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      handle_end (node, event->code);
      break;
    }
}

/* Poll the server if it has announced itself, no poll is pending and the next
   one is due.  */
void
server_poll_step (struct node *node, gint64 now)
{
  struct server_poll *poll = &node->poll;
  struct http_request request = { 0 };

  if (node->proxy.server.port == 0 || handle_is_set (poll->call)
      || now < poll->next)
    return;
  poll->next = now + POLL_INTERVAL_USEC;
  poll->begun = now;
  poll->length = 0;
  request.to = node->proxy.server;
  request.method = "GET";
  request.target = POLL_PATH;
  request.deadline = now + POLL_TIMEOUT_USEC;
  poll->call = http_start (&node->proxy.http, &request, on_poll_event, node);
  http_finish (&node->proxy.http, poll->call);
}

/* Make the next poll due immediately; called when the server failed a
   request or a poll.  */
void
server_poll_soon (struct node *node)
{
  node->poll.next = 0;
}
