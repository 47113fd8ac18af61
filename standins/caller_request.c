#include "standins/caller_request.h"
#include "types/clock.h"

#include "edge/headers.h"

#include <stdio.h>
#include <string.h>

#define UPLOAD_PART_BYTES 65536 /* an upload is written in such parts */
#define SENDINGS_MAX 4u /* sendings of one request for want of a stamp */

static void send_request (struct caller_request *request);

/* Uploads */

/* Write more of the upload while little is queued.  */
static void
write_upload (struct caller_request *request)
{
  struct http *http = &request->caller->http_client;
  static guint8 part[UPLOAD_PART_BYTES];

  memset (part, (int)('a' + request->serial % 26), sizeof part);
  while (request->upload_left > 0
         && http_unsent (http, request->call) < UPLOAD_PART_BYTES)
    {
      gsize count = (gsize)MIN (request->upload_left, UPLOAD_PART_BYTES);
      g_checksum_update (request->upload_digest, part, (gssize)count);
      http_write (http, request->call, part, count);
      request->upload_left -= (gint64)count;
    }
  if (request->upload_left == 0)
    http_finish (http, request->call);
}

/* Answers */

/* Tell whether the answer is to this very request.  */
static gboolean
is_own_answer (const struct caller_request *request)
{
  const char *sha = strstr (request->answer_body->str, "sha256=");
  const char *id = strstr (request->answer_body->str, "id=");

  if (id == NULL || sha == NULL)
    return TRUE;
  return strncmp (id + 3, request->id, strlen (request->id)) == 0
         && strncmp (sha + 7, g_checksum_get_string (request->upload_digest),
                     64)
                == 0;
}

/* Count a whole answer.  */
static void
count_answer (struct caller_request *request, gint64 usec)
{
  struct caller_totals *totals = request->caller->totals;

  if (request->has_answer_outcome
      && request->answer_outcome == OUTCOME_NOT_RUN)
    totals->not_run_count++;
  else if (request->has_answer_outcome
           && request->answer_outcome == OUTCOME_UNKNOWN)
    totals->unknown_count++;
  else if (request->answer_status != SOUP_STATUS_OK)
    totals->other_status_count++;
  else if (!is_own_answer (request))
    totals->mismatched_count++;
  else
    {
      totals->done_count++;
      g_array_append_val (totals->latencies_usec, usec);
    }
}

/* Tell whether the request is to be sent again under the stamp that was
   offered: it has not run, for want of a stamp or because the node that gave
   out its stamp is leaving.  */
static gboolean
wants_stamp (const struct caller_request *request)
{
  return request->has_answer_outcome
         && request->answer_outcome == OUTCOME_NOT_RUN
         && request->send_count < SENDINGS_MAX
         && ((request->answer_reason == REASON_NO_STAMP
              && request->offered_stamp != NULL)
             || (request->answer_reason == REASON_DRAINING
                 && request->stamp != NULL));
}

/* Release a request.  */
static void
request_free (struct caller_request *request)
{
  g_string_free (request->answer_body, TRUE);
  g_checksum_free (request->upload_digest);
  g_free (request->path);
  g_free (request->stamp);
  g_free (request->offered_stamp);
  g_free (request);
}

/* A request has ended.  */
static void
finish (struct caller_request *request, const struct http_event *event)
{
  struct caller *caller = request->caller;
  gint64 usec = clock_usec () - request->started_at;

  if (event->code == ERR_NONE && wants_stamp (request))
    {
      g_free (request->stamp);
      request->stamp = g_steal_pointer (&request->offered_stamp);
      send_request (request);
      return;
    }
  if (event->code != ERR_NONE)
    caller->totals->incomplete_count++;
  else
    count_answer (request, usec);
  if (!caller->settings->quiet)
    printf ("%s status=%u error=%s usec=%" G_GINT64_FORMAT " %s", request->id,
            request->answer_status, err_name (event->code), usec,
            request->answer_body->len > 0 ? request->answer_body->str : "\n");
  request_free (request);
  caller->active_count--;
  caller_send_next (caller);
}

/* Take in the head of an answer.  */
static void
take_head (struct caller_request *request, const struct http_event *event)
{
  const char *outcome
      = soup_message_headers_get_one (event->headers, HEADER_OUTCOME);
  const char *reason
      = soup_message_headers_get_one (event->headers, HEADER_REASON);
  int i;

  request->answer_status = event->status;
  request->answer_reason
      = reason != NULL ? reason_parse (reason) : REASON_NONE;
  g_free (request->offered_stamp);
  request->offered_stamp
      = g_strdup (soup_message_headers_get_one (event->headers, HEADER_STAMP));
  for (i = OUTCOME_DONE; outcome != NULL && i <= OUTCOME_UNKNOWN; i++)
    if (strcmp (outcome, outcome_name ((enum outcome)i)) == 0)
      {
        request->answer_outcome = (enum outcome)i;
        request->has_answer_outcome = TRUE;
      }
}

/* Something happened to a request.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct caller_request *request = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      take_head (request, event);
      break;
    case HTTP_DATA:
      if (request->answer_body->len < UPLOAD_PART_BYTES)
        g_string_append_len (request->answer_body, (const char *)event->bytes,
                             (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
      break;
    case HTTP_DRAINED:
      write_upload (request);
      break;
    case HTTP_ENDED:
      finish (request, event);
      break;
    }
}

/* Requests */

/* The headers of a request.  */
static SoupMessageHeaders *
request_headers (const struct caller_request *request)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);

  soup_message_headers_append (headers, HEADER_ID, request->id);
  if (request->stamp != NULL)
    soup_message_headers_append (headers, HEADER_STAMP, request->stamp);
  return headers;
}

/* Send a request, for the first time or again from its start.  */
static void
send_request (struct caller_request *request)
{
  struct caller *caller = request->caller;
  const struct caller_settings *settings = caller->settings;
  struct http_request http = { 0 };

  request->send_count++;
  request->upload_left = settings->upload_bytes;
  request->has_answer_outcome = FALSE;
  g_string_truncate (request->answer_body, 0);
  g_checksum_reset (request->upload_digest);
  http.address = settings->node_address;
  http.method = settings->method;
  http.target = request->path;
  http.headers = request_headers (request);
  http.body_length = settings->upload_bytes;
  http.deadline = request->started_at + settings->timeout_usec;
  request->call = http_start (&caller->http_client, &http, on_event, request);
  write_upload (request);
  soup_message_headers_unref (http.headers);
}

/* Send the next request of CALLER to PATH, which it takes.  */
void
caller_request_new (struct caller *caller, char *path)
{
  struct caller_request *request = g_new0 (struct caller_request, 1);

  request->caller = caller;
  request->serial = caller->started_count++;
  request->started_at = clock_usec ();
  request->path = path;
  request->answer_body = g_string_new (NULL);
  request->upload_digest = g_checksum_new (G_CHECKSUM_SHA256);
  g_snprintf (request->id, sizeof request->id, "%" G_GINT64_MODIFIER "x-%u",
              caller->run_id, request->serial);
  caller->active_count++;
  send_request (request);
}
