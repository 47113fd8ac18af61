#include "types/request_digest.h"
#include "tests/suite.h"

#include <string.h>

/* By which marks a request is known again.  */

/* The marks of a request.  */
struct marks
{
  const char *method;
  const char *target;
  const char *host;
  const char *caller;
  const char *service;
  const char *body;
};

static const struct marks sample
    = { "GET", "/records/index", "h", "collections", "plan-records", "" };

/* Return the digest of a request with MARKS.  */
static guint64
digest_of (const struct marks *marks)
{
  struct request request = { 0 };

  request.head_digest = request_digest_of_head (marks->method, marks->target,
                                                marks->host, marks->caller);
  g_strlcpy (request.service, marks->service, sizeof request.service);
  request_digest_set_body (
      &request, request_digest_of_body (marks->body, strlen (marks->body)));
  request_digest_set_service (&request);
  CU_ASSERT_TRUE (
      request_digest_has_head (request.digest, request.head_digest));
  return request.digest;
}

/* Guards against a crashing request that is taken for another one of the same
   path, and so is set free by its good runs, or has it refused.  */
static void
test_marks (void)
{
  struct marks other[7];
  guint i;

  for (i = 0; i < G_N_ELEMENTS (other); i++)
    other[i] = sample;
  other[0].method = "HEAD";
  other[1].target = "/records/index?a";
  other[2].host = "other";
  other[3].caller = "enquiry-desk";
  other[4].service = "collections";
  other[5].body = "x";
  other[6].host = NULL;
  for (i = 0; i < G_N_ELEMENTS (other); i++)
    CU_ASSERT_NOT_EQUAL (digest_of (&other[i]), digest_of (&sample));
  CU_ASSERT_EQUAL (digest_of (&sample), digest_of (&sample));
  CU_ASSERT_NOT_EQUAL (digest_of (&sample), 0);
}

/* Texts are not moved from one mark to the next.  */
static void
test_borders (void)
{
  struct marks a = sample;
  struct marks b = sample;

  a.method = "GE";
  a.target = "T/x";
  b.method = "GET";
  b.target = "/x";
  CU_ASSERT_NOT_EQUAL (digest_of (&a), digest_of (&b));
}

/* A request whose body is not whole has no digest, but a head.  */
static void
test_open_body (void)
{
  struct request request = { 0 };

  request.head_digest = request_digest_of_head ("PUT", "/x", "h", "a");
  g_strlcpy (request.service, "b", sizeof request.service);
  request_digest_set_service (&request);
  CU_ASSERT_EQUAL (request.digest, 0);
  request_digest_set_body (&request, request_digest_of_body ("x", 1));
  CU_ASSERT_NOT_EQUAL (request.digest, 0);
  CU_ASSERT_TRUE (
      request_digest_has_head (request.digest, request.head_digest));
}

int
main (void)
{
  CU_TestInfo tests[] = { { "marks", test_marks },
                          { "borders of marks", test_borders },
                          { "open body", test_open_body },
                          CU_TEST_INFO_NULL };

  return suite_run ("request_digest", tests);
}
