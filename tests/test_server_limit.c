#include "decide/server_limit.h"

#include "tests/suite.h"
#include "types/limits.h"

#include <string.h>

/* The spacing of starts under a limit that a server names.  */

#define START ((gint64)100000000)
#define SECOND ((gint64)USEC_PER_SEC)
#define MSEC ((gint64)USEC_PER_MSEC)

/* Name MILLI thousandths of a request a second at NOW.  */
static void
name_limit (struct server_limit *limit, guint64 milli, gint64 now)
{
  struct server_notice notice
      = { .limit = LIMIT_NOTICE_NAMED, .limit_milli_per_s = milli };

  server_limit_on_notice (limit, &notice, now);
}

/* Return how many requests start from FROM on within SECONDS, if one is always
   waiting.  */
static guint64
count_starts (struct server_limit *limit, gint64 from, guint seconds)
{
  gint64 now;
  guint64 count = 0;

  for (now = from; now < from + seconds * SECOND; now += USEC_PER_MSEC)
    while (count < 100000 && server_limit_wait_usec (limit, 0, now) == 0)
      {
        server_limit_take (limit, now);
        count++;
      }
  return count;
}

/* In any 4 s a server gets at most one and a half times what its limit allows,
   and 5 more, also after a pause and under a limit of 0.  */
static void
test_kept (void)
{
  static const guint64 limits[] = { 0, 1, 300, 3200, 9800, 23800, 500000 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      struct server_limit limit = { 0 };
      guint64 count;
      name_limit (&limit, limits[i], START);
      count = count_starts (&limit, START + 10 * SECOND, 4);
      CU_ASSERT_TRUE (count * 1000 <= limits[i] * 6 + 5000);
      CU_ASSERT_TRUE (count * 1000 >= limits[i] * 4);
      CU_ASSERT_TRUE (count >= 2);
    }
}

/* A limit that is raised, dropped or cannot be read takes effect at once.  */
static void
test_changes (void)
{
  struct server_notice none = { .limit = LIMIT_NOTICE_NONE };
  struct server_notice unreadable = { .limit = LIMIT_NOTICE_UNREADABLE };
  struct server_limit limit = { 0 };

  CU_ASSERT_EQUAL (server_limit_wait_usec (&limit, 1000, START), 0);
  name_limit (&limit, 0, START);
  count_starts (&limit, START, 1);
  CU_ASSERT_TRUE (server_limit_wait_usec (&limit, 0, START + SECOND) > 0);
  name_limit (&limit, 100000, START + SECOND);
  CU_ASSERT_TRUE (server_limit_wait_usec (&limit, 0, START + SECOND)
                  <= 10 * MSEC);
  CU_ASSERT_FALSE (server_limit_on_notice (&limit, &unreadable, START));
  CU_ASSERT_EQUAL (limit.milli_per_s, 100000);
  server_limit_on_notice (&limit, &none, START);
  CU_ASSERT_TRUE (server_limit_on_notice (&limit, &none, START + SECOND));
  CU_ASSERT_EQUAL (server_limit_wait_usec (&limit, 1000, START + SECOND), 0);
}

/* A spoiled answer without the limit among others that name it does not drop
   the limit.  */
static void
test_one_without (void)
{
  struct server_notice none = { .limit = LIMIT_NOTICE_NONE };
  struct server_limit limit = { 0 };
  gint64 now;

  for (now = START; now < START + 10 * SECOND; now += 100 * MSEC)
    {
      name_limit (&limit, 10000, now);
      server_limit_on_notice (&limit, &none, now + 50 * MSEC);
      CU_ASSERT_TRUE (server_limit_wait_usec (&limit, 100, now + 50 * MSEC)
                      > 0);
    }
}

/* Refused callers are not all told to return at the same time.  */
static void
test_retries_spread (void)
{
  struct server_limit limit = { 0 };
  gint64 first;
  gint64 second;

  name_limit (&limit, 10000, START);
  first = server_limit_retry_usec (&limit, 0, START);
  second = server_limit_retry_usec (&limit, 0, START);
  CU_ASSERT_EQUAL (second - first, 100 * MSEC);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "limit is kept in any 4 s", test_kept },
          { "limit that changes", test_changes },
          { "limit is dropped by one answer", test_one_without },
          { "retries of refused callers are spread", test_retries_spread },
          CU_TEST_INFO_NULL };

  return suite_run ("server limit", tests);
}
