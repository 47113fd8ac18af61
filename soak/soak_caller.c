#include "soak/soak_caller.h"
#include "soak/soak_config.h"

#include "types/clock.h"

#include <string.h>

#define DEADLINE_MSEC "1500" /* deadline in the request's header */
#define CALL_TIMEOUT_USEC ((gint64)3000000) /* of the whole call */
#define BREAK_BYTES 6u      /* bytes of a body sent before it breaks off */
#define BREAK_MSEC_MAX 400u /* longest time until then */

/* Report the end of the request to the checker and release CALLER.  */
static void
finish (struct soak_caller *caller, const struct http_event *event)
{
  char *body = g_strndup ((const char *)caller->answer_body->data,
                          caller->answer_body->len);
  char *expected = g_strdup_printf ("answer to %s", caller->request_id);

  if (caller->break_timer != 0)
    g_source_remove (caller->break_timer);
  soak_checker_answered (caller->checker, caller->request_id,
                         event->code == ERR_NONE ? caller->answer_status : 0,
                         caller->has_stamp && strcmp (body, expected) == 0);
  g_free (body);
  g_free (expected);
  g_byte_array_unref (caller->answer_body);
  g_free (caller);
}

/* Handle an event of the HTTP client for the request.  */
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

/* Leave before the end of the request body.  Timer callback.  */
static gboolean
on_break (gpointer data)
{
  struct soak_caller *caller = data;
  struct http_event ended = { .kind = HTTP_ENDED, .code = ERR_CLOSED };

  caller->break_timer = 0;
  http_abort (caller->http, caller->call);
  finish (caller, &ended);
  return G_SOURCE_REMOVE;
}

/* Send the body of the request of CALLER, or a part of it in chunks.  */
static void
send_body (struct soak_caller *caller,
           const struct soak_caller_request *parameters)
{
  const guint8 *body = (const guint8 *)SOAK_ONCE_BODY;

  if (parameters->breaks_off)
    {
      soak_checker_breaks_off (caller->checker, caller->request_id);
      http_write (caller->http, caller->call, body, BREAK_BYTES);
      caller->break_timer = g_timeout_add (
          g_str_hash (caller->request_id) % BREAK_MSEC_MAX, on_break, caller);
      return;
    }
  if (parameters->at_most_once)
    http_write (caller->http, caller->call, body, strlen (SOAK_ONCE_BODY));
  http_finish (caller->http, caller->call);
}

/* Send the request that PARAMETERS describe with the client HTTP.  CHECKER
   records the request and its end.  */
void
soak_caller_send (struct soak_checker *checker, struct http *http,
                  const struct soak_caller_request *parameters)
{
  struct soak_caller *caller = g_new0 (struct soak_caller, 1);
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  const char *body = parameters->at_most_once ? SOAK_ONCE_BODY : "";
  struct http_request request
      = { .address = parameters->node_address,
          .method = parameters->at_most_once ? "POST" : "GET",
          .target = parameters->at_most_once ? "/once/x" : "/own/x",
          .headers = headers,
          .body_length = (gint64)strlen (body) };
  char key[KEY_SIZE];

  if (parameters->breaks_off)
    request.body_length = -1;
  caller->checker = checker;
  caller->answer_body = g_byte_array_new ();
  g_strlcpy (caller->request_id, parameters->request_id,
             sizeof caller->request_id);
  g_snprintf (key, sizeof key, "%u", parameters->shard_key);
  soup_message_headers_append (headers, "Host", SOAK_HOST_HEADER);
  soup_message_headers_append (headers, "Request-Id", parameters->request_id);
  soup_message_headers_append (headers, "Deadline-Ms", DEADLINE_MSEC);
  if (!parameters->at_most_once)
    soup_message_headers_append (headers, "Shard-Key", key);
  request.deadline = clock_usec () + CALL_TIMEOUT_USEC;
  soak_checker_sent (checker, parameters->request_id, parameters->at_most_once,
                     clock_usec ());
  caller->http = http;
  caller->call = http_start (http, &request, on_event, caller);
  send_body (caller, parameters);
  soup_message_headers_unref (headers);
}
