#include "decide/outbox.h"
#include "tests/fixture.h"
#include "tests/suite.h"
#include "wire/wire_view.h"

#define SECOND ((gint64)1000000)

/* Send what is due at NOW and return the number of appends.  */
static guint
send_at (struct outbox *outbox, gint64 now)
{
  struct actions out;
  guint count;

  actions_init (&out);
  outbox_send (outbox, now, &out);
  count = out.items->len;
  actions_clear (&out);
  return count;
}

/* Report the result CODE of the append of SERIAL to OUTBOX.  */
static void
end_append (struct outbox *outbox, guint64 serial, enum err code,
            guint64 offset, gint64 now)
{
  struct event_appended event
      = { .serial = serial, .code = code, .offset = offset };
  struct actions out;

  actions_init (&out);
  outbox_on_appended (outbox, &event, now, &out);
  actions_clear (&out);
}

/* Report a read to the end of the log to OUTBOX and return the number of
   appends that it caused.  */
static guint
read_to_end (struct outbox *outbox, guint64 next, gint64 started_at,
             gint64 now)
{
  struct actions out;
  guint count;

  actions_init (&out);
  outbox_on_log_end (outbox, next, started_at, now, &out);
  count = out.items->len;
  actions_clear (&out);
  return count;
}

/* An append whose answer was lost is sent again only after a read to the end
   of the log that began after the loss did not show it.  */
static void
test_unsure (void)
{
  struct outbox outbox;
  struct record back = { .writer = 5, .serial = 1 };

  outbox_init (&outbox, 5);
  outbox_propose (&outbox, RECORD_LEAVING);
  CU_ASSERT_EQUAL (send_at (&outbox, SECOND), 1);
  CU_ASSERT_EQUAL (send_at (&outbox, 5 * SECOND), 0);
  end_append (&outbox, 1, ERR_INDETERMINATE, 0, 6 * SECOND);
  CU_ASSERT_EQUAL (send_at (&outbox, 60 * SECOND), 0);
  CU_ASSERT_EQUAL (read_to_end (&outbox, 9, 6 * SECOND, 61 * SECOND), 0);
  CU_ASSERT_EQUAL (read_to_end (&outbox, 9, 6 * SECOND + 1, 62 * SECOND), 1);
  end_append (&outbox, 1, ERR_INDETERMINATE, 0, 63 * SECOND);
  outbox_on_record (&outbox, &back);
  CU_ASSERT_FALSE (outbox_has (&outbox, RECORD_LEAVING));
  CU_ASSERT_EQUAL (read_to_end (&outbox, 10, 64 * SECOND, 65 * SECOND), 0);
  outbox_clear (&outbox);
}

/* An append that was answered but is not on the log is sent again; one at an
   offset that was not read yet is not.  */
static void
test_never_read_back (void)
{
  struct outbox outbox;

  outbox_init (&outbox, 5);
  outbox_propose (&outbox, RECORD_LEAVING);
  send_at (&outbox, SECOND);
  end_append (&outbox, 1, ERR_NONE, 40, 2 * SECOND);
  CU_ASSERT_EQUAL (read_to_end (&outbox, 40, 3 * SECOND, 4 * SECOND), 0);
  CU_ASSERT_EQUAL (read_to_end (&outbox, 41, 2 * SECOND, 4 * SECOND), 0);
  CU_ASSERT_EQUAL (read_to_end (&outbox, 41, 3 * SECOND, 4 * SECOND), 1);
  outbox_clear (&outbox);
}

/* The delay of a refused append grows with each refusal, up to ten
   seconds.  */
static void
test_backoff (void)
{
  struct outbox outbox;
  gint64 now = SECOND;
  gint64 last = 0;
  guint i;

  outbox_init (&outbox, 5);
  outbox_propose (&outbox, RECORD_LEAVING);
  for (i = 0; i < 12; i++)
    {
      gint64 refused = now;
      CU_ASSERT_EQUAL (send_at (&outbox, now), 1);
      end_append (&outbox, 1, ERR_UNAVAILABLE, 0, now);
      while (send_at (&outbox, now) == 0)
        now += 10000;
      end_append (&outbox, 1, ERR_UNAVAILABLE, 0, now);
      last = now - refused;
      now += 10 * SECOND;
    }
  CU_ASSERT_TRUE (last >= 5 * SECOND);
  CU_ASSERT_TRUE (last <= 10 * SECOND);
  outbox_clear (&outbox);
}

