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
  struct server_poll *poll = &node->server_poll;
  struct event event = { .kind = EVENT_SERVER_LOAD };
  const char *busy;

  poll->report[poll->report_length] = '\0';
  busy = strstr (poll->report, "busy=");
  if (poll->http_status != SOUP_STATUS_OK || busy == NULL)
    return;
  event.u.server_load.busy_slots
      = (guint32)g_ascii_strtoull (busy + strlen ("busy="), NULL, 10);
  event.u.server_load.measured_at = poll->poll_started_at;
  node_handle_event (node, &event);
}

/* Handle a poll that failed with CODE.  The server is down if nothing listens
   on its address, or after DOWN_AFTER_FAILURES consecutive failures.  After a
   timeout the idle connections are closed, since they may be dead.  The next
   poll is due immediately.  */
static void
handle_failure (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_SERVER_DOWN };

  node->server_poll.consecutive_failures++;
  if (code == ERR_TIMEOUT)
    http_drop_idle (&node->proxy.http, node->proxy.server_address);
  server_poll_soon (node);
  event.u.server_down.not_listening = code == ERR_REFUSED;
  if (code == ERR_REFUSED
      || node->server_poll.consecutive_failures >= DOWN_AFTER_FAILURES)
    node_handle_event (node, &event);
}

/* Handle the end of a poll with CODE.  */
static void
handle_end (struct node *node, enum err code)
{
  node->server_poll.pending_call = HANDLE_NONE;
  if (code != ERR_NONE)
    {
      handle_failure (node, code);
      return;
    }
  node->server_poll.consecutive_failures = 0;
  handle_report (node);
}

/* Handle an event of the pending poll.  */
static void
on_poll_event (const struct http_event *event, gpointer data)
{
  struct node *node = data;
  struct server_poll *poll = &node->server_poll;
  gsize room = sizeof poll->report - 1 - poll->report_length;

  switch (event->kind)
    {
    case HTTP_HEAD:
      poll->http_status = event->status;
      break;
    case HTTP_DATA:
      memcpy (poll->report + poll->report_length, event->bytes,
              MIN (event->byte_count, room));
      poll->report_length += MIN (event->byte_count, room);
      break;
    case HTTP_BATCH_END:
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
  struct server_poll *poll = &node->server_poll;
  struct http_request request = { 0 };

  if (node->proxy.server_address.port == 0
      || handle_is_set (poll->pending_call) || now < poll->next_poll_at)
    return;
  poll->next_poll_at = now + POLL_INTERVAL_USEC;
  poll->poll_started_at = now;
  poll->report_length = 0;
  request.address = node->proxy.server_address;
  request.method = "GET";
  request.target = POLL_PATH;
  request.deadline = now + POLL_TIMEOUT_USEC;
  poll->pending_call
      = http_start (&node->proxy.http, &request, on_poll_event, node);
  http_finish (&node->proxy.http, poll->pending_call);
}

/* Make the next poll due immediately; called when the server failed a
   request or a poll.  */
void
server_poll_soon (struct node *node)
{
  node->server_poll.next_poll_at = 0;
}
