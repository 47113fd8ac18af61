#include "platform/topic_reader.h"
#include "tests/suite.h"
#include "types/clock.h"
#include "types/mesh_msg.h"
#include "types/store_offset.h"

#include <string.h>

/* The client of the store and the reader of a topic, against a store that
   comes back from an older copy, with a scripted answer to each call.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)5000000) /* time limit of a test */
#define CALLS_MAX 8u

/* An answer of the scripted store.  */
struct answer
{
  guint status; /* HTTP status */
  guint64 era;  /* era of the store */
  guint64 end;  /* end of the topic; offset of an append below it */
};

/* A store, and what its clients report.  */
struct stage
{
  struct http http;             /* HTTP client */
  struct store store;           /* client of the store */
  GSocket *listener;            /* listening socket of the store */
  GSource *accept_source;       /* accepts connections */
  GPtrArray *conns;             /* struct conn: connections of the store */
  const struct answer *answers; /* answers, in the order of the calls */
  guint answer_count;           /* number of answers */
  guint answered;               /* calls that were answered */
  char *targets[CALLS_MAX];     /* first lines of the calls */
  guint results;                /* results that were reported */
  enum err code;                /* code of the last one */
  guint64 offset;               /* offset of the last one */
  guint64 end_offset;           /* end of the topic in the last one */
};

/* Return the body of ANSWER to the call with the first line TARGET.  */
static GByteArray *
make_body (const struct answer *answer, const char *target)
{
  GByteArray *body = g_byte_array_new ();
  guint64 numbers[2] = { GUINT64_TO_BE (answer->end), 0 };
  char *text = NULL;

  if (strstr (target, "log-read") != NULL)
    {
      g_byte_array_append (body, (const guint8 *)numbers, sizeof numbers);
      return body;
    }
  if (strstr (target, "log-newest") != NULL)
    text = g_strdup_printf (
        "{\"items\":[],\"has-more\":false,\"end\":%" G_GUINT64_FORMAT "}",
        answer->end);
  else
    text = g_strdup_printf ("{\"offset\":%" G_GUINT64_FORMAT
                            ",\"end\":%" G_GUINT64_FORMAT "}",
                            answer->end - 1, answer->end);
  g_byte_array_append (body, (const guint8 *)text, (guint)strlen (text));
  g_free (text);
  return body;
}

/* Answer the call with the first line TARGET on CONN, unless the script has
   ended.  */
static void
answer_call (struct stage *stage, struct conn *conn, char *target)
{
  const struct answer *answer = &stage->answers[stage->answered];
  GByteArray *body;
  char *head;

  if (stage->answered >= stage->answer_count || stage->answered >= CALLS_MAX)
    {
      g_free (target);
      return;
    }
  body = make_body (answer, target);
  head = g_strdup_printf ("HTTP/1.1 %u X\r\nStore-Era: %" G_GUINT64_FORMAT
                          "\r\nContent-Length: %u\r\n\r\n",
                          answer->status, answer->era, body->len);
  conn_send (conn, (const guint8 *)head, strlen (head));
  conn_send (conn, body->data, body->len);
  stage->targets[stage->answered++] = target;
  g_free (head);
  g_byte_array_unref (body);
}

/* The store: answer each call once its head is there.  */
static void
on_store (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct stage *stage = data;
  char *text;
  char *end;

  if (event->kind == CONN_CLOSED)
    {
      g_ptr_array_remove (stage->conns, conn);
      conn_close (conn);
      return;
    }
  if (event->kind != CONN_RECEIVED)
    return;
  text = g_strndup ((const char *)conn->receive_buffer->data,
                    conn->receive_buffer->len);
  end = strstr (text, "\r\n\r\n");
  if (end != NULL)
    {
      char *line = strstr (text, " /api/");
      conn_consume (conn, conn->receive_buffer->len);
      answer_call (stage, conn, g_strndup (line + 1, strcspn (line + 1, " ")));
    }
  g_free (text);
}

/* Accept a connection.  */
static gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct stage *stage = data;

  (void)condition;
  g_ptr_array_add (
      stage->conns,
      conn_adopt (g_socket_accept (socket, NULL, NULL), on_store, stage));
  return G_SOURCE_CONTINUE;
}

/* Record a result.  */
static void
on_result (const struct store_result *result, gpointer data)
{
  struct stage *stage = data;

  stage->results++;
  stage->code = result->code;
  stage->offset = result->offset;
  stage->end_offset = result->end_offset;
}

/* Start a store that gives COUNT ANSWERS, and its client.  */
static void
stage_init (struct stage *stage, const struct answer *answers, guint count)
{
  struct address at = { LOCAL, 0 };
  GSocketAddress *local;
  enum err code;

  memset (stage, 0, sizeof *stage);
  stage->answers = answers;
  stage->answer_count = count;
  stage->conns = g_ptr_array_new ();
  stage->listener = conn_listen (at, &code);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stage->listener);
  local = g_socket_get_local_address (stage->listener, NULL);
  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  stage->accept_source
      = g_socket_create_source (stage->listener, G_IO_IN, NULL);
  g_source_set_callback (stage->accept_source, G_SOURCE_FUNC (on_accept),
                         stage, NULL);
  g_source_attach (stage->accept_source, NULL);
  http_init (&stage->http);
  store_init (&stage->store, &stage->http, at);
}

/* Run the loop until RESULTS results were reported.  */
static void
wait_for_results (const struct stage *stage, guint results)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (stage->results < results && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL_FATAL (stage->results, results);
}

