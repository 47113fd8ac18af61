#include "wire/wire_record.h"

#include "wire/wire.h"

#include <string.h>

#define TEXT_MAX (RECORD_BYTES_MAX / 2) /* bytes of a configuration */
#define SLICES_PER_RECORD_MAX 4096u     /* slices in one record */
#define FRAME_HEADER_BYTES 12u          /* offset and length */

/* Bodies */

/* A configuration.  */
static bool_t
wire_config (XDR *xdr, struct record_config *body)
{
  return wire_u64 (xdr, &body->base_offset)
         && wire_string (xdr, &body->text, TEXT_MAX)
         && wire_fixed_string (xdr, body->author, sizeof body->author);
}

/* A node that joins.  */
bool_t
wire_join (XDR *xdr, struct record_join *body)
{
  return wire_u64 (xdr, &body->incarnation)
         && wire_u64 (xdr, &body->replaced_incarnation)
         && wire_fixed_string (xdr, body->host, sizeof body->host)
         && wire_fixed_string (xdr, body->zone, sizeof body->zone)
         && wire_fixed_string (xdr, body->service, sizeof body->service)
         && wire_fixed_string (xdr, body->server, sizeof body->server)
         && wire_address (xdr, &body->http_address)
         && wire_address (xdr, &body->peer_address)
         && xdr_uint32_t (xdr, &body->slots)
         && wire_bool (xdr, &body->checks_fences);
}

/* A node that is out.  */
static bool_t
wire_out (XDR *xdr, struct record_removed *body)
{
  return wire_u64 (xdr, &body->incarnation) && wire_u64 (xdr, &body->floor)
         && xdr_uint32_t (xdr, &body->cause);
}

/* A witness set.  */
static bool_t
wire_witness (XDR *xdr, struct record_witness_set *body)
{
  guint32 i;

  if (!wire_u64 (xdr, &body->incarnation)
      || !wire_u64 (xdr, &body->replaced_epoch)
      || !xdr_uint32_t (xdr, &body->witness_count)
      || body->witness_count > WITNESS_MAX)
    return FALSE;
  for (i = 0; i < body->witness_count; i++)
    if (!wire_u64 (xdr, &body->witnesses[i]))
      return FALSE;
  return TRUE;
}

/* One slice.  */
static bool_t
wire_slice (XDR *xdr, struct record_slice *body)
{
  guint i;

  if (!xdr_uint32_t (xdr, &body->slice) || !wire_u64 (xdr, &body->epoch)
      || !wire_u64 (xdr, &body->owner))
    return FALSE;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (!wire_u64 (xdr, &body->successors[i]))
      return FALSE;
  return TRUE;
}

/* Slices of one service.  */
static bool_t
wire_slices (XDR *xdr, struct record_slices *body)
{
  return wire_fixed_string (xdr, body->service, sizeof body->service)
         && xdr_array (xdr, (char **)&body->items, &body->count,
                       SLICES_PER_RECORD_MAX, sizeof (struct record_slice),
                       (xdrproc_t)wire_slice);
}

/* A hot key.  */
static bool_t
wire_hot (XDR *xdr, struct record_hot_key *body)
{
  return wire_fixed_string (xdr, body->service, sizeof body->service)
         && wire_fixed_string (xdr, body->key, sizeof body->key)
         && wire_bool (xdr, &body->is_removal)
         && wire_slice (xdr, &body->slice);
}

/* A suspect.  */
static bool_t
wire_suspect (XDR *xdr, struct record_suspect *body)
{
  return wire_u64 (xdr, &body->digest) && wire_u64 (xdr, &body->incarnation);
}

/* A chunk of a snapshot.  */
static bool_t
wire_snapshot (XDR *xdr, struct record_snapshot *body)
{
  return wire_u64 (xdr, &body->snapshot_offset)
         && xdr_uint32_t (xdr, &body->chunk_index)
         && xdr_uint32_t (xdr, &body->chunk_count)
         && wire_bytes (xdr, &body->bytes, &body->length, RECORD_BYTES_MAX);
}

