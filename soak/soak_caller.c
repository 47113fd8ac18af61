#include "soak/soak_caller.h"

#include "types/clock.h"

#include <string.h>

#define DEADLINE_MSEC "1500" /* deadline that the request carries */
#define CALL_TIMEOUT_USEC                                                     \
  ((gint64)3000000) /* time until the caller abandons the request */
#define ONCE_BODY                                                             \
  "a body that must arrive once" /* body of requests that may run once */

/* Report the end of the request to the checker and release CALLER.  */
static void
finish (struct soak_caller *caller, const struct http_event *event)
{
  char *body
      = g_strndup ((const char *)caller->answer->data, caller->answer->len);
  char *expected = g_strdup_printf ("answer to %s", caller->id);

  soak_book_told (caller->book, caller->id,
                  event->code == ERR_NONE ? caller->status : 0,
                  caller->stamped && strcmp (body, expected) == 0);
  g_free (body);
  g_free (expected);
  g_byte_array_unref (caller->answer);
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
      caller->status = event->status;
      caller->stamped
          = soup_message_headers_get_one (event->headers, "Server-Stamp")
            != NULL;
      break;
    case HTTP_DATA:
      g_byte_array_append (caller->answer, event->bytes, (guint)event->count);
      break;
    case HTTP_ENDED:
      finish (caller, event);
      break;
    case HTTP_FLUSH:
    case HTTP_DRAINED:
      break;
    }
}

/* Send the request that PARAMETERS describe with HTTP.  CHECKER is told of the
   request and of its end.  */
void
soak_caller_send (struct soak_book *checker, struct http *http,
                  const struct soak_ask *parameters)
{
  struct soak_caller *caller = g_new0 (struct soak_caller, 1);
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  struct http_request request
      = { .to = parameters->node,
          .method = parameters->once ? "POST" : "GET",
          .target = parameters->once ? "/once/x" : "/own/x",
          .headers = headers,
          .length = parameters->once ? strlen (ONCE_BODY) : 0 };
  char key[KEY_SIZE];
  struct handle call;

  caller->book = checker;
  caller->answer = g_byte_array_new ();
  g_strlcpy (caller->id, parameters->id, sizeof caller->id);
  g_snprintf (key, sizeof key, "%u", parameters->key);
  soup_message_headers_append (headers, "Host", "soak");
  soup_message_headers_append (headers, "Request-Id", parameters->id);
  soup_message_headers_append (headers, "Deadline-Ms", DEADLINE_MSEC);
  if (!parameters->once)
    soup_message_headers_append (headers, "Shard-Key", key);
  request.deadline = clock_usec () + CALL_TIMEOUT_USEC;
  soak_book_sent (checker, parameters->id, parameters->once, clock_usec ());
  call = http_start (http, &request, on_event, caller);
  if (parameters->once)
    http_write (http, call, (const guint8 *)ONCE_BODY, strlen (ONCE_BODY));
  http_finish (http, call);
  soup_message_headers_unref (headers);
}
