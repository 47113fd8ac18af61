#include "edge/log_client.h"
#include "types/clock.h"
#include "standins/log_server.h"
#include "tests/suite.h"
#include "wire/wire_record.h"

#include <string.h>

#define LOOPBACK 0x7f000001u
#define STEP_MSEC 5             /* period of the client's timer */
#define WAIT_TIMEOUT_MSEC 5000u /* longest wait for an event */

/* A log service and a client on one main loop.  */
struct fixture
{
  struct log_server log;    /* log service */
  struct http http;         /* HTTP connections of the client under test */
  struct log_client client; /* client under test */
  GMainLoop *loop;          /* main loop */
  gboolean reading;         /* the timer steps the client */
  enum event_kind expected; /* the event that ends the loop */
  gboolean arrived;         /* the expected event has arrived */
  guint records;            /* records received */
  guint64 last_offset;      /* offset of the last record received */
  gboolean at_end;          /* at_end of the last EVENT_RECORDS */
  guint64 first_retained;   /* first_retained of the last event that reports a
                               read */
  enum err code;            /* result of the last failed read or append */
  guint64 append_offset;    /* offset of the last append */
};

static struct fixture fixture;

/* Store what an event of the client reports.  */
static void
on_event (const struct event *event, gpointer data)
{
  (void)data;
  switch (event->kind)
    {
    case EVENT_RECORDS:
      fixture.records += event->u.records.count;
      fixture.at_end = event->u.records.at_end;
      fixture.first_retained = event->u.records.first_retained;
      if (event->u.records.count > 0)
        fixture.last_offset
            = event->u.records.items[event->u.records.count - 1].offset;
      break;
    case EVENT_LOG_FAILED:
      fixture.code = event->u.log_failed.code;
      fixture.first_retained = event->u.log_failed.first_retained;
      break;
    case EVENT_APPENDED:
      fixture.code = event->u.appended.code;
      fixture.append_offset = event->u.appended.offset;
      break;
    default:
      break;
    }
  if (event->kind == fixture.expected)
    {
      fixture.arrived = TRUE;
      g_main_loop_quit (fixture.loop);
    }
}

/* Expire HTTP calls and step the client.  */
static gboolean
on_tick (gpointer data)
{
  (void)data;
  http_expire (&fixture.http, clock_usec ());
  if (fixture.reading)
    log_client_step (&fixture.client, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Stop waiting for the expected event.  */
static gboolean
on_timeout (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

/* Run the loop until an event of KIND arrives.  Return FALSE if none does
   within WAIT_TIMEOUT_MSEC.  */
static gboolean
wait_for (enum event_kind kind)
{
  guint timeout = g_timeout_add (WAIT_TIMEOUT_MSEC, on_timeout, fixture.loop);
  guint tick = g_timeout_add (STEP_MSEC, on_tick, NULL);

  fixture.expected = kind;
  fixture.arrived = FALSE;
  fixture.reading = kind != EVENT_APPENDED;
  g_main_loop_run (fixture.loop);
  g_source_remove (timeout);
  g_source_remove (tick);
  return fixture.arrived;
}

/* Start the log service with COUNT records, and the client.  */
static void
set_up (guint count)
{
  struct address at = { LOOPBACK, 0 };
  GBytes *bytes;
  GSList *uris;

  memset (&fixture, 0, sizeof fixture);
  fixture.loop = g_main_loop_new (NULL, FALSE);
  CU_ASSERT_EQUAL_FATAL (log_server_init (&fixture.log, at), ERR_NONE);
  uris = soup_server_get_uris (fixture.log.http_server);
  at.port = (guint16)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  bytes = g_bytes_new_static ("??", 2);
  for (; count > 0; count--)
    log_store_append (&fixture.log.store, bytes);
  g_bytes_unref (bytes);
  http_init (&fixture.http);
  log_client_init (&fixture.client, &fixture.http, at, "s", on_event, NULL);
}

/* Stop the client and the service.  */
static void
tear_down (void)
{
  log_client_clear (&fixture.client);
  http_clear (&fixture.http);
  log_server_clear (&fixture.log);
  g_main_loop_unref (fixture.loop);
}

/* Append a record.  */
static void
append (void)
{
  struct record record = {
    .version = RECORD_VERSION, .kind = RECORD_LEAVING, .writer = 1, .serial = 2
  };

  log_client_append (&fixture.client, &record, clock_usec ());
}

/* An appended record is read back at its offset, and the read reports that it
   reached the end of the log.  */
static void
test_append_and_read (void)
{
  set_up (3);
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (fixture.code, ERR_NONE);
  CU_ASSERT_EQUAL (fixture.append_offset, 4);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (fixture.records, 4);
  CU_ASSERT_EQUAL (fixture.last_offset, 4);
  CU_ASSERT_TRUE (fixture.at_end);
  CU_ASSERT_EQUAL (fixture.first_retained, 1);
  tear_down ();
}

/* An append whose response is lost ends as ERR_INDETERMINATE; here the record
   was written.  */
static void
test_lost_answer (void)
{
  set_up (0);
  fixture.log.answers_to_drop = 1;
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (fixture.code, ERR_INDETERMINATE);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (fixture.records, 1);
  tear_down ();
}

/* During an outage an append is refused without effect and reads fail.  */
static void
test_outage (void)
{
  set_up (1);
  fixture.log.outage_until = clock_usec () + 100000;
  append ();
  CU_ASSERT_TRUE (wait_for (EVENT_APPENDED));
  CU_ASSERT_EQUAL (fixture.code, ERR_UNAVAILABLE);
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (fixture.code, ERR_UNAVAILABLE);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (fixture.records, 1);
  tear_down ();
}

/* A read below the first retained offset fails with ERR_NOT_RETAINED and
   reports that offset; after a seek reading continues from there.  */
static void
test_not_retained (void)
{
  set_up (0);
  fixture.log.store.retained_max = 3;
  append ();
  append ();
  append ();
  append ();
  append ();
  while (fixture.log.append_count < 5 && wait_for (EVENT_APPENDED))
    continue;
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (fixture.code, ERR_NOT_RETAINED);
  CU_ASSERT_EQUAL (fixture.first_retained, 3);
  log_client_seek (&fixture.client, 3);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (fixture.records, 3);
  CU_ASSERT_EQUAL (fixture.last_offset, 5);
  tear_down ();
}

/* A log that has lost its last records is reported as failed, because its next
   records would reuse their offsets.  */
static void
test_log_lost_records (void)
{
  set_up (5);
  CU_ASSERT_TRUE (wait_for (EVENT_RECORDS));
  CU_ASSERT_EQUAL (fixture.last_offset, 5);
  g_ptr_array_set_size (fixture.log.store.records, 2);
  CU_ASSERT_TRUE (wait_for (EVENT_LOG_FAILED));
  CU_ASSERT_EQUAL (fixture.code, ERR_TRUNCATED);
  CU_ASSERT_EQUAL (fixture.records, 5);
  tear_down ();
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "append and read", test_append_and_read },
                                 { "lost answer", test_lost_answer },
                                 { "outage", test_outage },
                                 { "not retained", test_not_retained },
                                 { "log lost records", test_log_lost_records },
                                 CU_TEST_INFO_NULL };

  return suite_run ("log_client", tests);
}
