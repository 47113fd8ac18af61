#include "fleet/quarantine.h"
#include "serve/crash_evidence.h"
#include "tests/suite.h"

/* Which requests are held back for having crashed servers, and for how long:
   what counts as evidence, and when a verdict ends.  */

#define SECOND ((gint64)1000000)
#define HOUR (3600 * SECOND)
#define START (1000 * SECOND)
#define DIGEST 17u
#define OTHER 18u

/* What happened at a server until its end became known, in seconds; 0: it did
   not happen.  */
struct end_case
{
  const char *name;
  gint64 lost_at;      /* the request was lost with its connection */
  gint64 completed_at; /* a request with its digest ended well */
  gint64 other_at;     /* another digest ended well */
  gint64 answered_at;  /* the server answered anything */
  gint64 known_at;     /* its end became known */
  gboolean is_reported;
};

/* Guards against sound requests that are held back for an end of the server
   that has other reasons, and against crashes that are not noticed.  */
static void
test_evidence (void)
{
  static const struct end_case cases[] = {
    { "busy server", 100, 0, 0, 0, 100, TRUE },
    { "quiet server, back after 8 s", 100, 0, 0, 0, 108, TRUE },
    { "lost too long ago", 100, 0, 0, 0, 116, FALSE },
    { "the server went on", 100, 0, 0, 102, 104, FALSE },
    { "answers before the loss", 100, 0, 0, 99, 104, TRUE },
    { "ran well just before", 100, 95, 0, 95, 104, FALSE },
    { "ran well beside it", 100, 100, 0, 100, 104, FALSE },
    { "ran well long before", 100, 89, 0, 89, 104, TRUE },
    { "another one ran well", 100, 0, 99, 99, 104, TRUE },
  };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct end_case *c = &cases[i];
      struct crash_evidence *evidence = g_new0 (struct crash_evidence, 1);
      guint64 taken;
      if (c->completed_at != 0)
        crash_evidence_add_completed (evidence, DIGEST,
                                      c->completed_at * SECOND);
      if (c->other_at != 0)
        crash_evidence_add_completed (evidence, OTHER, c->other_at * SECOND);
      crash_evidence_add_loss (evidence, DIGEST, c->lost_at * SECOND);
      crash_evidence_add_loss (evidence, DIGEST, c->lost_at * SECOND);
      taken = crash_evidence_take (evidence, c->answered_at * SECOND,
                                   c->known_at * SECOND);
      if ((taken == DIGEST) != c->is_reported)
        printf ("%s\n", c->name);
      CU_ASSERT_EQUAL (taken, c->is_reported ? DIGEST : 0);
      CU_ASSERT_EQUAL (crash_evidence_take (evidence, 0, c->known_at * SECOND),
                       0);
      g_free (evidence);
    }
}

/* A request whose run ended before its body was whole has no digest and is not
   reported.  */
static void
test_no_digest (void)
{
  struct crash_evidence *evidence = g_new0 (struct crash_evidence, 1);

  crash_evidence_add_loss (evidence, 0, START);
  CU_ASSERT_FALSE (crash_evidence_is_pending (evidence, START));
  crash_evidence_add_loss (evidence, DIGEST, START);
  CU_ASSERT_TRUE (crash_evidence_is_pending (evidence, START));
  crash_evidence_reset (evidence);
  CU_ASSERT_FALSE (crash_evidence_is_pending (evidence, START));
  g_free (evidence);
}

/* Apply a record of DIGEST with the counts.  */
static void
apply (struct quarantine *quarantine, guint32 crashes, guint32 probes,
       gint64 now)
{
  struct fleet_suspect record = { DIGEST, crashes, probes };

  quarantine_apply (quarantine, &record, now);
}

/* Two crashes hold a request back; one good run in between or after does
   not.  */
static void
test_verdict (void)
{
  struct quarantine quarantine;

  quarantine_init (&quarantine);
  CU_ASSERT_FALSE (quarantine_holds (&quarantine, DIGEST));
  apply (&quarantine, 1, 0, START);
  CU_ASSERT_FALSE (quarantine_holds (&quarantine, DIGEST));
  quarantine_on_completed (&quarantine, DIGEST, START + SECOND);
  CU_ASSERT_PTR_NULL (quarantine_next_sound (&quarantine));
  apply (&quarantine, 2, 0, START + 2 * SECOND);
  CU_ASSERT_TRUE (quarantine_holds (&quarantine, DIGEST));
  CU_ASSERT_FALSE (quarantine_holds (&quarantine, OTHER));
  CU_ASSERT_PTR_NOT_NULL (quarantine_next_sound (&quarantine));
  quarantine_remove (&quarantine, DIGEST);
  CU_ASSERT_FALSE (quarantine_holds (&quarantine, DIGEST));
  apply (&quarantine, 1, 0, START + 3 * SECOND);
  apply (&quarantine, 2, 0, START + 4 * SECOND);
  CU_ASSERT_PTR_NULL (quarantine_next_sound (&quarantine));
  quarantine_clear (&quarantine);
}

/* Play a request that comes each second for HOURS and crashes each server that
   runs it.  Return how often it is let through later than 3 s after the third
   crash.  */
static guint
count_late_probes (guint hours)
{
  struct quarantine quarantine;
  guint32 crashes = 2;
  guint32 probes = 0;
  gint64 third_at = 0;
  guint late = 0;
  gint64 now;

  quarantine_init (&quarantine);
  apply (&quarantine, crashes, probes, START);
  for (now = START; now < START + (gint64)hours * HOUR; now += SECOND)
    {
      if (now < quarantine_probe_at (quarantine_find (&quarantine, DIGEST)))
        continue;
      if (third_at != 0 && now > third_at + 3 * SECOND)
        late++;
      apply (&quarantine, ++crashes, ++probes, now);
      if (crashes == 3)
        third_at = now;
    }
  quarantine_clear (&quarantine);
  return late;
}

/* A crashing request that goes on coming reaches servers at most three times
   later than 3 s after its third crash, but a verdict is tried soon.  */
static void
test_probes (void)
{
  struct quarantine quarantine;

  CU_ASSERT_EQUAL (count_late_probes (1), 2);
  CU_ASSERT_EQUAL (count_late_probes (24), 3);
  quarantine_init (&quarantine);
  apply (&quarantine, 2, 0, START);
  CU_ASSERT (quarantine_probe_at (quarantine_find (&quarantine, DIGEST))
             <= START + 3 * SECOND);
  quarantine_clear (&quarantine);
}

/* Records end, so that the store does not keep them for good; a verdict
   outlasts the time between probes.  */
static void
test_expiry (void)
{
  struct quarantine quarantine;
  gint64 day = 24 * HOUR;

  quarantine_init (&quarantine);
  apply (&quarantine, 1, 0, START);
  CU_ASSERT_PTR_NULL (quarantine_next_expired (&quarantine, START + SECOND));
  CU_ASSERT_PTR_NOT_NULL (quarantine_next_expired (&quarantine, START + day));
  apply (&quarantine, 2, 9, START);
  CU_ASSERT (quarantine_probe_at (quarantine_find (&quarantine, DIGEST))
             <= START + day);
  CU_ASSERT_PTR_NULL (quarantine_next_expired (&quarantine, START + day));
  CU_ASSERT_PTR_NOT_NULL (
      quarantine_next_expired (&quarantine, START + 3 * day));
  quarantine_clear (&quarantine);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "evidence", test_evidence }, { "no digest", test_no_digest },
          { "verdict", test_verdict },   { "probes", test_probes },
          { "expiry", test_expiry },     CU_TEST_INFO_NULL };

  return suite_run ("quarantine", tests);
}
