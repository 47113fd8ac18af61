#include "edge/log_client.h"
#include "types/clock.h"

#include "wire/wire_record.h"

#include <string.h>

#define READ_WAIT_MSEC 700 /* long poll: the service waits for records */
#define READ_TIMEOUT_USEC ((gint64)2000000)    /* timeout of a read */
#define READ_RETRY_DELAY_USEC ((gint64)250000) /* wait after a failed read */
#define READ_MAX_RECORDS 500 /* most records in one response */
/* Limit of the answer to a read, and to an append, in bytes.  */
#define READ_BYTES_MAX ((gsize)READ_MAX_RECORDS * RECORD_BYTES_MAX)
#define APPEND_ANSWER_BYTES_MAX 4096u
#define APPEND_TIMEOUT_USEC ((gint64)2000000) /* timeout of an append */

/* An append that has not been answered yet.  */
struct log_append
{
  struct log_client *client; /* client that made the append */
  guint64 serial;            /* serial of the record */
  struct handle call;        /* HTTP call */
  guint status;              /* HTTP status of the response */
  GString *body;             /* response body: offset of the record */
};

/* Reading */

/* Report that the read failed with CODE, and schedule the next one.  */
static void
read_failed (struct log_client *client, enum err code)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  event.u.log_failed.code = code;
  event.u.log_failed.first_retained = client->first_retained;
  client->retry_at = clock_usec () + READ_RETRY_DELAY_USEC;
  client->fn (&event, client->data);
}

/* Report the records of a completed read.  A log whose end lies before an
   offset that was already read has lost records.  It is treated as down,
   because its next records would reuse offsets of the lost ones.  */
static void
read_done (struct log_client *client)
{
  struct event event = { .kind = EVENT_RECORDS };
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));
  enum err code = record_decode_frames (entries, client->read_body->data,
                                        client->read_body->len);

  if (code == ERR_NONE && client->end_offset < client->next_offset)
    code = ERR_TRUNCATED;
  if (code == ERR_NONE)
    {
      if (entries->len > 0)
        client->next_offset
            = g_array_index (entries, struct log_entry, entries->len - 1)
                  .offset
              + 1;
      event.u.records.items = (const struct log_entry *)entries->data;
      event.u.records.count = entries->len;
      event.u.records.next_offset = client->next_offset;
      event.u.records.first_retained = client->first_retained;
      event.u.records.at_end = client->next_offset >= client->end_offset;
      if (event.u.records.at_end)
        client->up_to_date_at = client->read_started_at;
      event.u.records.from_log = TRUE;
      event.u.records.started_at = client->read_started_at;
      client->fn (&event, client->data);
    }
  else
    read_failed (client, code);
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
}

/* Return the decimal value of the header NAME, or FALLBACK if there is no such
   header.  */
static guint64
header_number (SoupMessageHeaders *headers, const char *name, guint64 fallback)
{
  const char *value = soup_message_headers_get_one (headers, name);

  return value != NULL ? g_ascii_strtoull (value, NULL, 10) : fallback;
}

/* Handle an event of the pending read.  */
static void
on_read_event (const struct http_event *event, gpointer data)
{
  struct log_client *client = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      client->read_status = event->status;
      client->first_retained = header_number (event->headers, "Log-First", 0);
      client->end_offset
          = header_number (event->headers, "Log-Tail", G_MAXUINT64);
      break;
    case HTTP_DATA:
      g_byte_array_append (client->read_body, event->bytes,
                           (guint)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      client->read_call = HANDLE_NONE;
      if (event->code != ERR_NONE)
        read_failed (client, event->code);
      else if (client->read_status == SOUP_STATUS_OK)
        read_done (client);
      else
        read_failed (client, client->read_status == SOUP_STATUS_GONE
                                 ? ERR_NOT_RETAINED
                                 : ERR_UNAVAILABLE);
      break;
    }
}

/* Start a read if none is pending, the client is not stopped and the delay
   after a failure has passed.  */
void
log_client_step (struct log_client *client, gint64 now)
{
  struct http_request request = { 0 };
  char *target;

  if (client->is_stopped || handle_is_set (client->read_call)
      || now < client->retry_at)
    return;
  target = g_strdup_printf (
      "/streams/%s?from=%" G_GUINT64_FORMAT "&max=%d&wait-ms=%d",
      client->stream, client->next_offset, READ_MAX_RECORDS, READ_WAIT_MSEC);
  request.address = client->address;
  request.method = "GET";
  request.target = target;
  request.deadline = now + READ_TIMEOUT_USEC;
  request.response_bytes_max = READ_BYTES_MAX;
  client->read_started_at = now;
  client->read_status = 0;
  g_byte_array_set_size (client->read_body, 0);
  client->read_call
      = http_start (client->http, &request, on_read_event, client);
  http_finish (client->http, client->read_call);
  g_free (target);
}

