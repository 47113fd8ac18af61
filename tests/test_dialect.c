#include "platform/dialect.h"

#include "edge/exchange.h"
#include "edge/response_class.h"
#include "tests/suite.h"

#include <string.h>

/* The head of the backend server's answers on the platform.  */

/* Classify an answer with STATUS and the header lines in TEXT to a request
   with the id r-1.  */
static struct response_class
classify (guint status, const char *text)
{
  struct exchange exchange = { 0 };
  struct http_event event = { .kind = HTTP_HEAD, .status = status };
  struct response_class class;
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s", text);

  g_strlcpy (exchange.request.id, "r-1", sizeof exchange.request.id);
  event.headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  CU_ASSERT_TRUE (soup_headers_parse_response (
      head, (int)strlen (head), event.headers, NULL, NULL, NULL));
  class = dialect_platform_classify_response (&exchange, &event);
  if (class.kind == RESPONSE_ACCEPTED)
    soup_message_headers_unref (class.u.headers);
  soup_message_headers_unref (event.headers);
  g_free (head);
  return class;
}

/* Return the notice in an answer with the header line LINE.  */
static struct server_notice
notice_of (const char *line)
{
  char *text
      = g_strdup_printf ("Request-Id: r-1\r\nServer-Stamp: s\r\n%s", line);
  struct response_class class = classify (200, text);

  CU_ASSERT_EQUAL (class.kind, RESPONSE_ACCEPTED);
  g_free (text);
  return class.notice;
}

/* Return the length of the parent's id in a request with the id ID.  */
static guint32
parent_of (const char *id)
{
  struct dialect_platform platform = { .caller_service = "edge" };
  struct exchange exchange = { 0 };
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);

  soup_message_headers_append (headers, "Request-Id", id);
  CU_ASSERT_EQUAL (
      dialect_platform_parse_request (&platform, &exchange, headers),
      REASON_NONE);
  soup_message_headers_unref (exchange.request_headers);
  soup_message_headers_unref (headers);
  return exchange.request.parent_id_length;
}

/* The id of a call is its parent's id, a dot and a part of its own.  Guards
   against a parent in ids that have no part before or after the last dot.  */
static void
test_parent_id (void)
{
  CU_ASSERT_EQUAL (parent_of ("r-17.1"), 4);
  CU_ASSERT_EQUAL (parent_of ("r-17.1.2"), 6);
  CU_ASSERT_EQUAL (parent_of ("r-17"), 0);
  CU_ASSERT_EQUAL (parent_of (".1"), 0);
  CU_ASSERT_EQUAL (parent_of ("r-17."), 0);
}

/* A limit is a decimal number; anything else is unreadable.  */
static void
test_limit (void)
{
  static const char *const unreadable[]
      = { "", "-1", "1e3", "inf", "nan", "0x10", "1,5", "12a", ".", "1.2.3" };
  guint i;

  CU_ASSERT_EQUAL (notice_of ("").limit, LIMIT_NOTICE_NONE);
  CU_ASSERT_EQUAL (notice_of ("Server-Limit: 23.8\r\n").limit,
                   LIMIT_NOTICE_NAMED);
  CU_ASSERT_EQUAL (notice_of ("Server-Limit: 23.8\r\n").limit_milli_per_s,
                   23800);
  CU_ASSERT_EQUAL (notice_of ("Server-Limit: 0\r\n").limit,
                   LIMIT_NOTICE_NAMED);
  CU_ASSERT_EQUAL (notice_of ("Server-Limit: 0\r\n").limit_milli_per_s, 0);
  CU_ASSERT_EQUAL (notice_of ("Server-Limit: 99999999999999999999\r\n").limit,
                   LIMIT_NOTICE_NONE);
  for (i = 0; i < G_N_ELEMENTS (unreadable); i++)
    {
      char *line = g_strdup_printf ("Server-Limit: %s\r\n", unreadable[i]);
      CU_ASSERT_EQUAL (notice_of (line).limit, LIMIT_NOTICE_UNREADABLE);
      g_free (line);
    }
}

