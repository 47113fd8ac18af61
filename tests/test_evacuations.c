#include "fleet/evacuations.h"

#include "platform/evacuation.h"
#include "tests/suite.h"

/* The set of evacuated data centres: what is read from the operator's topic or
   told by another node.  */

#define SERVE_UNTIL ((gint64)7000)

/* Return the record at OFFSET that evacuates ZONE, or that ends this if it
   IS_CANCELLED.  */
static struct evacuation
record_of (const char *zone, guint64 offset, gboolean is_cancelled)
{
  struct evacuation record
      = { .offset = offset, .is_cancelled = is_cancelled };

  g_strlcpy (record.zone, zone, sizeof record.zone);
  return record;
}

/* Read the record at OFFSET that evacuates ZONE, or ends this, as the only one
   since the set was read.  Return whether the set changed.  */
static gboolean
read_one (struct evacuations *evacuations, const char *zone, guint64 offset,
          gboolean is_cancelled)
{
  struct evacuation record = record_of (zone, offset, is_cancelled);

  return evacuations_read (evacuations, &record, 1, FALSE, offset + 1,
                           SERVE_UNTIL);
}

/* Return a set as of OFFSET with ZONE, or empty if that is NULL.  */
static struct evacuated_zones
zones_of (guint64 offset, const char *zone)
{
  struct evacuated_zones zones = { .offset = offset };

  if (zone != NULL)
    zones.names[zones.count++] = zone;
  return zones;
}

/* Guards against records of the operator's topic that are taken for an
   evacuation, or not taken for one.  */
static void
test_decoding (void)
{
  struct store_item item = { .key = (char *)"evacuate/z1",
                             .value = (const guint8 *)"{}",
                             .value_length = 2,
                             .offset = 12 };
  struct evacuation evacuation;
  char *long_zone = g_strnfill (NAME_SIZE, 'x');
  char *long_key = g_strconcat ("evacuate/", long_zone, NULL);

  CU_ASSERT_TRUE (platform_evacuation_read (&item, &evacuation));
  CU_ASSERT_STRING_EQUAL (evacuation.zone, "z1");
  CU_ASSERT_EQUAL (evacuation.offset, 12);
  CU_ASSERT_FALSE (evacuation.is_cancelled);
  item.value_length = 0;
  CU_ASSERT_TRUE (platform_evacuation_read (&item, &evacuation));
  CU_ASSERT_TRUE (evacuation.is_cancelled);
  item.key = (char *)"evacuate/";
  CU_ASSERT_FALSE (platform_evacuation_read (&item, &evacuation));
  item.key = (char *)"evacuated/z1";
  CU_ASSERT_FALSE (platform_evacuation_read (&item, &evacuation));
  item.key = (char *)"config";
  CU_ASSERT_FALSE (platform_evacuation_read (&item, &evacuation));
  item.key = long_key;
  CU_ASSERT_FALSE (platform_evacuation_read (&item, &evacuation));
  g_free (long_key);
  g_free (long_zone);
}

/* Guards against an evacuation that is missed, or that does not end with its
   record.  A second record for the same data centre changes nothing.  */
static void
test_records (void)
{
  struct evacuations evacuations = { 0 };

  CU_ASSERT_FALSE (evacuations_include (&evacuations, "z1"));
  CU_ASSERT_TRUE (read_one (&evacuations, "z1", 4, FALSE));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z1"));
  CU_ASSERT_FALSE (evacuations_include (&evacuations, "z2"));
  CU_ASSERT_FALSE (read_one (&evacuations, "z1", 5, FALSE));
  CU_ASSERT_TRUE (read_one (&evacuations, "z2", 6, FALSE));
  CU_ASSERT_EQUAL (evacuations.changed_offset, 7);
  CU_ASSERT_TRUE (read_one (&evacuations, "z1", 7, TRUE));
  CU_ASSERT_FALSE (evacuations_include (&evacuations, "z1"));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z2"));
  CU_ASSERT_FALSE (read_one (&evacuations, "z1", 8, TRUE));
  CU_ASSERT_EQUAL (evacuations.zones.offset, 9);
  CU_ASSERT_EQUAL (evacuations.changed_offset, 8);
}