/* Stop reading until the next log_client_seek.  */
void
log_client_stop (struct log_client *client)
{
  http_abort (client->http, client->read_call);
  client->read_call = HANDLE_NONE;
  client->is_stopped = TRUE;
}

/* Abort the pending read and continue at the offset NEXT.  */
void
log_client_seek (struct log_client *client, guint64 next)
{
  http_abort (client->http, client->read_call);
  client->read_call = HANDLE_NONE;
  client->next_offset = next;
  client->is_stopped = FALSE;
  client->retry_at = 0;
}

/* Appending */

/* Release an append.  */
static void
append_free (gpointer data)
{
  struct log_append *append = data;

  g_string_free (append->body, TRUE);
  g_free (append);
}

/* Report the result CODE of an append, and release it.  */
static void
append_done (struct log_append *append, enum err code)
{
  struct log_client *client = append->client;
  struct event event = { .kind = EVENT_APPENDED };

  event.u.appended.serial = append->serial;
  event.u.appended.code = code;
  event.u.appended.offset = g_ascii_strtoull (append->body->str, NULL, 10);
  g_hash_table_remove (client->pending_appends, append);
  client->fn (&event, client->data);
}

/* Return the result of an append that ended as EVENT says.  An error that does
   not prove that nothing was written is ERR_INDETERMINATE.  */
static enum err
append_code (const struct log_append *append, const struct http_event *event)
{
  if (event->code != ERR_NONE)
    return event->any_sent ? ERR_INDETERMINATE : ERR_REFUSED;
  if (append->status == SOUP_STATUS_OK)
    return ERR_NONE;
  return append->status == SOUP_STATUS_SERVICE_UNAVAILABLE ? ERR_UNAVAILABLE
                                                           : ERR_INDETERMINATE;
}

/* Handle an event of a pending append.  */
static void
on_append_event (const struct http_event *event, gpointer data)
{
  struct log_append *append = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      append->status = event->status;
      break;
    case HTTP_DATA:
      g_string_append_len (append->body, (const char *)event->bytes,
                           (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      append_done (append, append_code (append, event));
      break;
    }
}

/* Append RECORD.  EVENT_APPENDED reports the result, within
   APPEND_TIMEOUT_USEC of NOW.  */
void
log_client_append (struct log_client *client, const struct record *record,
                   gint64 now)
{
  GByteArray *bytes = record_encode (record);
  struct log_append *append = g_new0 (struct log_append, 1);
  struct http_request request = { 0 };
  char *target = g_strdup_printf ("/streams/%s", client->stream);

  append->client = client;
  append->serial = record->serial;
  append->body = g_string_new (NULL);
  g_hash_table_add (client->pending_appends, append);
  request.address = client->address;
  request.method = "POST";
  request.target = target;
  request.body_length = bytes->len;
  request.deadline = now + APPEND_TIMEOUT_USEC;
  request.response_bytes_max = APPEND_ANSWER_BYTES_MAX;
  append->call = http_start (client->http, &request, on_append_event, append);
  http_write (client->http, append->call, bytes->data, bytes->len);
  http_finish (client->http, append->call);
  g_byte_array_unref (bytes);
  g_free (target);
}

/* Initialize a client for the stream STREAM of the log service at ADDRESS.  FN
   is called with DATA for each event.  */
void
log_client_init (struct log_client *client, struct http *http,
                 struct address address, const char *stream, log_client_fn *fn,
                 gpointer data)
{
  memset (client, 0, sizeof *client);
  client->http = http;
  client->address = address;
  g_strlcpy (client->stream, stream, sizeof client->stream);
  client->fn = fn;
  client->data = data;
  client->read_body = g_byte_array_new ();
  client->pending_appends
      = g_hash_table_new_full (NULL, NULL, append_free, NULL);
}

/* Abort the pending read and appends without reporting them, and release
   CLIENT.  */
void
log_client_clear (struct log_client *client)
{
  GHashTableIter iter;
  gpointer key;

  http_abort (client->http, client->read_call);
  g_hash_table_iter_init (&iter, client->pending_appends);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    http_abort (client->http, ((struct log_append *)key)->call);
  g_hash_table_destroy (client->pending_appends);
  g_byte_array_unref (client->read_body);
}
