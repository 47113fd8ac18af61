#include "edge/tail_store.h"

#include "types/tail_msg.h"
#include "wire/wire_record.h"

#include <string.h>

#define STORE_BYTES_MAX 1048576u /* bytes of records that are kept */
#define FRAME_HEADER_BYTES 12u   /* offset and length */

/* Release one frame.  */
static void
free_frame (gpointer data)
{
  g_bytes_unref (data);
}

/* Set up an empty store.  */
void
tail_store_init (struct tail_store *store)
{
  memset (store, 0, sizeof *store);
  store->frames = g_queue_new ();
}

/* Release what STORE holds.  */
void
tail_store_clear (struct tail_store *store)
{
  g_queue_free_full (store->frames, free_frame);
  memset (store, 0, sizeof *store);
}

/* Remove the oldest frame.  */
static void
drop_first (struct tail_store *store)
{
  GBytes *frame = g_queue_pop_head (store->frames);

  store->total_bytes -= g_bytes_get_size (frame);
  store->first_offset++;
  g_bytes_unref (frame);
}

/* Add one frame.  One that does not follow the last begins anew; one that is
   there already is passed over.  */
static void
add_frame (struct tail_store *store, guint64 offset, const guint8 *bytes,
           gsize length)
{
  if (offset < store->next_offset)
    return;
  if (offset > store->next_offset)
    {
      while (store->frames->length > 0)
        drop_first (store);
      store->first_offset = offset;
    }
  g_queue_push_tail (store->frames, g_bytes_new (bytes, length));
  store->next_offset = offset + 1;
  store->total_bytes += length;
  while (store->total_bytes > STORE_BYTES_MAX)
    drop_first (store);
}

/* Add framed records, as they were read.  */
void
tail_store_add (struct tail_store *store, const guint8 *bytes, gsize length)
{
  gsize at = 0;

  while (length - at >= FRAME_HEADER_BYTES)
    {
      guint64 offset_be;
      guint32 length_be;
      gsize whole;
      memcpy (&offset_be, bytes + at, sizeof offset_be);
      memcpy (&length_be, bytes + at + sizeof offset_be, sizeof length_be);
      whole = FRAME_HEADER_BYTES + GUINT32_FROM_BE (length_be);
      if (length - at < whole)
        return;
      add_frame (store, GUINT64_FROM_BE (offset_be), bytes + at, whole);
      at += whole;
    }
}

/* Add to TO the records from FROM on, as many as one reply may hold.  Return
   ERR_NOT_RETAINED if the store no longer has FROM.  */
enum err
tail_store_read (const struct tail_store *store, guint64 from, GByteArray *to)
{
  GList *link;

  if (from >= store->next_offset)
    return ERR_NONE;
  if (from < store->first_offset)
    return ERR_NOT_RETAINED;
  link = g_queue_peek_nth_link (store->frames,
                                (guint)(from - store->first_offset));
  for (; link != NULL; link = link->next)
    {
      gsize length;
      const guint8 *bytes = g_bytes_get_data (link->data, &length);
      if (to->len + length > TAIL_BYTES_MAX)
        break;
      g_byte_array_append (to, bytes, (guint)length);
    }
  return ERR_NONE;
}