/* The body that KIND says.  */
static bool_t
wire_body (XDR *xdr, enum record_kind kind, union record_body *body)
{
  switch (kind)
    {
    case RECORD_CONFIG:
      return wire_config (xdr, &body->config);
    case RECORD_JOIN:
      return wire_join (xdr, &body->join);
    case RECORD_LEAVING:
      return wire_u64 (xdr, &body->leaving.incarnation);
    case RECORD_REMOVED:
      return wire_out (xdr, &body->removed);
    case RECORD_WITNESS_SET:
      return wire_witness (xdr, &body->witness_set);
    case RECORD_ASSIGN:
    case RECORD_MOVE:
    case RECORD_MOVED:
    case RECORD_SUCCESSOR:
      return wire_slices (xdr, &body->slices);
    case RECORD_HOT_KEY:
      return wire_hot (xdr, &body->hot_key);
    case RECORD_SUSPECT:
      return wire_suspect (xdr, &body->suspect);
    case RECORD_SNAPSHOT:
      return wire_snapshot (xdr, &body->snapshot);
    }
  return FALSE;
}

/* Records */

/* A whole record; a later version decodes without its body.  Bytes that
   cannot be a version are no record.  */
static bool_t
wire_record (XDR *xdr, void *item)
{
  struct record *record = item;
  enum_t kind = (enum_t)record->kind;

  if (!xdr_uint32_t (xdr, &record->version) || !xdr_enum (xdr, &kind)
      || !wire_u64 (xdr, &record->writer) || !wire_u64 (xdr, &record->serial))
    return FALSE;
  record->kind = (enum record_kind)kind;
  if (record->version == RECORD_VERSION_MALFORMED
      || record->version > RECORD_VERSION_MAX)
    return FALSE;
  if (record->version > RECORD_VERSION)
    return TRUE;
  return wire_body (xdr, record->kind, &record->body);
}

/* Encode RECORD; free the bytes with g_byte_array_unref.  NULL if it is
   larger than a record may be.  */
GByteArray *
record_encode (const struct record *record)
{
  return wire_encode (wire_record, record, RECORD_BYTES_MAX);
}

/* Decode LENGTH bytes into RECORD; clear it with record_clear.  */
enum err
record_decode (struct record *record, const guint8 *bytes, gsize length)
{
  memset (record, 0, sizeof *record);
  return wire_decode (wire_record, record, bytes, length);
}

/* Add one framed record to TO.  */
void
record_append_frame (GByteArray *to, guint64 offset, const guint8 *bytes,
                     guint32 length)
{
  guint64 offset_be = GUINT64_TO_BE (offset);
  guint32 length_be = GUINT32_TO_BE (length);

  g_byte_array_append (to, (const guint8 *)&offset_be, sizeof offset_be);
  g_byte_array_append (to, (const guint8 *)&length_be, sizeof length_be);
  g_byte_array_append (to, bytes, length);
}

/* Decode framed records into ENTRIES, an array of struct log_entry.  A record
   that does not decode keeps its place as RECORD_VERSION_MALFORMED, which the
   fold passes over, so that one bad record does not stop the log.  */
enum err
record_decode_frames (GArray *entries, const guint8 *bytes, gsize length)
{
  gsize at = 0;

  while (at < length)
    {
      struct log_entry entry;
      guint64 offset_be;
      guint32 length_be;
      if (length - at < FRAME_HEADER_BYTES)
        return ERR_MALFORMED;
      memcpy (&offset_be, bytes + at, sizeof offset_be);
      memcpy (&length_be, bytes + at + sizeof offset_be, sizeof length_be);
      at += FRAME_HEADER_BYTES;
      if (length - at < GUINT32_FROM_BE (length_be))
        return ERR_MALFORMED;
      entry.offset = GUINT64_FROM_BE (offset_be);
      if (record_decode (&entry.record, bytes + at,
                         GUINT32_FROM_BE (length_be))
          != ERR_NONE)
        {
          memset (&entry.record, 0, sizeof entry.record);
          entry.record.version = RECORD_VERSION_MALFORMED;
          entry.record.kind = RECORD_SUSPECT;
        }
      g_array_append_val (entries, entry);
      at += GUINT32_FROM_BE (length_be);
    }
  return ERR_NONE;
}

/* Release the records of ENTRIES and empty it.  */
void
log_entries_clear (GArray *entries)
{
  guint i;

  for (i = 0; i < entries->len; i++)
    record_clear (&g_array_index (entries, struct log_entry, i).record);
  g_array_set_size (entries, 0);
}
