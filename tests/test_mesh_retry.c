#include "tests/mesh_fixture.h"

/* Have the node hear of another one, NAME, whose process is PROCESS and that
   serves SERVICE.  */
static void
teach_member (struct bench *bench, const char *name, const char *service,
              guint64 process)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = bench->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, name, sizeof member->name);
  g_strlcpy (member->service, service, sizeof member->service);
  g_strlcpy (member->instance.id, name, sizeof member->instance.id);
  member->incarnation = process;
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet.items = &entry;
  event.u.fleet.count = 1;
  event.u.fleet.next_offset = entry.offset + 1;
  feed (bench, &event);
}

/* Have the node hear of another one, "c", that serves OTHER_SERVICE.  */
static void
teach_third (struct bench *bench)
{
  teach_member (bench, "c", OTHER_SERVICE, 78);
}

/* The process that the last step sent a request to, 0 for none.  */
static guint64
sent_to (const struct bench *bench)
{
  const struct action *action = find (bench, ACTION_FORWARD);

  return action != NULL ? action->u.forward.peer_incarnation : 0;
}

/* A request for an undivided service that one node has no room for goes to
   another one, also if it carries a key.  */
static void
test_offered_elsewhere (void)
{
  struct bench *bench = bench_new ();
  struct handle exchange;
  guint64 first;

  teach_third (bench);
  exchange = ask_with_key (bench, "/other/x", "17");
  first = sent_to (bench);
  CU_ASSERT_NOT_EQUAL (first, 0);
  end (bench, exchange, OUTCOME_NOT_RUN, REASON_OVERLOAD);
  CU_ASSERT_NOT_EQUAL (sent_to (bench), 0);
  CU_ASSERT_NOT_EQUAL (sent_to (bench), first);
  bench_free (bench);
}

/* A server that refuses requests though it has slots keeps all its slots: it
   is not for want of them.  */
static void
test_shed_keeps_slots (void)
{
  struct bench *bench = bench_new ();
  guint i;

  for (i = 0; i < 20; i++)
    {
      struct handle exchange = ask (bench, "/own/x");
      end (bench, exchange, OUTCOME_NOT_RUN, REASON_SHED);
    }
  CU_ASSERT_EQUAL (mesh_load_report (&bench->mesh, bench->now).slots, 1);
  CU_ASSERT_TRUE (mesh_load_report (&bench->mesh, bench->now).failed_permille
                  > 500);
  CU_ASSERT_EQUAL (bench->mesh.admission.limiter.withheld_slots, 0);
  bench_free (bench);
}

/* Requests that a server refused are sent again no more often than the budget
   has it.  */
static void
test_shed_is_paid (void)
{
  struct bench *bench = bench_new ();
  guint sent = 0;
  guint i;

  teach_third (bench);
  for (i = 0; i < 20; i++)
    {
      struct handle exchange = ask (bench, "/other/x");
      while (find (bench, ACTION_FORWARD) != NULL)
        {
          sent++;
          end (bench, exchange, OUTCOME_NOT_RUN, REASON_SHED);
        }
    }
  CU_ASSERT_TRUE (sent > 20);
  CU_ASSERT_TRUE (sent <= 20 + 3 + 20 / 10);
  bench_free (bench);
}

/* A server's failure is not passed on where another one may do better; one
   that must run once is.  */
static void
test_failure_repeated (void)
{
  struct bench *bench = bench_new ();
  struct handle exchange;

  teach_third (bench);
  exchange = ask (bench, "/other/x");
  fail_with (bench, exchange, 500);
  CU_ASSERT_PTR_NOT_NULL (find (bench, ACTION_FORWARD));
  exchange = ask (bench, "/once/x");
  fail_with (bench, exchange, 500);
  CU_ASSERT_PTR_NULL (find (bench, ACTION_RUN));
  bench_free (bench);
}

/* What the server here has no room for is offered to another one, though that
   is busier; where there is none it is refused at once.  */
static void
test_own_server_is_full (void)
{
  struct bench *bench = bench_new ();
  struct load_report busy = { .running = 4, .waiting = 60, .slots = 4 };
  const struct action *action;

  bench->mesh.admission.busy_slots = bench->mesh.admission.slots;
  bench->mesh.admission.queue_max = 0;
  ask (bench, "/own/x");
  action = find (bench, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    CU_ASSERT_EQUAL (action->u.answer.reason, REASON_OVERLOAD);
  teach_member (bench, "d", OWN_SERVICE, 79);
  peer_state_on_load (table_get (&bench->mesh.peers,
                                 fleet_state_find (&bench->mesh.fleet, "d")),
                      &busy, bench->now);
  ask (bench, "/own/x");
  CU_ASSERT_EQUAL (sent_to (bench), 79);
  bench->mesh.admission.busy_slots = 0;
  bench_free (bench);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "offered elsewhere", test_offered_elsewhere },
                          { "shedding keeps slots", test_shed_keeps_slots },
                          { "shedding is paid for", test_shed_is_paid },
                          { "failure repeated", test_failure_repeated },
                          { "own server is full", test_own_server_is_full },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_retry", tests);
}
