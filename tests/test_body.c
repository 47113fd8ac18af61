#include "edge/body.h"
#include "tests/suite.h"

#include <string.h>

/* A short body can be replayed from its start.  */
static void
test_replay (void)
{
  struct body body;

  body_init (&body);
  body_append (&body, (const guint8 *)"abc", 3);
  body_consume (&body, 2);
  CU_ASSERT_EQUAL (body_remaining (&body), 1);
  CU_ASSERT_TRUE (body.replayable);
  body_rewind (&body);
  CU_ASSERT_EQUAL (memcmp (body_data (&body), "abc", 3), 0);
  body.is_complete = TRUE;
  CU_ASSERT_FALSE (body_is_consumed (&body));
  body_consume (&body, 3);
  CU_ASSERT_TRUE (body_is_consumed (&body));
  body_clear (&body);
}

/* A body of which bytes were dropped never counts as sent to its end, so that
   its connection is not used for another request.  */
static void
test_drop (void)
{
  struct body body;

  body_init (&body);
  body_append (&body, (const guint8 *)"abc", 3);
  body_consume (&body, 3);
  body_drop (&body, 1);
  body.is_complete = TRUE;
  CU_ASSERT_FALSE (body_is_consumed (&body));
  CU_ASSERT_FALSE (body_rewind (&body));
  body_clear (&body);
}

/* A long body stays within its limit, and cannot be replayed after that.  */
static void
test_bound (void)
{
  static guint8 part[BODY_CHUNK_BYTES];
  struct body body;
  guint i;

  body_init (&body);
  for (i = 0; i < 100; i++)
    {
      CU_ASSERT_FALSE (body_is_full (&body));
      body_append (&body, part, sizeof part);
      CU_ASSERT_TRUE (body.bytes->len <= 2 * BODY_QUEUE_BYTES);
      body_consume (&body, sizeof part);
    }
  CU_ASSERT_FALSE (body.replayable);
  for (i = 0; !body_is_full (&body) && i < 100; i++)
    body_append (&body, part, sizeof part);
  CU_ASSERT_EQUAL (body_remaining (&body), BODY_QUEUE_BYTES);
  body_clear (&body);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "replay", test_replay },
                                 { "drop", test_drop },
                                 { "bound", test_bound },
                                 CU_TEST_INFO_NULL };

  return suite_run ("body", tests);
}
