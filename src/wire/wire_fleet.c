#include "wire/wire_fleet.h"

#define FLEET_VERSION 1u /* version of the encoding */

#define SUSPECT_COUNT_BITS 16u /* of each count of a suspect */
#define SUSPECT_COUNT_MAX ((1u << SUSPECT_COUNT_BITS) - 1u)

/* Parts of records */

/* XDR filter for a server instance.  */
static bool_t
wire_instance (XDR *xdr, struct server_instance *instance)
{
  return wire_fixed_string (xdr, instance->id, sizeof instance->id)
         && wire_i64 (xdr, &instance->started_at_msec);
}

/* XDR filter for a member.  */
static bool_t
wire_member (XDR *xdr, struct fleet_member *member)
{
  enum_t state = (enum_t)member->state;

  if (!wire_fixed_string (xdr, member->name, sizeof member->name)
      || !wire_fixed_string (xdr, member->zone, sizeof member->zone)
      || !wire_fixed_string (xdr, member->service, sizeof member->service)
      || !wire_address (xdr, &member->peer_address)
      || !wire_u64 (xdr, &member->incarnation)
      || !wire_instance (xdr, &member->instance)
      || !xdr_uint32_t (xdr, &member->slots) || !xdr_enum (xdr, &state))
    return FALSE;
  member->state = (enum member_state)state;
  return state >= MEMBER_READY && state <= MEMBER_DOWN;
}

/* XDR filter for a shard.  */
static bool_t
wire_shard (XDR *xdr, struct shard *shard)
{
  enum_t state = (enum_t)shard->state;

  if (!xdr_uint32_t (xdr, &shard->first) || !xdr_uint32_t (xdr, &shard->last)
      || !xdr_enum (xdr, &state) || !wire_interned_name (xdr, &shard->owner)
      || !wire_instance (xdr, &shard->instance)
      || !wire_u64 (xdr, &shard->fence) || !wire_u64 (xdr, &shard->loss_id)
      || !wire_fixed_string (xdr, shard->handover_token,
                             sizeof shard->handover_token)
      || !wire_interned_name (xdr, &shard->next_owner))
    return FALSE;
  shard->state = (enum shard_state)state;
  return state >= SHARD_FREE && state <= SHARD_LOST;
}

/* XDR filter for the shards of a map, which must cover all keys unless the map
   IS_PATCH.  */
static bool_t
wire_shards (XDR *xdr, struct shard_map *map, gboolean is_patch)
{
  guint32 count = map->shards != NULL ? map->shards->len : 0;
  guint i;

  if (xdr->x_op == XDR_FREE)
    {
      shard_map_clear (map);
      return TRUE;
    }
  if (!xdr_uint32_t (xdr, &count) || count > SHARDS_MAX)
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    {
      map->shards = g_array_new (FALSE, TRUE, sizeof (struct shard));
      g_array_set_size (map->shards, count);
    }
  for (i = 0; i < count; i++)
    if (!wire_shard (xdr, shard_map_at (map, i)))
      return FALSE;
  return is_patch ? shard_map_is_ordered (map)
                  : count > 0 && shard_map_is_complete (map);
}

/* XDR filter for a shard map, or for part of one if it IS_PATCH.  */
static bool_t
wire_map (XDR *xdr, struct shard_map *map, gboolean is_patch)
{
  return wire_fixed_string (xdr, map->service, sizeof map->service)
         && wire_u64 (xdr, &map->next_fence)
         && wire_shards (xdr, map, is_patch);
}

/* XDR filter for a suspect.  The number of probes is in the upper half of the
   word of the crashes, which versions that do not know it take for more
   crashes.  */
static bool_t
wire_suspect (XDR *xdr, struct fleet_suspect *suspect)
{
  guint32 counts = MIN (suspect->crash_count, SUSPECT_COUNT_MAX)
                   | MIN (suspect->probe_count, SUSPECT_COUNT_MAX)
                         << SUSPECT_COUNT_BITS;

  if (!wire_u64 (xdr, &suspect->digest) || !xdr_uint32_t (xdr, &counts))
    return FALSE;
  suspect->crash_count = counts & SUSPECT_COUNT_MAX;
  suspect->probe_count = counts >> SUSPECT_COUNT_BITS;
  return TRUE;
}

