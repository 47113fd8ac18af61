#include "standins/log_server.h"
#include "types/clock.h"

#include "edge/inet.h"

#include <string.h>

/* A read that waits for records.  */
struct log_waiting_read
{
  struct log_server *log;     /* the service */
  SoupServerMessage *message; /* the read, paused */
  guint64 from_offset;        /* first offset wanted */
  guint32 max_records;        /* most records wanted */
  guint timeout_timer;        /* when it is answered without records */
};

/* Reads */

/* Answer a read with what there is.  */
static void
answer_read (struct log_server *log, SoupServerMessage *message, guint64 from,
             guint32 max)
{
  GByteArray *bytes = log_store_read (&log->store, from, max);
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);
  char *first
      = g_strdup_printf ("%" G_GUINT64_FORMAT, log->store.first_offset);
  char *tail
      = g_strdup_printf ("%" G_GUINT64_FORMAT, log_store_end (&log->store));
  gsize length = bytes->len;

  log->read_count++;
  soup_message_headers_replace (headers, "Log-First", first);
  soup_message_headers_replace (headers, "Log-Tail", tail);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (
      message, "application/octet-stream", SOUP_MEMORY_TAKE,
      (char *)g_byte_array_free (bytes, FALSE), length);
  g_free (first);
  g_free (tail);
}

/* Release a read that waited.  */
static void
wait_free (gpointer data)
{
  struct log_waiting_read *wait = data;

  if (wait->timeout_timer != 0)
    g_source_remove (wait->timeout_timer);
  g_signal_handlers_disconnect_by_data (wait->message, wait);
  g_object_unref (wait->message);
  g_free (wait);
}

/* Answer a read that waited.  */
static void
wait_end (struct log_waiting_read *wait)
{
  SoupServerMessage *message = g_object_ref (wait->message);

  answer_read (wait->log, message, wait->from_offset, wait->max_records);
  g_ptr_array_remove_fast (wait->log->waiting_reads, wait);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

/* A read has waited long enough.  */
static gboolean
on_wait_timer (gpointer data)
{
  struct log_waiting_read *wait = data;

  wait->timeout_timer = 0;
  wait_end (wait);
  return G_SOURCE_REMOVE;
}

/* The reader went away.  */
static void
on_wait_gone (SoupServerMessage *message, gpointer data)
{
  struct log_waiting_read *wait = data;

  (void)message;
  g_ptr_array_remove_fast (wait->log->waiting_reads, wait);
}

/* The number in the query under NAME, or OTHERWISE.  */
static guint64
query_number (GHashTable *query, const char *name, guint64 otherwise)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

/* Take a read: answer it, or let it wait for records.  */
static void
take_read (struct log_server *log, SoupServerMessage *message,
           GHashTable *query)
{
  guint64 from = query_number (query, "from", 0);
  guint32 max = (guint32)query_number (query, "max", 1000);
  guint wait_msec = (guint)query_number (query, "wait-ms", 0);
  struct log_waiting_read *wait;

  from = MAX (from, 1);
  if (from < log->store.first_offset)
    {
      answer_read (log, message, log_store_end (&log->store), 0);
      soup_server_message_set_status (message, SOUP_STATUS_GONE, NULL);
      return;
    }
  if (from < log_store_end (&log->store) || wait_msec == 0)
    {
      answer_read (log, message, from, max);
      return;
    }
  wait = g_new0 (struct log_waiting_read, 1);
  wait->log = log;
  wait->message = g_object_ref (message);
  wait->from_offset = from;
  wait->max_records = max;
  wait->timeout_timer = g_timeout_add (wait_msec, on_wait_timer, wait);
  g_signal_connect (message, "finished", G_CALLBACK (on_wait_gone), wait);
  g_ptr_array_add (log->waiting_reads, wait);
  soup_server_message_pause (message);
}

/* Appends */

/* Take an append, and answer the reads that wait.  */
static void
take_append (struct log_server *log, SoupServerMessage *message)
{
  GBytes *bytes = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  guint64 offset = log_store_append (&log->store, bytes);
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT "\n", offset);

  log->append_count++;
  g_bytes_unref (bytes);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE,
                                    text, strlen (text));
  if (log->answers_to_drop > 0)
    {
      log->answers_to_drop--;
      g_socket_shutdown (soup_server_message_get_socket (message), TRUE, TRUE,
                         NULL);
    }
  while (log->waiting_reads->len > 0)
    wait_end (g_ptr_array_index (log->waiting_reads, 0));
}

/* Faults */

/* Set the switches that the query names.  */
static void
take_control (struct log_server *log, SoupServerMessage *message,
              GHashTable *query)
{
  if (query != NULL && g_hash_table_contains (query, "outage-ms"))
    log->outage_until
        = clock_usec () + (gint64)query_number (query, "outage-ms", 0) * 1000;
  log->answer_delay_msec
      = (guint)query_number (query, "delay-ms", log->answer_delay_msec);
  log->answers_to_drop
      = (guint)query_number (query, "drop-answers", log->answers_to_drop);
  log->store.retained_max
      = (guint32)query_number (query, "retain", log->store.retained_max);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

/* A late answer is due.  */
static gboolean
on_delay_over (gpointer data)
{
  soup_server_message_unpause (data);
  g_object_unref (data);
  return G_SOURCE_REMOVE;
}

/* Hold an answer back for the delay that is set.  */
static void
delay (struct log_server *log, SoupServerMessage *message)
{
  if (log->answer_delay_msec == 0)
    return;
  soup_server_message_pause (message);
  g_timeout_add (log->answer_delay_msec, on_delay_over,
                 g_object_ref (message));
}

/* Take a request.  */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct log_server *log = data;
  gboolean post
      = strcmp (soup_server_message_get_method (message), "POST") == 0;

  (void)server;
  if (strcmp (path, "/control") == 0)
    take_control (log, message, query);
  else if (clock_usec () < log->outage_until)
    soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                    NULL);
  else if (!g_str_has_prefix (path, "/streams/"))
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else if (post)
    {
      take_append (log, message);
      delay (log, message);
    }
  else
    take_read (log, message, query);
}

/* Serve the log at AT.  */
enum err
log_server_init (struct log_server *log, struct address at)
{
  GSocketAddress *address = inet_socket_address (at);
  gboolean listens;

  memset (log, 0, sizeof *log);
  log_store_init (&log->store);
  log->waiting_reads = g_ptr_array_new_with_free_func (wait_free);
  log->http_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (log->http_server, NULL, on_request, log, NULL);
  listens = soup_server_listen (log->http_server, address, 0, NULL);
  g_object_unref (address);
  return listens ? ERR_NONE : ERR_IO;
}

/* Stop serving and release the records.  */
void
log_server_clear (struct log_server *log)
{
  g_ptr_array_free (log->waiting_reads, TRUE);
  soup_server_disconnect (log->http_server);
  g_object_unref (log->http_server);
  log_store_clear (&log->store);
}
