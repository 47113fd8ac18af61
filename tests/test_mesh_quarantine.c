#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"
#include "types/request_digest.h"

/* A node beside servers that crash, and which requests it refuses for that. */

#define DIGEST 17u

/* Send a request with DIGEST to TARGET.  */
static struct handle
send_digest (struct fixture *fixture, const char *target, guint64 digest)
{
  struct event event = { .kind = EVENT_REQUEST };

  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.request.digest = digest;
  event.u.request.request.deadline = fixture->now + 5000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = target;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Send the first heartbeat of a server that was started at STARTED_AT.  */
static void
start_server (struct fixture *fixture, gint64 started_at)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat heartbeat = { .sequence = 1, .slots = 4 };

  g_strlcpy (heartbeat.instance.id, "sa", sizeof heartbeat.instance.id);
  g_strlcpy (heartbeat.service, OWN_SERVICE, sizeof heartbeat.service);
  heartbeat.instance.started_at_msec = started_at;
  event.u.heartbeat.heartbeat = &heartbeat;
  feed_event (fixture, &event);
  confirm_proposals (fixture);
}

/* Give the node the record that DIGEST crashed CRASHES servers and was let
   through PROBES times.  */
static void
record_suspect (struct fixture *fixture, guint32 crashes, guint32 probes)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .record.kind = FLEET_SUSPECT };

  entry.offset = fixture->mesh.fleet.applied_offset;
  entry.record.u.suspect.digest = DIGEST;
  entry.record.u.suspect.crash_count = crashes;
  entry.record.u.suspect.probe_count = probes;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &event);
}

/* Return how often requests with DIGEST crashed servers by the records.  */
static guint32
crashes_of (const struct fixture *fixture, guint64 digest)
{
  const struct quarantine_entry *entry
      = quarantine_find (&fixture->mesh.fleet.quarantine, digest);

  return entry != NULL ? entry->suspect.crash_count : 0;
}

/* Have a server crash while it runs a request with DIGEST, which is lost with
   its connection if IS_LOST is set, and come back after BACK_USEC.  */
static void
crash (struct fixture *fixture, guint64 digest, gboolean is_lost,
       gint64 back_usec)
{
  static gint64 started_at = 100;
  struct handle exchange = send_digest (fixture, "/once/x", digest);

  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  if (is_lost)
    end_attempt (fixture, exchange, OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
  fixture->now += back_usec;
  start_server (fixture, started_at++);
  if (!is_lost)
    end_attempt (fixture, exchange, OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
  confirm_proposals (fixture);
}

/* Guards against crashes that are not counted, or twice: whether the loss or
   the end is known first, and however long the server is away.  */
static void
test_counts_once (void)
{
  struct fixture *fixture = fixture_new ();

  crash (fixture, DIGEST, TRUE, 100 * MSEC);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 1);
  crash (fixture, DIGEST, FALSE, 100 * MSEC);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 2);
  crash (fixture, DIGEST + 1, TRUE, 6000 * MSEC);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST + 1), 1);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 2);
  fixture_free (fixture);
}

/* A server that leaves ends with requests running; they are not blamed.  */
static void
test_announced_end (void)
{
  struct fixture *fixture = fixture_new ();
  struct event event = { .kind = EVENT_DEREGISTER };

  send_digest (fixture, "/once/x", DIGEST);
  g_strlcpy (event.u.deregister.server_id, "sa", NAME_SIZE);
  feed_event (fixture, &event);
  confirm_proposals (fixture);
  start_server (fixture, 50);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 0);
  fixture_free (fixture);
}

/* A server that sends no heartbeat any more has crashed, though nothing else
   is sent to it.  */
static void
test_silent_end (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange = send_digest (fixture, "/once/x", DIGEST);
  guint i;

  end_attempt (fixture, exchange, OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
  for (i = 0; i < 80; i++)
    {
      advance (fixture, 50 * MSEC);
      confirm_proposals (fixture);
    }
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 1);
  fixture_free (fixture);
}

/* Two nodes that report at the same time write the same count; the earlier one
   reports again.  A record that counts a probe is no report.  */
static void
test_simultaneous_reports (void)
{
  struct fixture *fixture = fixture_new ();

  crash (fixture, DIGEST, TRUE, 100 * MSEC);
  record_suspect (fixture, 1, 0);
  confirm_proposals (fixture);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 2);
  record_suspect (fixture, 2, 0);
  record_suspect (fixture, 3, 0);
  confirm_proposals (fixture);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 3);
  fixture_free (fixture);
  fixture = fixture_new ();
  crash (fixture, DIGEST, TRUE, 100 * MSEC);
  record_suspect (fixture, 1, 1);
  confirm_proposals (fixture);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 1);
  fixture_free (fixture);
}

/* Guards against a verdict that no proof ends: a good run at the local server
   after the first report takes it back.  */
static void
test_good_run (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange;

  record_suspect (fixture, 1, 0);
  exchange = send_digest (fixture, "/own/x", DIGEST);
  record_suspect (fixture, 2, 0);
  send_digest (fixture, "/own/x", DIGEST);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  end_with_status (fixture, exchange, 200);
  advance (fixture, 1000 * MSEC);
  confirm_proposals (fixture);
  CU_ASSERT_EQUAL (crashes_of (fixture, DIGEST), 0);
  send_digest (fixture, "/own/x", DIGEST);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);
}

/* Return the reason for which EXCHANGE was answered in the last step.  */
static enum reason
answered_for (const struct fixture *fixture, struct handle exchange)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_ANSWER
          && handle_equal (action->u.answer.exchange, exchange))
        return action->u.answer.reason;
    }
  return REASON_NONE;
}

