#include "standins/back_work.h"
#include "types/clock.h"

#include "edge/headers.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define WORK_DATA "standin-work"  /* the work of a message */
#define COLD_FACTOR 10u           /* a cold server is so much slower */
#define ANSWER_CHUNK_BYTES 16384u /* a long answer goes in such parts */
#define USEC_PER_MSEC_LOCAL 1000

/* A request under way.  */
struct back_work
{
  struct back_server *back;   /* the server */
  SoupServerMessage *message; /* the request */
  GChecksum *body_digest;     /* of the body */
  guint64 body_bytes;         /* in the body */
  gboolean holds_slot;        /* whether it runs */
  guint run_timer;            /* the end of its run */
  guint64 answer_bytes_left;  /* bytes of a long answer to send */
};

/* A header of the request, or an empty text.  */
static const char *
header (SoupServerMessage *message, const char *name)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), name);

  return value != NULL ? value : "";
}

/* Write a line about the request: time, event, key, slice, fence, id.  */
static void
record (const struct back_work *work, const char *event)
{
  SoupServerMessage *message = work->message;

  if (work->back->record_file == NULL)
    return;
  fprintf (work->back->record_file,
           "%" G_GINT64_FORMAT " %s key=%s slice=%s fence=%s id=%s\n",
           clock_usec (), event, header (message, HEADER_KEY),
           header (message, HEADER_SLICE), header (message, HEADER_FENCE),
           header (message, HEADER_ID));
  fflush (work->back->record_file);
}

/* Release a request.  */
static void
work_free (gpointer data)
{
  struct back_work *work = data;

  if (work->run_timer != 0)
    g_source_remove (work->run_timer);
  if (work->holds_slot)
    work->back->busy_count--;
  g_checksum_free (work->body_digest);
  g_free (work);
}

/* Refuse a request before it has run.  */
static void
refuse (SoupServerMessage *message, const char *reason)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);

  soup_message_headers_replace (headers, HEADER_OUTCOME, "not-run");
  soup_message_headers_replace (headers, HEADER_REASON, reason);
  soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                  NULL);
}

/* Tell whether the fence is as new as any seen for the slice and the lease
   has not lapsed.  Node and server share the host's monotonic clock.  */
static gboolean
fence_holds (struct back_server *back, SoupServerMessage *message)
{
  const char *slice = header (message, HEADER_SLICE);
  const char *until = header (message, HEADER_LEASE);
  gpointer key = GUINT_TO_POINTER (strtoul (slice, NULL, 10) + 1);
  struct fence fence;
  struct fence *seen;

  if (!back->settings.checks_fences || slice[0] == '\0')
    return TRUE;
  if (!fence_parse (header (message, HEADER_FENCE), &fence)
      || g_ascii_strtoll (until, NULL, 10) <= clock_usec ())
    return FALSE;
  seen = g_hash_table_lookup (back->newest_fences, key);
  if (seen != NULL && fence_compare (fence, *seen) < 0)
    return FALSE;
  g_hash_table_insert (back->newest_fences, key,
                       g_memdup2 (&fence, sizeof fence));
  return TRUE;
}

/* A part of the body came.  */
static void
on_got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct back_work *work = data;
  gsize count;
  const guint8 *bytes = g_bytes_get_data (chunk, &count);

  (void)message;
  g_checksum_update (work->body_digest, bytes, (gssize)count);
  work->body_bytes += count;
}

/* The caller went away: the work is cancelled.  */
static void
on_disconnected (SoupServerMessage *message, gpointer data)
{
  struct back_work *work = data;

  (void)message;
  if (work->run_timer != 0)
    record (work, "cancelled");
  g_clear_handle_id (&work->run_timer, g_source_remove);
}

