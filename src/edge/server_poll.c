#include "edge/server_poll.h"

#include "edge/node.h"

#include <string.h>

#define POLL_PATH "/bambootally/load"
#define POLL_EVERY_USEC ((gint64)500000)
#define POLL_TIMEOUT_USEC ((gint64)500000)
#define FAILURES_TO_DOWN 3u /* failures in a row after which it is down */

/* Tell the core what the report says.  */
static void
take_report (struct node *node)
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

/* The poll failed with CODE.  A server is down if nothing listens at its
   address, or if it has not answered a few times.  A kept connection that has
   gone silent is not used again.  */
static void
take_failure (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_SERVER_DOWN };

  node->server_poll.consecutive_failures++;
  if (code == ERR_TIMEOUT)
    http_drop_idle (&node->proxy.http, node->proxy.server_address);
  server_poll_soon (node);
  event.u.server_down.not_listening = code == ERR_REFUSED;
  if (code == ERR_REFUSED
      || node->server_poll.consecutive_failures >= FAILURES_TO_DOWN)
    node_handle_event (node, &event);
}

/* The poll has ended with CODE.  */
static void
take_end (struct node *node, enum err code)
{
  node->server_poll.pending_call = HANDLE_NONE;
  if (code != ERR_NONE)
    {
      take_failure (node, code);
      return;
    }
  node->server_poll.consecutive_failures = 0;
  take_report (node);
}

/* Something happened to the poll.  */
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
      take_end (node, event->code);
      break;
    }
}

/* Ask the server if it is time, and it has announced itself.  */
void
server_poll_step (struct node *node, gint64 now)
{
  struct server_poll *poll = &node->server_poll;
  struct http_request request = { 0 };

  if (node->proxy.server_address.port == 0
      || handle_is_set (poll->pending_call) || now < poll->next_poll_at)
    return;
  poll->next_poll_at = now + POLL_EVERY_USEC;
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

/* A connection to the server broke: ask it soon.  */
void
server_poll_soon (struct node *node)
{
  node->server_poll.next_poll_at = 0;
}
