#include "edge/log_client.h"
#include "types/clock.h"
#include "standins/log_server.h"
#include "tests/suite.h"
#include "wire/wire_record.h"

#include <string.h>

#define LOOPBACK 0x7f000001u
#define STEP_MSEC 5         /* the client is woken so often */
#define PATIENCE_MSEC 5000u /* a case may take so long */

/* A log service and a client on one loop.  */
struct setting
{
  struct log_server log;    /* the service */
  struct http http;         /* the client's HTTP */
  struct log_client client; /* the client */
  GMainLoop *loop;          /* the loop */
  gboolean reading;         /* the client reads on and on */
  enum event_kind wanted;   /* the event that ends the loop */
  gboolean came;            /* whether it has come */
  guint records;            /* records told */
  guint64 last;             /* offset of the last record told */
  gboolean at_tail;         /* as last told */
  guint64 first;            /* as last told */
  enum err code;            /* of the last failure or append */
  guint64 offset;           /* of the last append */
};

static struct setting setting;

/* The client tells an event.  */
static void
on_event (const struct event *event, gpointer data)
{
  (void)data;
  switch (event->kind)
    {
    case EVENT_RECORDS:
      setting.records += event->u.records.count;
      setting.at_tail = event->u.records.at_end;
      setting.first = event->u.records.first_retained;
      if (event->u.records.count > 0)
        setting.last
            = event->u.records.items[event->u.records.count - 1].offset;
      break;
    case EVENT_LOG_FAILED:
      setting.code = event->u.log_failed.code;
      setting.first = event->u.log_failed.first_retained;
      break;
    case EVENT_APPENDED:
      setting.code = event->u.appended.code;
      setting.offset = event->u.appended.offset;
      break;
    default:
      break;
    }
  if (event->kind == setting.wanted)
    {
      setting.came = TRUE;
      g_main_loop_quit (setting.loop);
    }
}

/* The timer.  */
static gboolean
on_tick (gpointer data)
{
  (void)data;
  http_expire (&setting.http, clock_usec ());
  if (setting.reading)
    log_client_step (&setting.client, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Waiting has taken too long.  */
static gboolean
on_late (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

/* Run until an event of KIND has come; FALSE if none does.  */
static gboolean
wait_for (enum event_kind kind)
{
  guint late = g_timeout_add (PATIENCE_MSEC, on_late, setting.loop);
  guint tick = g_timeout_add (STEP_MSEC, on_tick, NULL);

  setting.wanted = kind;
  setting.came = FALSE;
  setting.reading = kind != EVENT_APPENDED;
  g_main_loop_run (setting.loop);
  g_source_remove (late);
  g_source_remove (tick);
  return setting.came;
}

/* Start the service, with COUNT records, and the client.  */
static void
set_up (guint count)
{
  struct address at = { LOOPBACK, 0 };
  GBytes *bytes;
  GSList *uris;

  memset (&setting, 0, sizeof setting);
  setting.loop = g_main_loop_new (NULL, FALSE);
  CU_ASSERT_EQUAL_FATAL (log_server_init (&setting.log, at), ERR_NONE);
  uris = soup_server_get_uris (setting.log.http_server);
  at.port = (guint16)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  bytes = g_bytes_new_static ("??", 2);
  for (; count > 0; count--)
    log_store_append (&setting.log.store, bytes);
  g_bytes_unref (bytes);
  http_init (&setting.http);
  log_client_init (&setting.client, &setting.http, at, "s", on_event, NULL);
}

/* Release all.  */
static void
tear_down (void)
{
  log_client_clear (&setting.client);
  http_clear (&setting.http);
  log_server_clear (&setting.log);
  g_main_loop_unref (setting.loop);
}

/* Append a record.  */
static void
append (void)
{
  struct record record = {
    .version = RECORD_VERSION, .kind = RECORD_LEAVING, .writer = 1, .serial = 2
  };

  log_client_append (&setting.client, &record, clock_usec ());
}

/* What is appended is read back at its offset, and the tail is known.  */
static void
test_append_and_read (void)
{
  set_up (3);
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (setting.code, ERR_NONE);
  CU_ASSERT_EQUAL (setting.offset, 4);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (setting.records, 4);
  CU_ASSERT_EQUAL (setting.last, 4);
  CU_ASSERT_TRUE (setting.at_tail);
  CU_ASSERT_EQUAL (setting.first, 1);
  tear_down ();
}

/* An append whose answer is lost may have taken effect, and has.  */
static void
test_lost_answer (void)
{
  set_up (0);
  setting.log.answers_to_drop = 1;
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (setting.code, ERR_INDETERMINATE);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (setting.records, 1);
  tear_down ();
}

/* An outage refuses appends, which then had no effect, and fails reads.  */
static void
test_outage (void)
{
  set_up (1);
  setting.log.outage_until = clock_usec () + 100000;
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (setting.code, ERR_UNAVAILABLE);
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (setting.code, ERR_UNAVAILABLE);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (setting.records, 1);
  tear_down ();
}

/* Records that are no longer retained are told as gone, with the first that
   is, and reading goes on from where the client is sent.  */
static void
test_gone (void)
{
  set_up (0);
  setting.log.store.retained_max = 3;
  append ();
  append ();
  append ();
  append ();
  append ();
  while (setting.log.append_count < 5 && wait_for (EVENT_APPENDED))
    continue;
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (setting.code, ERR_NOT_RETAINED);
  CU_ASSERT_EQUAL (setting.first, 3);
  log_client_seek (&setting.client, 3);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (setting.records, 3);
  CU_ASSERT_EQUAL (setting.last, 5);
  tear_down ();
}

/* A log that has lost its last records counts as failed.  */
static void
test_log_lost_records (void)
{
  set_up (5);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (setting.last, 5);
  g_ptr_array_set_size (setting.log.store.records, 2);
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (setting.code, ERR_TRUNCATED);
  CU_ASSERT_EQUAL (setting.records, 5);
  tear_down ();
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "append and read", test_append_and_read },
                                 { "lost answer", test_lost_answer },
                                 { "outage", test_outage },
                                 { "gone", test_gone },
                                 { "log lost records", test_log_lost_records },
                                 CU_TEST_INFO_NULL };

  return suite_run ("log_client", tests);
}
