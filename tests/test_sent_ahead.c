#include "tests/mesh_node_stage.h"
#include "tests/raw_caller.h"

/* Requests that a caller sends ahead, before the responses to its earlier
   ones, through a node of a mesh to another node.  */

#define QUICK_USEC ((gint64)200000) /* time in which nothing is to happen */

/* Send a request for TARGET from CALLER.  */
static void
send_get (int caller, const char *target)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: h\r\n" NAME_ID
                                ": %s\r\n" NAME_DEADLINE ": 2000\r\n\r\n",
                                target, target);

  raw_send (caller, text);
  g_free (text);
}

/* Start STAGE, whose other node answers only what the test answers, and
   connect a caller.  */
static int
stage_start (struct stage *stage)
{
  stage_init (stage);
  stage->holds_requests = TRUE;
  return raw_connect (http_server_port (&stage->node.proxy.callers));
}

/* Run the loop until the other node has got COUNT requests, or the time of the
   case has passed.  */
static void
run_until_runs (struct stage *stage, guint count)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (stage->runs < count && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

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

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "two idempotent requests at once", test_two_at_once },
          CU_TEST_INFO_NULL };

  return suite_run ("sent ahead", tests);
}