/* Guards against an evacuation that stays in force after its end, since the
   record of the end was deleted from the topic with its key: a listing of the
   newest records that does not name the data centre ends it.  */
static void
test_listing (void)
{
  struct evacuations evacuations = { 0 };
  struct evacuation record = record_of ("z2", 8, FALSE);

  read_one (&evacuations, "z1", 4, FALSE);
  CU_ASSERT_TRUE (
      evacuations_read (&evacuations, &record, 1, TRUE, 10, SERVE_UNTIL));
  CU_ASSERT_FALSE (evacuations_include (&evacuations, "z1"));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z2"));
  CU_ASSERT_FALSE (
      evacuations_read (&evacuations, &record, 1, TRUE, 11, SERVE_UNTIL));
  CU_ASSERT_TRUE (
      evacuations_read (&evacuations, NULL, 0, TRUE, 12, SERVE_UNTIL));
  CU_ASSERT_EQUAL (evacuations.zones.count, 0);
}

/* Guards against an old set that replaces a newer one: a read that began
   before, or a node that is behind.  */
static void
test_order (void)
{
  struct evacuations evacuations = { 0 };
  struct evacuated_zones newer = zones_of (20, "z1");
  struct evacuated_zones older = zones_of (19, NULL);
  struct evacuation records[]
      = { record_of ("z1", 18, TRUE), record_of ("z2", 21, FALSE) };

  CU_ASSERT_TRUE (evacuations_adopt (&evacuations, &newer, SERVE_UNTIL));
  CU_ASSERT_FALSE (evacuations_adopt (&evacuations, &older, SERVE_UNTIL));
  CU_ASSERT_FALSE (
      evacuations_read (&evacuations, NULL, 0, TRUE, 19, SERVE_UNTIL));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z1"));
  /* The read began at offset 18, before the other node told of the set.  */
  CU_ASSERT_TRUE (
      evacuations_read (&evacuations, records, 2, FALSE, 22, SERVE_UNTIL));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z1"));
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z2"));
}

/* Guards against a time to serve that is put off by each newer set: it counts
   from when the evacuation was learned of.  One that ended and began again
   counts anew.  */
static void
test_serve_until (void)
{
  struct evacuations evacuations = { 0 };
  struct evacuated_zones set = zones_of (2, "z1");

  CU_ASSERT_EQUAL (evacuations_serve_until (&evacuations, "z1"), G_MAXINT64);
  evacuations_adopt (&evacuations, &set, 100);
  set = zones_of (3, "z0");
  set.names[set.count++] = "z1";
  evacuations_adopt (&evacuations, &set, 200);
  CU_ASSERT_EQUAL (evacuations_serve_until (&evacuations, "z1"), 100);
  CU_ASSERT_EQUAL (evacuations_serve_until (&evacuations, "z0"), 200);
  set = zones_of (4, NULL);
  evacuations_adopt (&evacuations, &set, 300);
  set = zones_of (5, "z1");
  evacuations_adopt (&evacuations, &set, 400);
  CU_ASSERT_EQUAL (evacuations_serve_until (&evacuations, "z1"), 400);
}

/* Guards against a set that outgrows its table.  */
static void
test_full (void)
{
  struct evacuations evacuations = { 0 };
  guint i;

  for (i = 0; i < 2 * EVACUATED_ZONES_MAX; i++)
    {
      char name[NAME_SIZE];
      g_snprintf (name, sizeof name, "z%u", i);
      read_one (&evacuations, name, i, FALSE);
    }
  CU_ASSERT_EQUAL (evacuations.zones.count, EVACUATED_ZONES_MAX);
  CU_ASSERT_EQUAL (evacuations.dropped_count, EVACUATED_ZONES_MAX);
  CU_ASSERT_TRUE (evacuations_include (&evacuations, "z0"));
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "decoding", test_decoding },
                                 { "records", test_records },
                                 { "listing", test_listing },
                                 { "order", test_order },
                                 { "time to serve", test_serve_until },
                                 { "full", test_full },
                                 CU_TEST_INFO_NULL };

  return suite_run ("evacuations", tests);
}
