#include "fleet/evacuations.h"
#include "fleet/fleet_state.h"
#include "platform/heartbeat.h"
#include "shard/answer_grants.h"
#include "tests/suite.h"
#include "types/ini.h"
#include "wire/wire_fleet.h"
#include "wire/wire_mesh.h"

#include <string.h>

/* Limits of our own, from one below to one above: what is valid passes whole,
   and what exceeds a limit costs nothing but itself.  */

#define DNS_NAME_MAX 253u /* bytes in a DNS name */

/* Write LENGTH letters and the number N, in five digits, to BUFFER.  */
static const char *
name_of (char *buffer, gsize length, guint n)
{
  memset (buffer, 'x', length);
  g_snprintf (buffer + length - 5, 6, "%05u", n);
  return buffer;
}

/* Fill ENTRY, a member at OFFSET, all of whose names have LENGTH bytes.  */
static void
fill_member (struct fleet_entry *entry, gsize length, guint64 offset)
{
  struct fleet_member *member = &entry->record.u.member;
  guint number = (guint)offset;

  memset (entry, 0, sizeof *entry);
  entry->offset = offset;
  entry->record.kind = FLEET_MEMBER;
  name_of (member->name, length, number);
  name_of (member->zone, length, 1);
  name_of (member->service, length, 2);
  name_of (member->instance.id, length, 3);
  fleet_record_set_key (&entry->record);
}

/* Guards against hosts whose records overwrite each other, or that cannot be
   removed, since their names differ only behind what fits into a key: names of
   any valid length have keys of their own.  */
static void
test_member_names (void)
{
  gsize length;

  CU_ASSERT_TRUE (NAME_SIZE > DNS_NAME_MAX);
  for (length = 60; length < NAME_SIZE; length++)
    {
      struct fleet_entry entries[2];
      struct fleet_entry decoded = { 0 };
      struct fleet_state fleet;
      GByteArray *bytes;
      guint i;
      fleet_state_init (&fleet);
      for (i = 0; i < G_N_ELEMENTS (entries); i++)
        {
          fill_member (&entries[i], length, i);
          CU_ASSERT_TRUE (fleet_state_apply (&fleet, &entries[i], 0));
        }
      CU_ASSERT_EQUAL (fleet.members.count, 2);
      bytes = wire_fleet_encode (&entries[1].record);
      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      if (bytes == NULL)
        return;
      CU_ASSERT_EQUAL (wire_fleet_decode (&decoded.record,
                                          entries[1].record.key, bytes->data,
                                          bytes->len),
                       ERR_NONE);
      CU_ASSERT_STRING_EQUAL (decoded.record.u.member.service,
                              entries[1].record.u.member.service);
      g_byte_array_unref (bytes);
      decoded.offset = 2;
      decoded.record.kind = FLEET_TOMBSTONE;
      CU_ASSERT_TRUE (fleet_state_apply (&fleet, &decoded, 0));
      CU_ASSERT_EQUAL (fleet.members.count, 1);
      CU_ASSERT_PTR_NOT_NULL (
          fleet_state_member_named (&fleet, entries[0].record.u.member.name));
      fleet_state_clear (&fleet);
    }
}

/* Guards against a host that passes on a deletion in place of a record, since
   the name does not stand in the key.  */
static void
test_records_since (void)
{
  struct fleet_entry entry;
  struct fleet_state fleet;
  GArray *entries;

  fill_member (&entry, NAME_SIZE - 1, 1);
  fleet_state_init (&fleet);
  fleet_state_apply (&fleet, &entry, 0);
  entries = fleet_state_since (&fleet, 0, FALSE);
  CU_ASSERT_EQUAL_FATAL (entries->len, 1);
  CU_ASSERT_EQUAL (g_array_index (entries, struct fleet_entry, 0).record.kind,
                   FLEET_MEMBER);
  g_array_free (entries, TRUE);
  fleet_state_clear (&fleet);
}

/* Return how many shards a map gets that is split as often as it may be, with
   names of LENGTH bytes, and check that its record is not too large.  */
