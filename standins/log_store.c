#include "standins/log_store.h"

#include "wire/wire_record.h"

/* Set up an empty store.  */
void
log_store_init (struct log_store *store)
{
  store->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  store->first_offset = 1;
  store->retained_max = 0;
}

/* Release the records.  */
void
log_store_clear (struct log_store *store)
{
  g_ptr_array_free (store->records, TRUE);
}

/* The offset after the last record.  */
guint64
log_store_end (const struct log_store *store)
{
  return store->first_offset + store->records->len;
}

/* Append RECORD and return its offset; drop what is over the retention.  */
guint64
log_store_append (struct log_store *store, GBytes *record)
{
  g_ptr_array_add (store->records, g_bytes_ref (record));
  while (store->retained_max > 0 && store->records->len > store->retained_max)
    {
      g_ptr_array_remove_index (store->records, 0);
      store->first_offset++;
    }
  return log_store_end (store) - 1;
}

/* The framed records from offset FROM on, at most MAX of them.  */
GByteArray *
log_store_read (const struct log_store *store, guint64 from, guint32 max)
{
  GByteArray *bytes = g_byte_array_new ();
  guint64 offset;

  for (offset = from; offset < log_store_end (store) && max > 0;
       offset++, max--)
    {
      gsize length;
      const guint8 *data = g_bytes_get_data (
          g_ptr_array_index (store->records, offset - store->first_offset),
          &length);
      record_append_frame (bytes, offset, data, (guint32)length);
    }
  return bytes;
}
