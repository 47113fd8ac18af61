#include "tests/sent_ahead_stage.h"

/* Requests that a caller sends ahead, before the responses to its earlier
   ones, through a node of a mesh to another node.  */

/* Guards against idempotent requests that wait for each other: two that were
   sent at once reach the other node at the same time.  */
static void
test_two_at_once (void)
{
  struct stage stage;
  int caller = stage_start (&stage);

  send_get (caller, "/read/1");
  send_get (caller, "/read/2");
  run_until_runs (&stage, 2);
  CU_ASSERT_EQUAL (stage.runs, 2);
  CU_ASSERT_EQUAL (stage.held->len, 2);
  close (caller);
  stage_clear (&stage);
}

/* Guards against a response that goes to another request: the other node
   answers the last request first.  */
static void
test_order (void)
{
  struct stage stage;
  GString *text = g_string_new (NULL);
  int caller = stage_start (&stage);
  const char *at;
  guint i;

  for (i = 0; i < 4; i++)
    {
      char target[] = "/read/x";
      target[6] = (char)('1' + i);
      send_get (caller, target);
    }
  run_until_runs (&stage, 4);
  for (i = 4; i > 0; i--)
    {
      answer_held (&stage, i - 1, TRUE);
      run_quickly ();
    }
  receive_responses (caller, text, 4);
  at = text->str;
  for (i = 0; i < 4 && at != NULL; i++)
    {
      char body[] = "\r\n\r\n/read/x";
      body[10] = (char)('1' + i);
      at = strstr (at, body);
      CU_ASSERT_PTR_NOT_NULL (at);
    }
  run_until_exchanges (&stage, 0);
  CU_ASSERT_EQUAL (stage.node.proxy.callers.ahead_count, 3);
  CU_ASSERT_EQUAL (stage.cancels, 0);
  close (caller);
  g_string_free (text, TRUE);
  stage_clear (&stage);
}

/* Guards against a request that may run once and runs beside others, though it
   may get no response.  */
static void
test_once (void)
{
  struct stage stage;
  GString *text = g_string_new (NULL);
  int caller = stage_start (&stage);

  send_get (caller, "/other/1");
  send_get (caller, "/read/2");
  send_get (caller, "/other/3");
  run_until_runs (&stage, 1);
  run_quickly ();
  CU_ASSERT_EQUAL (stage.runs, 1);
  answer_held (&stage, 0, TRUE);
  run_until_runs (&stage, 2);
  run_quickly ();
  CU_ASSERT_EQUAL (stage.runs, 2);
  answer_held (&stage, 1, TRUE);
  run_until_runs (&stage, 3);
  answer_held (&stage, 2, TRUE);
  receive_responses (caller, text, 3);
  CU_ASSERT_EQUAL (raw_count_responses (text), 3);
  close (caller);
  g_string_free (text, TRUE);
  stage_clear (&stage);
}

/* Guards against requests that go on for a caller that has left, in the way
   END: all of them are cancelled at the other node.  */
