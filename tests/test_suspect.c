#include "tests/request_fixture.h"

/* Return an idempotent request with DIGEST for the key of this node, forwarded
   by another node.  */
static struct request
with_digest (guint64 digest)
{
  struct request request = fixture_request ("desk", "k", "a");

  request.run_class = RUN_IDEMPOTENT;
  request.forwarded = TRUE;
  request.digest = digest;
  return request;
}

/* Have the server die while it runs COUNT requests with DIGESTS.  Return how
   many digests are reported; the core reads each report back.  */
static guint
crash (struct fixture *f, const guint64 *digests, guint count)
{
  struct event down = { .kind = EVENT_SERVER_DOWN };
  struct event up = { .kind = EVENT_SERVER_UP };
  struct handle running[8];
  GArray *reported = g_array_new (FALSE, FALSE, sizeof (struct record));
  guint i;
  guint total;

  for (i = 0; i < count; i++)
    {
      struct request request = with_digest (digests[i]);
      running[i] = fixture_arrive (f, &request, FIXTURE_START);
      CU_ASSERT_PTR_NOT_NULL (fixture_find (f, ACTION_RUN));
    }
  down.u.server_down.not_listening = TRUE;
  fixture_ended (f, running[0], OUTCOME_UNKNOWN, REASON_SERVER_DOWN,
                 FIXTURE_START);
  fixture_step (f, &down, FIXTURE_START);
  for (i = 1; i < count; i++)
    fixture_ended (f, running[i], OUTCOME_UNKNOWN, REASON_SERVER_DOWN,
                   FIXTURE_START);
  fixture_tick (f, 0, FIXTURE_START);
  for (i = 0; i < f->out.items->len; i++)
    if (actions_at (&f->out, i)->kind == ACTION_APPEND
        && actions_at (&f->out, i)->u.append.record.kind == RECORD_SUSPECT)
      g_array_append_val (reported, actions_at (&f->out, i)->u.append.record);
  total = reported->len;
  for (i = 0; i < total; i++)
    fixture_record (f, &g_array_index (reported, struct record, i),
                    FIXTURE_START);
  g_array_free (reported, TRUE);
  up.u.server_up.slots = 2;
  fixture_step (f, &up, FIXTURE_START - LIMITER_WARMUP_USEC);
  return total;
}

/* A request that ran in two crashes is refused; one that ran beside it in the
   first is not.  */
static void
test_two_incidents (void)
{
  struct fixture f;
  guint64 first[] = { 11, 12 };
  guint64 second[] = { 11, 13 };
  struct request repeated = with_digest (11);
  struct request other = with_digest (12);

  fixture_begin (&f, "desk");
  CU_ASSERT_EQUAL (crash (&f, first, 2), 2);
  CU_ASSERT_EQUAL (crash (&f, second, 2), 2);
  fixture_arrive (&f, &repeated, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_QUARANTINED));
  fixture_arrive (&f, &other, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_end (&f);
}

/* A digest that ran twice in one crash counts as one incident.  */
static void
test_one_incident (void)
{
  struct fixture f;
  guint64 both[] = { 11, 11 };
  struct request request = with_digest (11);

  fixture_begin (&f, "desk");
  CU_ASSERT_EQUAL (crash (&f, both, 2), 1);
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_end (&f);
}

/* A digest whose requests run to completion here is not reported, and a
   quarantined one is accepted again after SUSPECT_RETENTION_USEC.  */
static void
test_completed_and_expired (void)
{
  struct fixture f;
  guint64 digest = 11;
  struct request request = with_digest (21);
  guint64 good = 21;
  struct handle exchange;
  gint64 later = FIXTURE_START + SUSPECT_RETENTION_USEC;

  fixture_begin (&f, "desk");
  exchange = fixture_arrive (&f, &request, FIXTURE_START);
  fixture_ended (&f, exchange, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
  CU_ASSERT_EQUAL (crash (&f, &good, 1), 0);
  crash (&f, &digest, 1);
  crash (&f, &digest, 1);
  CU_ASSERT_TRUE (suspects_is_quarantined (&f.core.suspects, 11, later - 1));
  CU_ASSERT_FALSE (suspects_is_quarantined (&f.core.suspects, 11, later));
  fixture_end (&f);
}

/* A server that does not answer but still listens gives no suspects.  */
static void
test_unresponsive_server (void)
{
  struct fixture f;
  struct event down = { .kind = EVENT_SERVER_DOWN };
  struct request request = with_digest (11);

  fixture_begin (&f, "desk");
  fixture_arrive (&f, &request, FIXTURE_START);
  fixture_step (&f, &down, FIXTURE_START);
  CU_ASSERT_FALSE (outbox_has (&f.core.outbox, RECORD_SUSPECT));
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "two incidents", test_two_incidents },
          { "one incident", test_one_incident },
          { "completed and expired", test_completed_and_expired },
          { "unresponsive server", test_unresponsive_server },
          CU_TEST_INFO_NULL };

  return suite_run ("suspect", tests);
}
