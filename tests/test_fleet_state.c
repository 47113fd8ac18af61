#include "fleet/fleet_state.h"
#include "tests/suite.h"

#define DIGEST 17u

/* Apply to FLEET the record at OFFSET that a request has crashed COUNT
   servers.  */
static void
apply_suspect (struct fleet_state *fleet, guint64 offset, guint32 count)
{
  struct fleet_entry entry
      = { .offset = offset, .record.kind = FLEET_SUSPECT };

  entry.record.u.suspect.digest = DIGEST;
  entry.record.u.suspect.crash_count = count;
  fleet_record_set_key (&entry.record);
  CU_ASSERT_TRUE (fleet_state_apply (fleet, &entry, 0));
}

/* Return how many servers DIGEST crashed by the records.  */
static guint32
crashes_of (const struct fleet_state *fleet)
{
  const struct quarantine_entry *entry
      = quarantine_find (&fleet->quarantine, DIGEST);

  return entry != NULL ? entry->suspect.crash_count : 0;
}

/* Guards against a request that crashes servers being sent on again: a count
   whose append was carried out late does not lower a higher one.  */
static void
test_late_crash_count (void)
{
  struct fleet_state fleet;

  fleet_state_init (&fleet);
  apply_suspect (&fleet, 0, 3);
  apply_suspect (&fleet, 1, 1);
  CU_ASSERT_EQUAL (crashes_of (&fleet), 3);
  apply_suspect (&fleet, 2, 4);
  CU_ASSERT_EQUAL (crashes_of (&fleet), 4);
  fleet_state_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "late crash count", test_late_crash_count }, CU_TEST_INFO_NULL };

  return suite_run ("fleet_state", tests);
}
