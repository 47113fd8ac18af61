#include "soak/soak_store.h"

#include "edge/conn.h"
#include "soak/soak_answer.h"

#include <string.h>

#define LENGTH_BYTES 4u /* size of the length before each record of a body */

/* A read that waits for a record.  */
struct soak_waiting_read
{
  struct soak_store *store;   /* store that was called */
  SoupServerMessage *message; /* HTTP message of the read, paused */
  GPtrArray *records;         /* records of the topic that is read */
  guint64 from_offset;        /* first offset wanted */
  guint timeout_timer;        /* event source that ends the wait, or 0 */
};

/* Answers */

/* Name the era of the store in the answer MESSAGE.  */
static void
name_era (const struct soak_store *store, SoupServerMessage *message)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, store->era);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Store-Era", text);
}

/* Waiting reads */

/* Release a waiting read; for GPtrArray.  */
static void
read_free (gpointer data)
{
  struct soak_waiting_read *read = data;

  if (read->timeout_timer != 0)
    g_source_remove (read->timeout_timer);
  g_object_unref (read->message);
  g_free (read);
}

/* Answer a waiting read with the records there are, possibly none, and remove
   it.  */
static void
end_read (struct soak_waiting_read *read)
{
  name_era (read->store, read->message);
  if (read->from_offset > read->records->len)
    soup_server_message_set_status (read->message, SOUP_STATUS_GONE, NULL);
  else
    soak_answer_records (read->message, read->records, read->from_offset);
  soup_server_message_unpause (read->message);
  g_ptr_array_remove (read->store->waiting_reads, read);
}

/* Answer a read whose wait has expired.  Timer callback.  */
static gboolean
on_wait_over (gpointer data)
{
  struct soak_waiting_read *read = data;

  read->timeout_timer = 0;
  end_read (read);
  return G_SOURCE_REMOVE;
}

/* Answer the reads that wait for records of the topic RECORDS and now have
   one.  */
static void
answer_waiting_reads (struct soak_store *store, const GPtrArray *records)
{
  guint i = 0;

  while (i < store->waiting_reads->len)
    {
      struct soak_waiting_read *read
          = g_ptr_array_index (store->waiting_reads, i);
      if (read->records == records && read->from_offset < records->len)
        end_read (read);
      else
        i++;
    }
}

/* Calls */

