#include "tests/suite.h"
#include "types/routing.h"

#include <time.h>

/* The table of routes of a configuration.  */

#define FEW_ROUTES 2000u
#define MANY_ROUTES 16000u
/* A table with eight times as many routes takes at most so many times as long:
   more than eight, since a larger one fits caches less well.  */
#define GROWTH_MAX 24
#define TRIALS 5u

/* Add a route for PREFIX of host "h" to SERVICE.  */
static void
add_route (struct routing *routing, const char *prefix, const char *service)
{
  struct route_share share = { .service = service, .weight = 1 };
  struct route route = {
    .host = "h", .path_prefix = prefix, .share_count = 1, .shares = &share
  };

  routing_add_route (routing, &route);
}

/* Return the service of the route for TARGET, or an empty text.  */
static const char *
service_for (const struct routing *routing, const char *target)
{
  const struct route *route = routing_match (routing, "H", target);

  return route != NULL ? route->shares[0].service : "";
}

/* The longest prefix decides, in whichever order the routes came; of two with
   the same prefix the first one.  */
static void
test_longest_prefix (void)
{
  static const char *const prefixes[] = { "/", "/a/", "/a/b/", "/c/d/e/" };
  guint first;

  for (first = 0; first < G_N_ELEMENTS (prefixes); first++)
    {
      struct routing *routing = routing_new (1);
      guint i;
      for (i = 0; i < G_N_ELEMENTS (prefixes); i++)
        {
          const char *prefix = prefixes[(first + i) % G_N_ELEMENTS (prefixes)];
          add_route (routing, prefix, prefix);
        }
      add_route (routing, "/a/", "second");
      CU_ASSERT_STRING_EQUAL (service_for (routing, "/a/b/x"), "/a/b/");
      CU_ASSERT_STRING_EQUAL (service_for (routing, "/a/bx"), "/a/");
      CU_ASSERT_STRING_EQUAL (service_for (routing, "/c/d/x"), "/");
      CU_ASSERT_STRING_EQUAL (service_for (routing, "x"), "");
      routing_free (routing);
    }
}

/* Return the least processor time of some trials to build a table of COUNT
   routes.  */
static clock_t
build_time (guint count)
{
  clock_t least = G_MAXLONG;
  guint trial;

  for (trial = 0; trial < TRIALS; trial++)
    {
      struct routing *routing = routing_new (1);
      clock_t start = clock ();
      guint i;
      for (i = 0; i < count; i++)
        {
          char prefix[32];
          g_snprintf (prefix, sizeof prefix, "/%u/", i);
          add_route (routing, prefix, "s");
        }
      least = MIN (least, clock () - start);
      routing_free (routing);
    }
  return MAX (least, 1);
}

/* Guards against long versions that come into force late: the time to build a
   table grows with the number of its routes, not with its square.  */
static void
test_growth (void)
{
  CU_ASSERT_TRUE (build_time (MANY_ROUTES)
                  < GROWTH_MAX * build_time (FEW_ROUTES));
}

int
main (void)
{
  CU_TestInfo tests[] = { { "longest prefix", test_longest_prefix },
                          { "growth", test_growth },
                          CU_TEST_INFO_NULL };

  return suite_run ("routing", tests);
}