/* A node runs only a few appends at once, however many it proposes.  */
static void
test_few_in_flight (void)
{
  struct outbox outbox;
  guint i;

  outbox_init (&outbox, 5);
  for (i = 0; i < 100; i++)
    outbox_propose (&outbox, RECORD_LEAVING);
  CU_ASSERT_EQUAL (send_at (&outbox, SECOND), 8);
  CU_ASSERT_EQUAL (send_at (&outbox, SECOND), 0);
  end_append (&outbox, 3, ERR_NONE, 1, SECOND);
  CU_ASSERT_EQUAL (send_at (&outbox, SECOND), 1);
  outbox_clear (&outbox);
}

/* Apply a copy of RECORD at the next offset of VIEW.  */
static void
apply_copy (struct view *view, const struct record *record)
{
  struct record copy;

  record_copy (&copy, record);
  fixture_apply (view, &copy);
}

/* Apply RECORD twice, and check that the second time changes only the
   offset.  */
static void
check_idempotent (struct view *view, struct record *record)
{
  guint64 next;
  guint64 digest;

  record->version = RECORD_VERSION;
  apply_copy (view, record);
  digest = view_digest (view);
  next = view->applied_offset;
  apply_copy (view, record);
  CU_ASSERT_EQUAL (view->applied_offset, next + 1);
  view->applied_offset = next;
  CU_ASSERT_EQUAL (view_digest (view), digest);
  view->applied_offset = next + 1;
  record_clear (record);
}

/* Return a record of KIND about one slice.  */
static struct record
slice_record (enum record_kind kind, guint32 slice, guint64 epoch,
              guint64 owner)
{
  struct record record = { .kind = kind };
  struct record_slices *body = &record.body.slices;

  g_strlcpy (body->service, "menu", sizeof body->service);
  body->count = 1;
  body->items = g_new0 (struct record_slice, 1);
  body->items[0].slice = slice;
  body->items[0].epoch = epoch;
  body->items[0].owner = owner;
  return record;
}

/* Applying a record of any kind a second time has no effect.  */
static void
test_idempotent (void)
{
  struct view view;
  struct record record = { .kind = RECORD_CONFIG, .writer = 3 };

  fixture_view (&view);
  record.body.config.base_offset = view.config_offset;
  record.body.config.text
      = g_strdup (FIXTURE_CONFIG "\n[place b]\nregion=r\n");
  check_idempotent (&view, &record);
  record = (struct record){ .kind = RECORD_JOIN };
  record.body.join.incarnation = 20;
  g_strlcpy (record.body.join.service, "menu", NAME_SIZE);
  check_idempotent (&view, &record);
  record = (struct record){ .kind = RECORD_WITNESS_SET };
  record.body.witness_set.incarnation = 20;
  record.body.witness_set.witness_count = 1;
  record.body.witness_set.witnesses[0] = 1;
  check_idempotent (&view, &record);
  record = slice_record (RECORD_ASSIGN, 5, 0, 20);
  check_idempotent (&view, &record);
  record = slice_record (
      RECORD_MOVE, 5,
      view_slice_at (view_find_service (&view, "menu"), 5)->epoch, 2);
  check_idempotent (&view, &record);
  record = slice_record (
      RECORD_MOVED, 5,
      view_slice_at (view_find_service (&view, "menu"), 5)->move_offset, 2);
  check_idempotent (&view, &record);
  record = (struct record){ .kind = RECORD_LEAVING };
  record.body.leaving.incarnation = 20;
  check_idempotent (&view, &record);
  record = (struct record){ .kind = RECORD_REMOVED };
  record.body.removed.incarnation = 20;
  check_idempotent (&view, &record);
  record = (struct record){ .kind = RECORD_JOIN };
  record.body.join.incarnation = 20;
  check_idempotent (&view, &record);
  CU_ASSERT_FALSE (handle_is_set (view_find_node (&view, 20)));
  view_clear (&view);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "unsure", test_unsure },
                                 { "never read back", test_never_read_back },
                                 { "backoff", test_backoff },
                                 { "few in flight", test_few_in_flight },
                                 { "idempotent", test_idempotent },
                                 CU_TEST_INFO_NULL };

  return suite_run ("outbox", tests);
}
