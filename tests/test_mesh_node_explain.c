#include "edge/mesh_node.h"
#include "tests/mesh_fixture.h"

/* Queries of operators who ask where a request would go.  */

/* Return whether the node NODE answers QUERY.  */
static gboolean
is_answered (struct mesh_node *node, const char *query)
{
  char *text = mesh_node_explain (query, node);
  gboolean answered = text != NULL;

  g_free (text);
  return answered;
}

/* Guards against a query with a mistake that is explained as another
   request.  */
static void
test_query (void)
{
  struct fixture *fixture = fixture_new ();
  struct mesh_node *node = g_new0 (struct mesh_node, 1);
  char *text;

  node->mesh = fixture->mesh;
  CU_ASSERT_TRUE (is_answered (node, "host=h&target=/x"));
  CU_ASSERT_TRUE (is_answered (node, "host=h&target=/x&key=65535"));
  CU_ASSERT_FALSE (is_answered (node, ""));
  CU_ASSERT_FALSE (is_answered (node, "host=h"));
  CU_ASSERT_FALSE (is_answered (node, "target=/x"));
  CU_ASSERT_FALSE (is_answered (node, "host=h&target=/x&key=65536"));
  CU_ASSERT_FALSE (is_answered (node, "host=h&target=/x&key="));
  CU_ASSERT_FALSE (is_answered (node, "host=h&target=/x&deadline-ms=2s"));
  CU_ASSERT_FALSE (is_answered (node, "host=h&target=/x&body-bytes=-1"));
  CU_ASSERT_FALSE (is_answered (node, "host=h&target=/x&digest=x"));
  text = mesh_node_explain ("host=h&target=%2Fother%2Fx%3Fy", node);
  CU_ASSERT_PTR_NOT_NULL (text != NULL ? strstr (text, "\"/other/\"") : NULL);
  g_free (text);
  g_free (node);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "query", test_query }, CU_TEST_INFO_NULL };

  return suite_run ("mesh_node_explain", tests);
}
