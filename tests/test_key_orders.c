#include "platform/key_orders.h"
#include "tests/suite.h"

#include "types/clock.h"

#define NOW ((gint64)50000000)

/* The body of a grant has the time that is left, and the token if there is
   one.  */
static void
test_grant (void)
{
  struct key_order order
      = { .kind = KEY_ORDER_GRANT,
          .first = 4096,
          .last = 8191,
          .fence = 12,
          .granted_until = NOW + (gint64)4000 * USEC_PER_MSEC,
          .handover_token = "5c0e" };
  char *body = platform_key_order_body (&order, NOW);

  CU_ASSERT_STRING_EQUAL (body, "{\"from\":4096,\"target-version\":8191,"
                                "\"fence\":12,\"hold-ms\":4000,"
                                "\"handover\":\"5c0e\"}");
  g_free (body);
  order.handover_token[0] = '\0';
  body = platform_key_order_body (&order, NOW + (gint64)5000 * USEC_PER_MSEC);
  CU_ASSERT_STRING_EQUAL (body, "{\"from\":4096,\"target-version\":8191,"
                                "\"fence\":12,\"hold-ms\":0}");
  g_free (body);
}

/* The body of a release has the range and the fence.  */
static void
test_release (void)
{
  struct key_order order
      = { .kind = KEY_ORDER_RELEASE, .first = 1, .last = 2, .fence = 13 };
  char *body = platform_key_order_body (&order, NOW);

  CU_ASSERT_STRING_EQUAL (body,
                          "{\"from\":1,\"target-version\":2,\"fence\":13}");
  g_free (body);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "grant", test_grant },
                          { "release", test_release },
                          CU_TEST_INFO_NULL };

  return suite_run ("key_orders", tests);
}