/* Return the number NAME in QUERY, or OTHERWISE if there is none.  */
static guint64
query_number (GHashTable *query, const char *name, guint64 otherwise)
{
  const char *text = g_hash_table_lookup (query, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

/* Append the records in the body of MESSAGE.  An append with `at' is refused
   with status 412 unless the topic ends at that offset.  */
static void
handle_append (struct soak_store *store, SoupServerMessage *message,
               GHashTable *query, GPtrArray *records)
{
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  gsize bytes_left;
  const guint8 *position = g_bytes_get_data (body, &bytes_left);
  guint64 offset = records->len;

  if (query_number (query, "at", offset) != offset)
    {
      soak_answer_json (message, SOUP_STATUS_PRECONDITION_FAILED,
                        g_strdup_printf ("{\"end\":%u}", records->len));
      g_bytes_unref (body);
      return;
    }
  while (bytes_left >= LENGTH_BYTES)
    {
      guint32 record_length;
      memcpy (&record_length, position, sizeof record_length);
      record_length = MIN (GUINT32_FROM_BE (record_length),
                           (guint32)(bytes_left - LENGTH_BYTES));
      soak_topics_add (&store->topics, records,
                       g_bytes_new (position + LENGTH_BYTES, record_length));
      position += LENGTH_BYTES + record_length;
      bytes_left -= LENGTH_BYTES + record_length;
    }
  g_bytes_unref (body);
  soak_answer_json (message, SOUP_STATUS_OK,
                    g_strdup_printf ("{\"offset\":%" G_GUINT64_FORMAT
                                     ",\"end\":%u}",
                                     offset, records->len));
  answer_waiting_reads (store, records);
}

/* Answer a read of RECORDS, at once or when there is a record at its offset or
   the wait expires; with status 410 if the topic ends before its offset.  */
static void
handle_read (struct soak_store *store, SoupServerMessage *message,
             GHashTable *query, GPtrArray *records)
{
  guint64 from = query_number (query, "from", 0);
  guint wait_msec = (guint)query_number (query, "wait-ms", 0);
  struct soak_waiting_read *read;

  if (from > records->len)
    {
      soup_server_message_set_status (message, SOUP_STATUS_GONE, NULL);
      return;
    }
  if (from < records->len || wait_msec == 0)
    {
      soak_answer_records (message, records, from);
      return;
    }
  read = g_new0 (struct soak_waiting_read, 1);
  read->store = store;
  read->message = g_object_ref (message);
  read->records = records;
  read->from_offset = from;
  read->timeout_timer = g_timeout_add (wait_msec, on_wait_over, read);
  g_ptr_array_add (store->waiting_reads, read);
  soup_server_message_pause (message);
}

/* Never answer MESSAGE: a paused message is not sent.  */
static void
leave_unanswered (SoupServerMessage *message)
{
  soup_server_message_pause (message);
}

/* Handle a call as the mode says.  */
static void
on_call (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct soak_store *store = data;
  const char *name = query != NULL ? g_hash_table_lookup (query, "topic") : "";
  GPtrArray *records
      = soak_topics_records (&store->topics, name != NULL ? name : "");
  gboolean append = strcmp (path, "/api/log-append") == 0;

  (void)server;
  name_era (store, message);
  if (store->mode == SOAK_STORE_UNAVAILABLE)
    soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                    NULL);
  else if (store->mode == SOAK_STORE_UNRESPONSIVE)
    leave_unanswered (message);
  else if (append)
    handle_append (store, message, query, records);
  else if (strcmp (path, "/api/log-read") == 0)
    handle_read (store, message, query, records);
  else if (strcmp (path, "/api/log-newest") == 0)
    soak_answer_newest (message, records);
  else
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  if (append && store->mode == SOAK_STORE_LOSE_ANSWERS)
    leave_unanswered (message);
}

/* Interface */

/* Append a record with VALUE under KEY to TOPIC, as an operator
   does.  */
void
soak_store_put (struct soak_store *store, const char *topic, const char *key,
                const char *value)
{
  GPtrArray *records = soak_topics_records (&store->topics, topic);
  GByteArray *bytes = g_byte_array_new ();
  guint8 length = (guint8)strlen (key);

  g_byte_array_append (bytes, &length, 1);
  g_byte_array_append (bytes, (const guint8 *)key, length);
  g_byte_array_append (bytes, (const guint8 *)value, (guint)strlen (value));
  soak_topics_add (&store->topics, records,
                   g_byte_array_free_to_bytes (bytes));
  answer_waiting_reads (store, records);
}

/* Have STORE begin a new era with the records that it had at COPIED_AT.  The
   reads that wait are answered.  */
void
soak_store_roll_back (struct soak_store *store, gint64 copied_at)
{
  soak_topics_roll_back (&store->topics, copied_at);
  store->era++;
  while (store->waiting_reads->len > 0)
    end_read (g_ptr_array_index (store->waiting_reads, 0));
}

/* Start a store that listens on LISTEN_ADDRESS.  Return FALSE if
   LISTEN_ADDRESS cannot be listened on.  */
gboolean
soak_store_init (struct soak_store *store, struct address listen_address)
{
  enum err code;
  GSocket *socket = conn_listen (listen_address, &code);

  memset (store, 0, sizeof *store);
  soak_topics_init (&store->topics);
  store->waiting_reads = g_ptr_array_new_with_free_func (read_free);
  store->http_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store->http_server, NULL, on_call, store, NULL);
  return socket != NULL
         && soup_server_listen_socket (store->http_server, socket, 0, NULL);
}

/* Stop listening and release what STORE holds.  */
void
soak_store_clear (struct soak_store *store)
{
  g_ptr_array_free (store->waiting_reads, TRUE);
  soup_server_disconnect (store->http_server);
  g_object_unref (store->http_server);
  soak_topics_clear (&store->topics);
}