/* A request that is held back is let through as a probe when that is due, once
   a record of this node counts it; those beside it are refused.  */
static void
test_probe (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle early;
  struct handle probe;
  struct handle beside;

  record_suspect (fixture, 2, 0);
  early = send_digest (fixture, "/own/x", DIGEST);
  CU_ASSERT_EQUAL (answered_for (fixture, early), REASON_QUARANTINED);
  fixture->now += 4000 * MSEC;
  send_heartbeat (fixture, 2);
  probe = send_digest (fixture, "/own/x", DIGEST);
  CU_ASSERT_EQUAL (answered_for (fixture, probe), REASON_NONE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  beside = send_digest (fixture, "/own/x", DIGEST);
  CU_ASSERT_EQUAL (answered_for (fixture, beside), REASON_QUARANTINED);
  advance (fixture, 25 * MSEC);
  while (fixture->mesh.proposal.is_pending
         && find_action (fixture, ACTION_RUN) == NULL)
    {
      struct event event = { .kind = EVENT_STORE_APPENDED };
      event.u.store_appended.serial = fixture->mesh.proposal.serial;
      event.u.store_appended.offset = fixture->mesh.fleet.applied_offset;
      feed_event (fixture, &event);
    }
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_EQUAL (quarantine_find (&fixture->mesh.fleet.quarantine, DIGEST)
                       ->suspect.probe_count,
                   1);
  end_attempt (fixture, probe, OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
  CU_ASSERT_EQUAL (answered_for (fixture, probe), REASON_QUARANTINED);
  fixture_free (fixture);
}

/* Without the store there is no probe, and the request is not kept waiting. */
static void
test_probe_without_store (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle probe;
  guint i;

  record_suspect (fixture, 2, 0);
  fixture->now += 4000 * MSEC;
  probe = send_digest (fixture, "/own/x", DIGEST);
  for (i = 0; i < 50 && answered_for (fixture, probe) != REASON_QUARANTINED;
       i++)
    {
      advance (fixture, 25 * MSEC);
      CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
    }
  CU_ASSERT (i < 50);
  fixture_free (fixture);
}

/* Send an upload to TARGET of which only the head is there, with BODY_LENGTH,
   -1 if it does not say.  */
static struct handle
send_upload (struct fixture *fixture, const char *target, gint64 body_length)
{
  struct event event = { .kind = EVENT_REQUEST };

  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.request.head_digest
      = request_digest_of_head ("POST", target, "h", OWN_SERVICE);
  event.u.request.request.deadline = fixture->now + 5000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = target;
  event.u.request.body_length = body_length;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* End the body of EXCHANGE, which is TEXT.  */
static void
end_body (struct fixture *fixture, struct handle exchange, const char *text)
{
  struct event event = { .kind = EVENT_BODY_ENDED };

  event.u.body_ended.exchange = exchange;
  event.u.body_ended.end = BODY_END_WHOLE;
  event.u.body_ended.has_digest = TRUE;
  event.u.body_ended.digest = request_digest_of_body (text, strlen (text));
  feed_event (fixture, &event);
}

/* Have two servers crash on uploads to "/own/x" with the body "bad".  */
static void
crash_on_upload (struct fixture *fixture)
{
  guint i;

  for (i = 0; i < 2; i++)
    {
      struct handle exchange = send_upload (fixture, "/own/x", -1);
      end_body (fixture, exchange, "bad");
      end_attempt (fixture, exchange, OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
      start_server (fixture, 200 + i);
    }
}

/* Guards against uploads of one path that are all taken for the one that
   crashes servers: by its body, that one alone is kept from them, whether its
   length is known, too long to be kept, or not stated.  */
static void
test_upload (void)
{
  static const gint64 lengths[]
      = { 30000, BODY_QUEUE_BYTES - 1, BODY_QUEUE_BYTES, 1 << 20, -1 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      struct fixture *fixture = fixture_new ();
      gboolean is_kept = lengths[i] > 0 && lengths[i] < BODY_QUEUE_BYTES;
      const struct action *run;
      struct handle upload;
      crash_on_upload (fixture);

      upload = send_upload (fixture, "/own/x", lengths[i]);
      run = find_action (fixture, ACTION_RUN);
      CU_ASSERT_EQUAL (run == NULL, is_kept);
      CU_ASSERT_TRUE (run == NULL || run->u.run.withholds_end);
      end_body (fixture, upload, "good");
      CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
      CU_ASSERT_EQUAL (find_action (fixture, ACTION_RUN) != NULL, is_kept);
      end_with_status (fixture, upload, 200);

      upload = send_upload (fixture, "/own/x", lengths[i]);
      end_body (fixture, upload, "bad");
      CU_ASSERT_EQUAL (answered_for (fixture, upload), REASON_QUARANTINED);
      CU_ASSERT_EQUAL (find_action (fixture, ACTION_CANCEL) == NULL, is_kept);
      CU_ASSERT_EQUAL (find_action (fixture, ACTION_ANSWER)->u.answer.outcome,
                       is_kept ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
      CU_ASSERT_EQUAL (fixture->mesh.admission.busy_slots, 0);

      send_upload (fixture, "/own/y", lengths[i]);
      run = find_action (fixture, ACTION_RUN);
      CU_ASSERT_PTR_NOT_NULL (run);
      CU_ASSERT_FALSE (run != NULL && run->u.run.withholds_end);
      fixture_free (fixture);
    }
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "counts once", test_counts_once },
          { "announced end", test_announced_end },
          { "silent end", test_silent_end },
          { "simultaneous reports", test_simultaneous_reports },
          { "good run", test_good_run },
          { "probe", test_probe },
          { "upload", test_upload },
          { "probe without the store", test_probe_without_store },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_quarantine", tests);
}
