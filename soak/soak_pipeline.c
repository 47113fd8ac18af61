#include "soak/soak_pipeline.h"

#include "edge/http_head.h"
#include "soak/soak_caller.h"
#include "soak/soak_config.h"
#include "types/clock.h"

#include <string.h>

#define DEADLINE_MSEC "1500"    /* deadline in the requests' headers */
#define STATUS_NOT_READ 503u    /* recorded for what did not run */
#define CALL_TIMEOUT_MSEC 3000u /* limit for all responses */

/* Report the end of the next request: its answer has STATUS, 0: there is none.
 */
static void
report_answer (struct soak_pipeline *pipeline, guint status)
{
  const char *id = pipeline->requests[pipeline->answered++].request_id;
  char *body = g_strndup ((const char *)pipeline->answer_body->data,
                          pipeline->answer_body->len);
  char *expected = g_strdup_printf ("answer to %s", id);

  soak_checker_answered (pipeline->checker, id, status,
                         pipeline->has_stamp && strcmp (body, expected) == 0);
  g_free (body);
  g_free (expected);
}

/* Close the connection and release PIPELINE.  Requests without an answer were
   not read if they are behind a response that closes the connection; else they
   have failed, or are abandoned by a caller that leaves.  */
static void
finish (struct soak_pipeline *pipeline, gboolean leaves)
{
  for (; leaves && pipeline->answered < pipeline->count; pipeline->answered++)
    soak_checker_abandoned (pipeline->checker);
  while (pipeline->answered < pipeline->count)
    report_answer (pipeline, pipeline->closes ? STATUS_NOT_READ : 0);
  if (pipeline->end_timer != 0)
    g_source_remove (pipeline->end_timer);
  conn_close (pipeline->conn);
  g_byte_array_unref (pipeline->answer_body);
  g_free (pipeline);
}

/* Read the head of the next response.  */
static enum err
read_head (struct soak_pipeline *pipeline)
{
  const GByteArray *received = pipeline->conn->receive_buffer;
  SoupMessageHeaders *headers;
  SoupHTTPVersion version;
  gsize length;
  enum err code = http_head_find_end (received->data, received->len, &length);

  if (code != ERR_NONE)
    return code;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  code = http_head_parse_response (received->data, length, headers, &version,
                                   &pipeline->answer_status);
  if (code == ERR_NONE)
    code = http_framing_of_response (headers, &pipeline->framing);
  pipeline->has_stamp
      = soup_message_headers_get_one (headers, "Server-Stamp") != NULL;
  pipeline->closes
      |= soup_message_headers_header_contains (headers, "Connection", "close");
  soup_message_headers_unref (headers);
  g_byte_array_set_size (pipeline->answer_body, 0);
  pipeline->has_head = TRUE;
  conn_consume (pipeline->conn, length);
  return code;
}

/* Read what was received of the body of the next response.  */
static enum err
read_body (struct soak_pipeline *pipeline)
{
  const GByteArray *received = pipeline->conn->receive_buffer;
  struct chunked_part part;
  enum err code = http_framing_read (&pipeline->framing, received->data,
                                     received->len, &part);

  if (part.data_count > 0)
    g_byte_array_append (pipeline->answer_body, part.data,
                         (guint)part.data_count);
  conn_consume (pipeline->conn, part.used);
  if (code == ERR_UNAVAILABLE && part.data_count > 0)
    return ERR_NONE;
  if (code == ERR_NONE)
    {
      pipeline->has_head = FALSE;
      report_answer (pipeline, pipeline->answer_status);
    }
  return code;
}

/* Read the responses as far as they have arrived.  ERR_UNAVAILABLE: more is to
   come.  */
static enum err
read_responses (struct soak_pipeline *pipeline)
{
  enum err code = ERR_NONE;

  while (code == ERR_NONE && pipeline->answered < pipeline->count)
    code = pipeline->has_head ? read_body (pipeline) : read_head (pipeline);
  return code;
}

/* Handle an event of the connection.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct soak_pipeline *pipeline = data;
  enum err code;

  if (event->kind == CONN_CLOSED)
    {
      finish (pipeline, FALSE);
      return;
    }
  if (event->kind != CONN_RECEIVED)
    return;
  code = read_responses (pipeline);
  if (code == ERR_UNAVAILABLE)
    return;
  if (code != ERR_NONE || conn->receive_buffer->len > 0)
    soak_checker_violation (pipeline->checker,
                            "responses are valid and belong to requests",
                            pipeline->requests[0].request_id);
  finish (pipeline, FALSE);
}

/* Close the connection.  Timer callback.  */
static gboolean
on_end (gpointer data)
{
  struct soak_pipeline *pipeline = data;

  pipeline->end_timer = 0;
  finish (pipeline, pipeline->leaves);
  return G_SOURCE_REMOVE;
}

/* Append the text of REQUEST to TEXT.  */
static void
add_request (GString *text, const struct soak_pipeline_request *request)
{
  g_string_append_printf (
      text,
      "%s HTTP/1.1\r\nHost: " SOAK_HOST_HEADER "\r\nRequest-Id: %s\r\n"
      "Deadline-Ms: " DEADLINE_MSEC "\r\n",
      request->at_most_once ? "POST /once/x" : "GET /own/x",
      request->request_id);
  if (request->at_most_once)
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s",
                            strlen (SOAK_ONCE_BODY), SOAK_ONCE_BODY);
  else
    g_string_append_printf (text, "Shard-Key: %u\r\n\r\n", request->shard_key);
}

/* Send the COUNT REQUESTS to the node at TO on one connection, all at once.
   CHECKER records them and their ends.  The caller leaves after LEAVE_MSEC
   unless that is 0.  */
void
soak_pipeline_send (struct soak_checker *checker, struct address to,
                    const struct soak_pipeline_request *requests, guint count,
                    guint leave_msec)
{
  struct soak_pipeline *pipeline = g_new0 (struct soak_pipeline, 1);
  GString *text = g_string_new (NULL);
  guint i;

  pipeline->checker = checker;
  pipeline->count = count;
  pipeline->answer_body = g_byte_array_new ();
  for (i = 0; i < count; i++)
    {
      pipeline->requests[i] = requests[i];
      soak_checker_sent (checker, requests[i].request_id,
                         requests[i].at_most_once, clock_usec ());
      add_request (text, &requests[i]);
    }
  pipeline->leaves = leave_msec > 0;
  pipeline->end_timer = g_timeout_add (
      pipeline->leaves ? leave_msec : CALL_TIMEOUT_MSEC, on_end, pipeline);
  pipeline->conn = conn_open (to, on_event, pipeline);
  conn_send (pipeline->conn, (const guint8 *)text->str, text->len);
  g_string_free (text, TRUE);
}