/* Stop the store and its client.  */
static void
stage_clear (struct stage *stage)
{
  guint i;

  store_clear (&stage->store);
  http_clear (&stage->http);
  while (stage->conns->len > 0)
    {
      conn_close (g_ptr_array_index (stage->conns, 0));
      g_ptr_array_remove_index (stage->conns, 0);
    }
  g_ptr_array_free (stage->conns, TRUE);
  for (i = 0; i < stage->answered; i++)
    g_free (stage->targets[i]);
  g_source_destroy (stage->accept_source);
  g_source_unref (stage->accept_source);
  g_object_unref (stage->listener);
}

/* Guards against records that are taken for others: a read from an offset of
   an era that has ended brings nothing, though the store has such an offset
   again.  A late answer of that era is not used either.  */
static void
test_read (void)
{
  static const struct answer answers[]
      = { { 200, 3, 12 }, { 200, 4, 12 }, { 200, 3, 14 } };
  struct stage stage;

  stage_init (&stage, answers, G_N_ELEMENTS (answers));
  store_read_newest (&stage.store, "t", NULL, on_result, &stage);
  wait_for_results (&stage, 1);
  CU_ASSERT_EQUAL (stage.end_offset, store_offset_make (3, 12));
  CU_ASSERT_TRUE (store_has_era_of (&stage.store, stage.end_offset));
  store_read (&stage.store, "t", store_offset_make (3, 12), 0, on_result,
              &stage);
  wait_for_results (&stage, 2);
  CU_ASSERT_EQUAL (stage.code, ERR_NOT_RETAINED);
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.targets[1], "from=12&"));
  CU_ASSERT_FALSE (store_has_era_of (&stage.store, store_offset_make (3, 12)));
  store_read_newest (&stage.store, "t", NULL, on_result, &stage);
  wait_for_results (&stage, 3);
  CU_ASSERT_EQUAL (stage.code, ERR_UNAVAILABLE);
  stage_clear (&stage);
}

/* Guards against a map that is appended by the end of a topic of an era that
   has ended: if the era is known, the append is refused by the store; if the
   answer tells of it, its outcome is not known.  */
static void
test_append (void)
{
  static const struct answer answers[]
      = { { 200, 3, 12 }, { 200, 4, 13 }, { 412, 4, 13 }, { 200, 4, 14 } };
  struct stage stage;
  GByteArray *value = g_byte_array_new ();

  stage_init (&stage, answers, G_N_ELEMENTS (answers));
  store_read_newest (&stage.store, "t", NULL, on_result, &stage);
  wait_for_results (&stage, 1);
  store_append (&stage.store, "t", store_offset_make (3, 12), "k", value,
                on_result, &stage);
  wait_for_results (&stage, 2);
  CU_ASSERT_EQUAL (stage.code, ERR_INDETERMINATE);
  store_append (&stage.store, "t", store_offset_make (3, 13), "k", value,
                on_result, &stage);
  wait_for_results (&stage, 3);
  CU_ASSERT_EQUAL (stage.code, ERR_CONFLICT);
  CU_ASSERT_PTR_NULL (strstr (stage.targets[2], "at=13"));
  CU_ASSERT_EQUAL (stage.end_offset, store_offset_make (4, 13));
  store_append (&stage.store, "t", store_offset_make (4, 13), "k", value,
                on_result, &stage);
  wait_for_results (&stage, 4);
  CU_ASSERT_EQUAL (stage.code, ERR_NONE);
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.targets[3], "at=13"));
  CU_ASSERT_EQUAL (stage.offset, store_offset_make (4, 13));
  g_byte_array_unref (value);
  stage_clear (&stage);
}

/* Record what a reader of a topic reports.  */
static void
on_topic (const struct topic_reader_event *event, gpointer data)
{
  struct stage *stage = data;

  stage->results++;
  stage->code = event->code;
  stage->offset = event->next_offset;
}

/* Allow every read.  */
static gboolean
may_read (gpointer data)
{
  (void)data;
  return TRUE;
}

/* Guards against a reader that goes on from an offset of an era that has
   ended: it starts over with the newest records.  */
static void
test_reader (void)
{
  static const struct answer answers[] = {
    { 200, 0, 9 }, { 200, 0, 9 }, { 200, 1, 11 }, { 200, 1, 7 }, { 200, 1, 7 }
  };
  struct stage stage;
  struct topic_reader reader;

  stage_init (&stage, answers, G_N_ELEMENTS (answers));
  topic_reader_init (&reader, &stage.store, "t", on_topic, may_read, &stage);
  topic_reader_step (&reader, clock_usec ());
  wait_for_results (&stage, 2);
  CU_ASSERT_EQUAL (stage.offset, 9);
  while (stage.answered < 3)
    g_main_context_iteration (NULL, TRUE);
  while (reader.call_pending)
    g_main_context_iteration (NULL, TRUE);
  topic_reader_step (&reader, clock_usec ());
  wait_for_results (&stage, 4);
  CU_ASSERT_EQUAL (stage.code, ERR_NONE);
  CU_ASSERT_EQUAL (stage.offset, store_offset_make (1, 7));
  CU_ASSERT_EQUAL (topic_reader_end (&reader), store_offset_make (1, 7));
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.targets[3], "log-newest"));
  topic_reader_clear (&reader);
  stage_clear (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "read", test_read },
                                 { "append", test_append },
                                 { "reader", test_reader },
                                 CU_TEST_INFO_NULL };

  return suite_run ("store_era", tests);
}
