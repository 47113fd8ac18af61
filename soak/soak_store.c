#include "soak/soak_store.h"

#include "edge/conn.h"
#include "soak/soak_answer.h"

#include <string.h>

#define LENGTH_BYTES 4u /* length of a record in a body */

/* A read that waits for a record.  */
struct soak_waiting_read
{
  struct soak_store *store;   /* where */
  SoupServerMessage *message; /* the call */
  GPtrArray *records;         /* of the topic */
  guint64 from_offset;        /* first offset that is wanted */
  guint timeout_timer;        /* its wait */
};

/* Records */

/* The records of the topic called NAME.  */
static GPtrArray *
topic (struct soak_store *store, const char *name)
{
  GPtrArray *records = g_hash_table_lookup (store->topics, name);

  if (records == NULL)
    {
      records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      g_hash_table_insert (store->topics, g_strdup (name), records);
    }
  return records;
}

/* Reads that wait */

/* Forget a read; for GPtrArray.  */
static void
free_read (gpointer data)
{
  struct soak_waiting_read *read = data;

  if (read->timeout_timer != 0)
    g_source_remove (read->timeout_timer);
  g_object_unref (read->message);
  g_free (read);
}

/* Answer a read with what there is.  */
static void
end_read (struct soak_waiting_read *read)
{
  soak_answer_records (read->message, read->records, read->from_offset);
  soup_server_message_unpause (read->message);
  g_ptr_array_remove (read->store->waiting_reads, read);
}

/* The wait of a read is over.  */
static gboolean
on_waited (gpointer data)
{
  struct soak_waiting_read *read = data;

  read->timeout_timer = 0;
  end_read (read);
  return G_SOURCE_REMOVE;
}

/* Answer the reads that wait for RECORDS.  */
static void
wake (struct soak_store *store, const GPtrArray *records)
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

/* The number NAME in QUERY, or OTHERWISE.  */
static guint64
number (GHashTable *query, const char *name, guint64 otherwise)
{
  const char *text = g_hash_table_lookup (query, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

/* Append the records in the body of MESSAGE.  */
static void
take_append (struct soak_store *store, SoupServerMessage *message,
             GHashTable *query, GPtrArray *records)
{
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  gsize left;
  const guint8 *at = g_bytes_get_data (body, &left);
  guint64 offset = records->len;

  if (number (query, "at", offset) != offset)
    {
      soak_answer_json (message, SOUP_STATUS_PRECONDITION_FAILED,
                        g_strdup_printf ("{\"end\":%u}", records->len));
      g_bytes_unref (body);
      return;
    }
  while (left >= LENGTH_BYTES)
    {
      guint32 mark;
      memcpy (&mark, at, sizeof mark);
      mark = MIN (GUINT32_FROM_BE (mark), (guint32)(left - LENGTH_BYTES));
      g_ptr_array_add (records, g_bytes_new (at + LENGTH_BYTES, mark));
      at += LENGTH_BYTES + mark;
      left -= LENGTH_BYTES + mark;
    }
  g_bytes_unref (body);
  soak_answer_json (message, SOUP_STATUS_OK,
                    g_strdup_printf ("{\"offset\":%" G_GUINT64_FORMAT
                                     ",\"end\":%u}",
                                     offset, records->len));
  wake (store, records);
}

/* Read RECORDS, now or once there is one.  */
static void
take_read (struct soak_store *store, SoupServerMessage *message,
           GHashTable *query, GPtrArray *records)
{
  guint64 from = number (query, "from", 0);
  guint wait = (guint)number (query, "wait-ms", 0);
  struct soak_waiting_read *read;

  if (from < records->len || wait == 0)
    {
      soak_answer_records (message, records, from);
      return;
    }
  read = g_new0 (struct soak_waiting_read, 1);
  read->store = store;
  read->message = g_object_ref (message);
  read->records = records;
  read->from_offset = from;
  read->timeout_timer = g_timeout_add (wait, on_waited, read);
  g_ptr_array_add (store->waiting_reads, read);
  soup_server_message_pause (message);
}

/* Leave MESSAGE without an answer.  */
static void
ignore (SoupServerMessage *message)
{
  soup_server_message_pause (message);
}

/* A call came.  */
static void
on_call (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct soak_store *store = data;
  const char *name = query != NULL ? g_hash_table_lookup (query, "topic") : "";
  GPtrArray *records = topic (store, name != NULL ? name : "");
  gboolean append = strcmp (path, "/api/log-append") == 0;

  (void)server;
  if (store->mode == SOAK_STORE_UNAVAILABLE)
    soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                    NULL);
  else if (store->mode == SOAK_STORE_UNRESPONSIVE)
    ignore (message);
  else if (append)
    take_append (store, message, query, records);
  else if (strcmp (path, "/api/log-read") == 0)
    take_read (store, message, query, records);
  else if (strcmp (path, "/api/log-newest") == 0)
    soak_answer_newest (message, records);
  else
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  if (append && store->mode == SOAK_STORE_LOSE_ANSWERS)
    ignore (message);
}

/* Interface */

/* Have the operator write VALUE under KEY of TOPIC.  */
void
soak_store_put (struct soak_store *store, const char *name, const char *key,
                const char *value)
{
  GPtrArray *records = topic (store, name);
  GByteArray *bytes = g_byte_array_new ();
  guint8 length = (guint8)strlen (key);

  g_byte_array_append (bytes, &length, 1);
  g_byte_array_append (bytes, (const guint8 *)key, length);
  g_byte_array_append (bytes, (const guint8 *)value, (guint)strlen (value));
  g_ptr_array_add (records, g_byte_array_free_to_bytes (bytes));
  wake (store, records);
}

/* Listen at AT; FALSE if that cannot be.  */
gboolean
soak_store_init (struct soak_store *store, struct address at)
{
  enum err code;
  GSocket *socket = conn_listen (at, &code);

  memset (store, 0, sizeof *store);
  store->topics = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_ptr_array_unref);
  store->waiting_reads = g_ptr_array_new_with_free_func (free_read);
  store->http_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store->http_server, NULL, on_call, store, NULL);
  return socket != NULL
         && soup_server_listen_socket (store->http_server, socket, 0, NULL);
}

/* Stop.  */
void
soak_store_clear (struct soak_store *store)
{
  g_ptr_array_free (store->waiting_reads, TRUE);
  soup_server_disconnect (store->http_server);
  g_object_unref (store->http_server);
  g_hash_table_destroy (store->topics);
}