/* XDR filter for a record without its key.  */
static bool_t
wire_record_body (XDR *xdr, void *item)
{
  struct fleet_record *record = item;
  guint32 version = FLEET_VERSION;
  enum_t kind = (enum_t)record->kind;

  if (!xdr_uint32_t (xdr, &version) || version != FLEET_VERSION
      || !xdr_enum (xdr, &kind))
    return FALSE;
  record->kind = (enum fleet_record_kind)kind;
  switch (record->kind)
    {
    case FLEET_MEMBER:
      return wire_member (xdr, &record->u.member);
    case FLEET_MAP:
      return wire_map (xdr, &record->u.map, FALSE);
    case FLEET_MAP_PATCH:
      return wire_map (xdr, &record->u.map, TRUE);
    case FLEET_SUSPECT:
      return wire_suspect (xdr, &record->u.suspect);
    case FLEET_TOMBSTONE:
      return TRUE;
    }
  return FALSE;
}

/* Records */

/* Encode RECORD.  Return NULL if it is too large.  Free the bytes with
   g_byte_array_unref.  */
GByteArray *
wire_fleet_encode (const struct fleet_record *record)
{
  return wire_encode (wire_record_body, record, FLEET_RECORD_BYTES_MAX);
}

/* Decode LENGTH bytes, stored under KEY, into RECORD, which must be zero.
   Empty bytes are a tombstone.  Return ERR_MALFORMED if the bytes are not a
   record of this key.  */
enum err
wire_fleet_decode (struct fleet_record *record, const char *key,
                   const guint8 *bytes, gsize length)
{
  enum err code = ERR_NONE;

  record->kind = FLEET_TOMBSTONE;
  if (length > 0)
    code = wire_decode (wire_record_body, record, bytes, length);
  if (code != ERR_NONE)
    return code;
  if (record->kind == FLEET_MAP_PATCH)
    {
      fleet_record_clear (record);
      return ERR_MALFORMED;
    }
  if (record->kind == FLEET_TOMBSTONE)
    g_strlcpy (record->key, key, sizeof record->key);
  else
    fleet_record_set_key (record);
  if (strcmp (record->key, key) == 0)
    return ERR_NONE;
  fleet_record_clear (record);
  return ERR_MALFORMED;
}

/* XDR filter for a record with its offset and key.  */
static bool_t
wire_entry (XDR *xdr, void *item)
{
  struct fleet_entry *entry = item;

  return wire_u64 (xdr, &entry->offset)
         && wire_fixed_string (xdr, entry->record.key,
                               sizeof entry->record.key)
         && wire_record_body (xdr, &entry->record);
}

/* Encode ENTRIES, an array of struct fleet_entry, one after the other.
   Entries that are too large are skipped.  */
GByteArray *
wire_fleet_encode_entries (const GArray *entries)
{
  GByteArray *encoded = g_byte_array_new ();
  guint i;

  for (i = 0; i < entries->len; i++)
    {
      GByteArray *entry_bytes = wire_encode (
          wire_entry, &g_array_index (entries, struct fleet_entry, i),
          FLEET_RECORD_BYTES_MAX);
      if (entry_bytes == NULL)
        continue;
      g_byte_array_append (encoded, entry_bytes->data, entry_bytes->len);
      g_byte_array_unref (entry_bytes);
    }
  return encoded;
}

/* Decode entries into an array of struct fleet_entry, or return NULL if the
   bytes are malformed.  The caller clears each record and frees the array.  */
GArray *
wire_fleet_decode_entries (const guint8 *bytes, gsize length)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  bool_t is_valid = TRUE;
  XDR xdr;

  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  while (is_valid && xdr_getpos (&xdr) < length)
    {
      struct fleet_entry entry = { 0 };
      is_valid = wire_entry (&xdr, &entry);
      if (is_valid)
        g_array_append_val (entries, entry);
      else
        fleet_record_clear (&entry.record);
    }
  xdr_destroy (&xdr);
  if (is_valid)
    return entries;
  while (entries->len > 0)
    {
      guint last = entries->len - 1;
      fleet_record_clear (
          &g_array_index (entries, struct fleet_entry, last).record);
      g_array_set_size (entries, last);
    }
  g_array_free (entries, TRUE);
  return NULL;
}