/* Send the next part of a long answer.  */
static void
on_wrote_chunk (SoupServerMessage *message, gpointer data)
{
  struct back_work *work = data;
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  gsize count = (gsize)MIN (work->answer_bytes_left, ANSWER_CHUNK_BYTES);

  if (count == 0)
    return;
  soup_message_body_append_take (body, g_malloc0 (count), count);
  work->answer_bytes_left -= count;
  if (work->answer_bytes_left == 0)
    soup_message_body_complete (body);
}

/* Answer with as many bytes as the caller asked for.  */
static void
answer_long (struct back_work *work)
{
  SoupMessageBody *body
      = soup_server_message_get_response_body (work->message);

  soup_message_headers_set_content_length (
      soup_server_message_get_response_headers (work->message),
      (goffset)work->answer_bytes_left);
  soup_message_body_set_accumulate (body, FALSE);
  g_signal_connect (work->message, "wrote-chunk", G_CALLBACK (on_wrote_chunk),
                    work);
  on_wrote_chunk (work->message, work);
}

/* The run is over: answer.  */
static gboolean
on_run_over (gpointer data)
{
  struct back_work *work = data;
  SoupServerMessage *message = work->message;
  char *text = g_strdup_printf (
      "server=%s key=%s id=%s bytes=%" G_GUINT64_FORMAT " sha256=%s\n",
      work->back->settings.name, header (message, HEADER_KEY),
      header (message, HEADER_ID), work->body_bytes,
      g_checksum_get_string (work->body_digest));

  work->run_timer = 0;
  record (work, "done");
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  if (work->answer_bytes_left > 0)
    answer_long (work);
  else
    soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_COPY,
                                      text, strlen (text));
  g_free (text);
  work->holds_slot = FALSE;
  work->back->busy_count--;
  if (!work->back->unresponsive)
    soup_server_message_unpause (message);
  return G_SOURCE_REMOVE;
}

/* The headers of a request have come.  */
void
back_work_begin (struct back_server *back, SoupServerMessage *message,
                 const char *path)
{
  struct back_work *work;
  const char *attempt = header (message, HEADER_ATTEMPT);

  (void)path;
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), HEADER_ATTEMPT,
      attempt);
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  if (!fence_holds (back, message))
    {
      refuse (message, "refused-grant");
      return;
    }
  if (back->busy_count >= back->settings.slot_count)
    {
      refuse (message, "overload");
      return;
    }
  work = g_new0 (struct back_work, 1);
  work->back = back;
  work->message = message;
  work->body_digest = g_checksum_new (G_CHECKSUM_SHA256);
  work->holds_slot = TRUE;
  back->busy_count++;
  g_object_set_data_full (G_OBJECT (message), WORK_DATA, work, work_free);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_got_chunk), work);
  g_signal_connect (message, "disconnected", G_CALLBACK (on_disconnected),
                    work);
  record (work, "begin");
  if (strcmp (header (message, "X-Poison"), "yes") == 0)
    raise (SIGKILL);
}

/* The body of a request has come whole: it runs for its time.  */
void
back_work_received (SoupServerMessage *message, GHashTable *query)
{
  struct back_work *work = g_object_get_data (G_OBJECT (message), WORK_DATA);
  const char *bytes
      = query != NULL ? g_hash_table_lookup (query, "bytes") : NULL;
  const char *msec
      = query != NULL ? g_hash_table_lookup (query, "run-ms") : NULL;
  guint run_msec;
  gint64 cold_until;

  if (work == NULL)
    return;
  run_msec = msec != NULL ? (guint)strtoul (msec, NULL, 10)
                          : work->back->settings.run_msec;
  cold_until
      = work->back->started_at
        + (gint64)work->back->settings.warmup_msec * USEC_PER_MSEC_LOCAL;
  if (clock_usec () < cold_until)
    run_msec *= COLD_FACTOR;
  if (bytes != NULL)
    work->answer_bytes_left = g_ascii_strtoull (bytes, NULL, 10);
  soup_server_message_pause (message);
  if (run_msec == 0)
    on_run_over (work);
  else
    work->run_timer = g_timeout_add (run_msec, on_run_over, work);
}