static void
check_leaves (enum raw_end end)
{
  struct stage stage;
  gint64 deadline = clock_usec () + CASE_USEC;
  int caller = stage_start (&stage);

  send_get (caller, "/read/1");
  send_get (caller, "/read/2");
  send_get (caller, "/read/3");
  send_get (caller, "/other/4");
  run_until_runs (&stage, 3);
  answer_held (&stage, 1, TRUE);
  run_quickly ();
  raw_end (caller, end);
  while (stage.cancels < 2 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  run_until_exchanges (&stage, 0);
  CU_ASSERT_EQUAL (stage.cancels, 2);
  CU_ASSERT_EQUAL (stage.runs, 3);
  CU_ASSERT_EQUAL (stage.node.mesh.requests.count, 0);
  if (end == RAW_HALF_CLOSE)
    close (caller);
  stage_clear (&stage);
}

/* The same for each kind of end.  */
static void
test_leaves (void)
{
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    check_leaves (end);
}

/* Guards against a response that breaks off and is taken for whole, and
   against requests before and behind it that get no response: the connection
   to the other node is lost in the middle of the second of three responses,
   nothing of which was sent.  Each request gets an error.  */
static void
test_breaks_off (void)
{
  struct stage stage;
  struct address any = { LOCAL, 0 };
  GString *text = g_string_new (NULL);
  int caller = stage_start (&stage);

  send_get (caller, "/read/1");
  send_get (caller, "/read/2");
  send_get (caller, "/read/3");
  run_until_runs (&stage, 3);
  answer_held (&stage, 1, FALSE);
  run_quickly ();
  links_clear (&stage.other);
  CU_ASSERT_EQUAL_FATAL (links_init (&stage.other, any, on_other, &stage),
                         ERR_NONE);
  receive_responses (caller, text, 3);
  CU_ASSERT_EQUAL (raw_count_responses (text), 3);
  CU_ASSERT_PTR_NULL (strstr (text->str, "\r\n\r\n/read/2"));
  CU_ASSERT_PTR_NULL (strstr (text->str, "HTTP/1.1 2"));
  run_until_exchanges (&stage, 0);
  close (caller);
  g_string_free (text, TRUE);
  stage_clear (&stage);
}

/* Guards against requests that are lost in a planned stop: what has started is
   answered, the last response asks the caller to connect elsewhere, and what
   is behind it is not read.  */
static void
test_leaving (void)
{
  struct stage stage;
  GString *text = g_string_new (NULL);
  int caller = stage_start (&stage);
  const char *close_field;

  send_get (caller, "/read/1");
  send_get (caller, "/read/2");
  send_get (caller, "/other/3");
  run_until_runs (&stage, 2);
  stage.node.proxy.leaving = TRUE;
  answer_held (&stage, 1, TRUE);
  run_quickly ();
  answer_held (&stage, 0, TRUE);
  CU_ASSERT_TRUE (receive_responses (caller, text, 4));
  CU_ASSERT_EQUAL (raw_count_responses (text), 2);
  CU_ASSERT_EQUAL (stage.runs, 2);
  CU_ASSERT_EQUAL (stage.cancels, 0);
  close_field = raw_find (text->str, "Connection: close\r\n");
  CU_ASSERT_PTR_NULL (strstr (close_field, "HTTP/1.1 "));
  close (caller);
  g_string_free (text, TRUE);
  stage_clear (&stage);
}

/* A node that is leaving starts nothing behind others.  */
static void
test_leaving_starts_none (void)
{
  struct stage stage;
  int caller = stage_start (&stage);

  stage.node.proxy.leaving = TRUE;
  send_get (caller, "/read/1");
  send_get (caller, "/read/2");
  run_until_runs (&stage, 1);
  run_quickly ();
  CU_ASSERT_EQUAL (stage.runs, 1);
  close (caller);
  stage_clear (&stage);
}

/* The decision is that of the route in force: no configuration and no route
   let nothing run ahead.  */
static void
test_decision (void)
{
  struct stage stage;
  struct mesh *mesh = &stage.node.mesh;

  stage_init (&stage);
  CU_ASSERT_TRUE (mesh_may_run_ahead (mesh, "h", "/read/1"));
  CU_ASSERT_TRUE (mesh_may_run_ahead (mesh, "H", "/read/"));
  CU_ASSERT_FALSE (mesh_may_run_ahead (mesh, "h", "/other/1"));
  CU_ASSERT_FALSE (mesh_may_run_ahead (mesh, "h", "/none/1"));
  CU_ASSERT_FALSE (mesh_may_run_ahead (mesh, "g", "/read/1"));
  CU_ASSERT_FALSE (mesh_may_run_ahead (mesh, NULL, "/read/1"));
  mesh->config_usable = FALSE;
  CU_ASSERT_FALSE (mesh_may_run_ahead (mesh, "h", "/read/1"));
  stage_clear (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "two idempotent requests at once", test_two_at_once },
          { "order of the responses", test_order },
          { "requests that may run once", test_once },
          { "caller leaves", test_leaves },
          { "response breaks off", test_breaks_off },
          { "node stops", test_leaving },
          { "node that is leaving starts none", test_leaving_starts_none },
          { "decision by the route", test_decision },
          CU_TEST_INFO_NULL };

  return suite_run ("sent ahead", tests);
}