static guint
split_fully (gsize length)
{
  struct fleet_record record = { .kind = FLEET_MAP };
  struct shard_map *map = &record.u.map;
  char owner[NAME_SIZE];
  GByteArray *bytes;
  guint shards;
  guint32 first;

  shard_map_init (map, "s");
  shard_map_at (map, 0)->owner = name_of (owner, length, 1);
  shard_map_at (map, 0)->next_owner = owner;
  name_of (shard_map_at (map, 0)->instance.id, length, 2);
  name_of (shard_map_at (map, 0)->handover_token,
           MIN (length, HANDOVER_TOKEN_SIZE - 1), 3);
  for (first = 64; first < SHARD_KEY_COUNT; first += 64)
    shard_map_split (map, first);
  shards = map->shards->len;
  fleet_record_set_key (&record);
  bytes = wire_fleet_encode (&record);
  CU_ASSERT_PTR_NOT_NULL (bytes);
  if (bytes != NULL)
    g_byte_array_unref (bytes);
  fleet_record_clear (&record);
  return shards;
}

/* Guards against a map that grows until the store cannot take it.  */
static void
test_map_size (void)
{
  gsize length;

  CU_ASSERT_EQUAL (split_fully (20), SHARDS_MAX);
  CU_ASSERT_EQUAL (split_fully (63), SHARDS_MAX);
  for (length = 64; length < NAME_SIZE; length++)
    CU_ASSERT_TRUE (split_fully (length) >= 200);
}

/* Return what the reader says of a heartbeat of the server ID of SERVICE with
   COUNT held ranges, and as many released ones with TOKEN.  */
static enum err
read_heartbeat (const char *id, const char *service, guint count,
                const char *token, struct heartbeat *heartbeat)
{
  GString *text = g_string_new ("{\"born\":1,\"address\":\"10.1.0.8:80\",");
  enum err code;
  guint i;

  g_string_append_printf (text,
                          "\"info\":{\"service\":\"%s\",\"slots\":6},"
                          "\"status\":{\"state\":\"ready\",\"seq\":4}",
                          service);
  g_string_append (text, ",\"holds\":[");
  for (i = 0; i < count; i++)
    g_string_append_printf (text, "%s[%u,%u,7]", i > 0 ? "," : "", i, i);
  g_string_append (text, "],\"freed\":[");
  for (i = 0; i < count; i++)
    g_string_append_printf (text, "%s[%u,%u,\"%s\"]", i > 0 ? "," : "",
                            i + count, i + count, token);
  g_string_append (text, "]}");
  code = platform_heartbeat_read (id, (const guint8 *)text->str, text->len,
                                  heartbeat);
  g_string_free (text, TRUE);
  return code;
}

/* Guards against a server that counts as gone because its heartbeat lists many
   ranges.  */
static void
test_heartbeat_ranges (void)
{
  static const guint counts[] = { 0, 1, 127, 128, 129, 5000 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct heartbeat heartbeat;
      struct answer_grants answers;
      struct shard last = { .first = counts[i] - 1, .last = counts[i] - 1 };
      CU_ASSERT_EQUAL (read_heartbeat ("s", "s", counts[i], "t", &heartbeat),
                       ERR_NONE);
      CU_ASSERT_EQUAL (heartbeat.held_count, counts[i]);
      CU_ASSERT_EQUAL (heartbeat.released_count, counts[i]);
      answer_grants_init (&answers);
      answer_grants_on_heartbeat (&answers, &heartbeat);
      if (counts[i] > 0)
        CU_ASSERT_TRUE (answer_grants_hold (&answers, &last));
      answer_grants_clear (&answers);
      heartbeat_clear (&heartbeat);
    }
}

/* Guards against a heartbeat that is lost with one text in it: names may be as
   long as NAME_SIZE allows, and a longer handover token costs the warmth of
   its range only.  */
static void
test_heartbeat_texts (void)
{
  gsize length;

  for (length = 62; length <= NAME_SIZE; length++)
    {
      struct heartbeat heartbeat;
      gboolean fits = length < NAME_SIZE;
      gboolean token_fits = length < HANDOVER_TOKEN_SIZE;
      char text[NAME_SIZE + 1];
      name_of (text, length, 1);
      CU_ASSERT_EQUAL (read_heartbeat ("s", "s", 1, text, &heartbeat),
                       ERR_NONE);
      CU_ASSERT_EQUAL (heartbeat.unusable_tokens, token_fits ? 0u : 1u);
      CU_ASSERT_STRING_EQUAL (heartbeat.released_ranges[0].handover_token,
                              token_fits ? text : "");
      heartbeat_clear (&heartbeat);
      CU_ASSERT_EQUAL (read_heartbeat (text, text, 0, "", &heartbeat),
                       fits ? ERR_NONE : ERR_MALFORMED);
      if (fits)
        CU_ASSERT_STRING_EQUAL (heartbeat.service, text);
      heartbeat_clear (&heartbeat);
    }
}