/* Only a 1 says that the server leaves.  */
static void
test_leaving (void)
{
  CU_ASSERT_FALSE (notice_of ("").is_leaving);
  CU_ASSERT_TRUE (notice_of ("Server-Leaving: 1\r\n").is_leaving);
  CU_ASSERT_FALSE (notice_of ("Server-Leaving: 0\r\n").is_leaving);
  CU_ASSERT_FALSE (notice_of ("Server-Leaving: maybe\r\n").is_leaving);
}

/* A refusal proves that the request was not run only if it bears the request's
   id: a faulty server may write one of an earlier request again.  */
static void
test_refusal (void)
{
  struct response_class class = classify (
      503, "Request-Id: r-1\r\nNot-Executed: 1\r\n");

  CU_ASSERT_EQUAL (class.kind, RESPONSE_FAILED);
  CU_ASSERT_EQUAL (class.u.attempt_end.outcome, OUTCOME_NOT_RUN);
  class = classify (503, "Request-Id: r-0\r\nNot-Executed: 1\r\n");
  CU_ASSERT_EQUAL (class.kind, RESPONSE_MISMATCHED);
  class = classify (503, "Not-Executed: 1\r\n");
  CU_ASSERT_EQUAL (class.kind, RESPONSE_FAILED);
  CU_ASSERT_EQUAL (class.u.attempt_end.outcome, OUTCOME_UNKNOWN);
  class = classify (421, "");
  CU_ASSERT_EQUAL (class.kind, RESPONSE_FAILED);
  CU_ASSERT_EQUAL (class.u.attempt_end.outcome, OUTCOME_UNKNOWN);
}

/* A success without the request's id may be the answer to another one.  */
static void
test_success_without_id (void)
{
  struct response_class class = classify (200, "Server-Stamp: s\r\n");

  CU_ASSERT_EQUAL (class.kind, RESPONSE_FAILED);
  CU_ASSERT_EQUAL (class.u.attempt_end.outcome, OUTCOME_UNKNOWN);
}

/* The fourth figure of the load is how long work takes now.  Servers that send
   three figures must be understood as before.  */
static void
test_load (void)
{
  struct response_class class;

  class = classify (200, "Request-Id: r-1\r\nServer-Load: 3,2,6,275\r\n");
  CU_ASSERT_TRUE (class.has_load);
  CU_ASSERT_EQUAL (class.load.busy_slots, 3);
  CU_ASSERT_EQUAL (class.load.queued, 2);
  CU_ASSERT_EQUAL (class.load.slow_percent, 275);
  class = classify (200, "Request-Id: r-1\r\nServer-Load: 3,2,6\r\n");
  CU_ASSERT_TRUE (class.has_load);
  CU_ASSERT_EQUAL (class.load.queued, 2);
  CU_ASSERT_EQUAL (class.load.slow_percent, 0);
  class = classify (200, "Request-Id: r-1\r\nServer-Load: 3,2,6,x\r\n");
  CU_ASSERT_TRUE (class.has_load);
  CU_ASSERT_EQUAL (class.load.slow_percent, 0);
  class = classify (200, "Request-Id: r-1\r\nServer-Load: 3,2,6,-5\r\n");
  CU_ASSERT_EQUAL (class.load.slow_percent, 0);
  class = classify (200, "Request-Id: r-1\r\nServer-Load: 3,2\r\n");
  CU_ASSERT_FALSE (class.has_load);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "parent id", test_parent_id },
          { "limit", test_limit },
          { "leaving", test_leaving },
          { "refusal of another request is proof", test_refusal },
          { "success without an id is passed on", test_success_without_id },
          { "load", test_load },
          CU_TEST_INFO_NULL };

  return suite_run ("dialect", tests);
}
