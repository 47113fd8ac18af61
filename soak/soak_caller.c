#include "soak/soak_caller.h"

#include "types/clock.h"

#include <string.h>

#define DEADLINE_MSEC "1500"                /* that the caller waits */
#define DEADLINE_USEC ((gint64)3000000)     /* then it gives the call up */
#define BODY "a body that must arrive once" /* of requests that run once */

/* The caller knows how its request ended.  */
static void
finish (struct soak_caller *caller, const struct http_event *event)
{
  char *body = g_strndup ((const char *)caller->answer_body->data,
                          caller->answer_body->len);
  char *right = g_strdup_printf ("answer to %s", caller->request_id);

  soak_checker_answered (caller->checker, caller->request_id,
                         event->code == ERR_NONE ? caller->answer_status : 0,
                         caller->has_stamp && strcmp (body, right) == 0);
  g_free (body);
  g_free (right);
  g_byte_array_unref (caller->answer_body);
  g_free (caller);
}

/* Something happened to the request.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct soak_caller *caller = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      caller->answer_status = event->status;
      caller->has_stamp
          = soup_message_headers_get_one (event->headers, "Server-Stamp")
            != NULL;
      break;
    case HTTP_DATA:
      g_byte_array_append (caller->answer_body, event->bytes,
                           (guint)event->byte_count);
      break;
    case HTTP_ENDED:
      finish (caller, event);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    }
}

/* Send what ASK says by HTTP; BOOK is told of it and of its end.  */
void
soak_caller_send (struct soak_checker *book, struct http *http,
                  const struct soak_caller_request *ask)
{
  struct soak_caller *caller = g_new0 (struct soak_caller, 1);
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  struct http_request request
      = { .address = ask->node_address,
          .method = ask->at_most_once ? "POST" : "GET",
          .target = ask->at_most_once ? "/once/x" : "/own/x",
          .headers = headers,
          .body_length = ask->at_most_once ? strlen (BODY) : 0 };
  char key[KEY_SIZE];
  struct handle call;

  caller->checker = book;
  caller->answer_body = g_byte_array_new ();
  g_strlcpy (caller->request_id, ask->request_id, sizeof caller->request_id);
  g_snprintf (key, sizeof key, "%u", ask->shard_key);
  soup_message_headers_append (headers, "Host", "soak");
  soup_message_headers_append (headers, "Request-Id", ask->request_id);
  soup_message_headers_append (headers, "Deadline-Ms", DEADLINE_MSEC);
  if (!ask->at_most_once)
    soup_message_headers_append (headers, "Shard-Key", key);
  request.deadline = clock_usec () + DEADLINE_USEC;
  soak_checker_sent (book, ask->request_id, ask->at_most_once, clock_usec ());
  call = http_start (http, &request, on_event, caller);
  if (ask->at_most_once)
    http_write (http, call, (const guint8 *)BODY, strlen (BODY));
  http_finish (http, call);
  soup_message_headers_unref (headers);
}