/* Guards against ranges that are left out of an answer, and so have to be
   released, for the sake of long handover tokens.  */
static void
test_answer_tokens (void)
{
  struct heartbeat_answer *answer = g_new0 (struct heartbeat_answer, 1);
  char *text;
  guint rows = 0;
  const char *at;
  guint i;

  answer->renews_grant = TRUE;
  answer->range_count = ANSWER_RANGES_MAX;
  for (i = 0; i < ANSWER_RANGES_MAX; i++)
    {
      answer->ranges[i].first = answer->ranges[i].last = 60000 + i;
      answer->ranges[i].fence = 1000 + i;
      name_of (answer->ranges[i].handover_token, HANDOVER_TOKEN_SIZE - 1, i);
    }
  text = platform_heartbeat_answer (answer);
  CU_ASSERT_TRUE (strlen (text) <= 4096);
  for (at = strstr (text, "[6"); at != NULL; at = strstr (at + 1, "[6"))
    rows++;
  CU_ASSERT_EQUAL (rows, ANSWER_RANGES_MAX);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, answer->ranges[0].handover_token));
  g_free (text);
  g_free (answer);
}

/* Guards against an evacuation that is not carried out since there are others:
   a set takes EVACUATED_ZONES_MAX data centres with names of any valid length,
   passes whole between nodes, and counts what it does not take.  */
static void
test_evacuated_zones (void)
{
  struct evacuations evacuations = { 0 };
  struct mesh_call call = { .kind = MESH_GOSSIP };
  struct mesh_call decoded = { 0 };
  GByteArray *bytes;
  guint i;

  for (i = 0; i <= EVACUATED_ZONES_MAX; i++)
    {
      struct evacuation item = { .offset = i };
      name_of (item.zone, i == 0 ? 5 : 200, i);
      evacuations_read (&evacuations, &item, 1, FALSE, i + 1, 0);
      CU_ASSERT_EQUAL (evacuations_include (&evacuations, item.zone),
                       i < EVACUATED_ZONES_MAX);
      CU_ASSERT_EQUAL (evacuations.dropped_count,
                       i < EVACUATED_ZONES_MAX ? 0u : 1u);
    }
  call.u.gossip.evacuated = evacuations.zones;
  bytes = wire_encode (wire_mesh_call, &call, MESH_BLOB_BYTES_MAX);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &decoded, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_EQUAL_FATAL (decoded.u.gossip.evacuated.count,
                         EVACUATED_ZONES_MAX);
  for (i = 0; i < EVACUATED_ZONES_MAX; i++)
    CU_ASSERT_STRING_EQUAL (decoded.u.gossip.evacuated.names[i],
                            evacuations.zones.names[i]);
  g_byte_array_unref (bytes);
}

/* Return how many faults a file with a section called NAME has.  */
static guint
count_ini_faults (const char *name)
{
  static const struct ini_field fields[]
      = { { "node", "host", INI_NAME, TRUE, 0, 0, NULL } };
  static const struct ini_schema schema = { fields, 1, "", "node" };
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  char *text = g_strdup_printf ("[node]\nhost = %s\n", name);
  struct ini ini = { 0 };
  guint faults;

  ini_read (&ini, "f", text, &schema, errors);
  faults = errors->len;
  ini_clear (&ini);
  g_array_free (errors, TRUE);
  g_free (text);
  return faults;
}

/* Guards against a node that does not start since its host has a long
   name.  */
static void
test_settings_names (void)
{
  gsize length;

  for (length = 62; length <= NAME_SIZE; length++)
    {
      char name[NAME_SIZE + 1];
      CU_ASSERT_EQUAL (count_ini_faults (name_of (name, length, 1)),
                       length < NAME_SIZE ? 0u : 1u);
    }
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "hosts with long names share a record", test_member_names },
          { "record with a long name is passed on as deleted",
            test_records_since },
          { "map outgrows the store", test_map_size },
          { "heartbeat with many ranges is refused", test_heartbeat_ranges },
          { "heartbeat with a long text is refused", test_heartbeat_texts },
          { "tokens push ranges out of an answer", test_answer_tokens },
          { "evacuation is dropped", test_evacuated_zones },
          { "settings with a long name are refused", test_settings_names },
          CU_TEST_INFO_NULL };

  return suite_run ("limits", tests);
}
