#include "tests/http_server_stage.h"

/* Random requests on one connection, whose responses are written in parts and
   in a random order, break off, or lose their caller.  Guards against
   responses that are mixed, lost or in another order, and against requests
   that run beside others though they must not.  */

#define CASES 150u       /* random cases, each with a seed of its own */
#define SENT 24u         /* requests that the caller sends */
#define STEPS_MAX 4000u  /* steps until all must have ended */
#define BODY_MAX 30000   /* longest body of a response, in bytes */
#define CUT_ONE_IN 200   /* steps in which a response breaks off */
#define LEAVE_ONE_IN 300 /* steps in which the caller leaves */

/* The response to one request.  */
struct response
{
  gboolean is_begun; /* its head was taken */
  gboolean is_ended; /* it was finished */
  gboolean is_cut;   /* it broke off */
  gsize length;      /* bytes of its body */
  gsize written;     /* bytes that were taken */
};

struct random_case
{
  struct server_stage stage;       /* the server and the caller */
  GRand *random;                   /* generator of the case */
  struct response responses[SENT]; /* in the order of the requests */
  gboolean may_be_whole;           /* nothing broke off, nobody left */
};

/* Return whether request I is in progress.  */
static gboolean
is_running (const struct random_case *random_case, guint i)
{
  const struct stage_request *request = &random_case->stage.requests[i];

  return request->sent == 0 && request->left == 0
         && !random_case->responses[i].is_cut
         && table_get (&random_case->stage.server.requests, request->handle)
                != NULL;
}

/* Send the requests, of random kinds.  The target tells the number, and
   whether the request may run ahead.  */
static void
send_requests (struct random_case *random_case)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < SENT; i++)
    switch (g_rand_int_range (random_case->random, 0, 8))
      {
      case 0:
        g_string_append_printf (text, "GET /x%u HTTP/1.1\r\nHost: h\r\n\r\n",
                                i);
        break;
      case 1:
        g_string_append_printf (text,
                                "POST /ib%u HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 5\r\n\r\nhello",
                                i);
        break;
      default:
        g_string_append_printf (text, "GET /i%u HTTP/1.1\r\nHost: h\r\n\r\n",
                                i);
        break;
      }
  raw_send (random_case->stage.caller, text->str);
  g_string_free (text, TRUE);
}

/* Write a part of the response to request I, and end it behind its last
   byte.  */
static void
write_part (struct random_case *random_case, guint i)
{
  struct http_server *server = &random_case->stage.server;
  struct handle request = random_case->stage.requests[i].handle;
  struct response *to = &random_case->responses[i];
  struct http_response head = { .status = 200, .body_length = -1 };
  gsize count;
  char *bytes;

  if (http_server_is_full (server, request))
    return;
  if (!to->is_begun)
    {
      to->length = (gsize)g_rand_int_range (random_case->random, 0, BODY_MAX);
      if (g_rand_boolean (random_case->random))
        head.body_length = (gint64)to->length;
      to->is_begun = http_server_respond (server, request, &head);
    }
  if (!to->is_begun)
    return;
  count = (gsize)g_rand_int_range (random_case->random, 0, BODY_MAX);
  count = MIN (count, to->length - to->written);
  bytes = g_strnfill (count, (char)('A' + i));
  to->written
      += http_server_write (server, request, (const guint8 *)bytes, count);
  g_free (bytes);
  if (to->written < to->length)
    http_server_flush (server, request);
  else
    {
      to->is_ended = TRUE;
      random_case->stage.requests[i].sent
          += http_server_finish (server, request);
    }
}

/* Check which requests run at the same time.  */
static void
check_running (struct random_case *random_case)
{
  const struct http_server_conn *c = stage_conn (&random_case->stage);
  guint running = 0;
  guint alone = 0;
  guint i;

  for (i = 0; i < random_case->stage.count; i++)
    if (is_running (random_case, i))
      {
        const char *target = random_case->stage.requests[i].target;
        running++;
        alone += target[1] == 'x' || target[2] == 'b';
      }
  CU_ASSERT_TRUE (running <= HTTP_AHEAD_MAX);
  CU_ASSERT_TRUE (alone == 0 || running == 1);
  CU_ASSERT_TRUE (c == NULL || c->held_bytes <= HTTP_HELD_BYTES_MAX);
}

/* Do one random thing.  */
static void
step (struct random_case *random_case)
{
  struct server_stage *stage = &random_case->stage;
  guint i;

  for (i = 0; i < 3; i++)
    g_main_context_iteration (NULL, FALSE);
  if (!stage->closed)
    stage->closed = raw_receive (stage->caller, stage->received);
  check_running (random_case);
  if (stage->count == 0)
    return;
  i = MIN (stage->count, HTTP_AHEAD_MAX);
  i = stage->count - 1
      - (guint)g_rand_int_range (random_case->random, 0, (gint32)i);
  if (!is_running (random_case, i) || random_case->responses[i].is_ended)
    return;
  if (!random_case->may_be_whole
      && g_rand_int_range (random_case->random, 0, CUT_ONE_IN) == 0)
    {
      random_case->responses[i].is_cut = TRUE;
      http_server_cut (&stage->server, stage->requests[i].handle);
      return;
    }
  write_part (random_case, i);
}

/* Return the number of bytes FILL in the response whose body begins at AT, and
   set NEXT to the next response.  Sizes of chunks are in small letters.  */
static gsize
count_body (const char *at, char fill, const char **next)
{
  gsize count = 0;

  for (; *at != '\0' && !g_str_has_prefix (at, "HTTP/1.1 "); at++)
    count += *at == fill;
  *next = at;
  return count;
}

/* Check that the responses that were received are those to the first requests,
   in order, each whole but the last one.  Return their number.  */
static guint
check_received (const struct random_case *random_case)
{
  const char *at = random_case->stage.received->str;
  guint i;

  for (i = 0; i < SENT && *at != '\0'; i++)
    {
      const char *body = strstr (at, "\r\n\r\n");
      gsize count;
      CU_ASSERT_TRUE (g_str_has_prefix (at, "HTTP/1.1 200 "));
      if (body == NULL)
        break;
      count = count_body (body, (char)('A' + i), &at);
      CU_ASSERT_TRUE (count == random_case->responses[i].length
                      || (*at == '\0' && !random_case->may_be_whole));
    }
  return i;
}

/* Return whether all that can end has ended.  */
static gboolean
has_ended (const struct random_case *random_case)
{
  return random_case->stage.server.requests.count == 0
         && (random_case->stage.closed || random_case->stage.count == SENT);
}

/* Run the case of SEED.  */
static void
run_case (guint32 seed)
{
  struct random_case *random_case = g_new0 (struct random_case, 1);
  struct server_stage *stage = &random_case->stage;
  gboolean leaves = seed % 3 == 1;
  guint i;
  guint received;

  random_case->random = g_rand_new_with_seed (seed);
  random_case->may_be_whole = seed % 3 != 2;
  stage_open (stage);
  send_requests (random_case);
  for (i = 0; i < STEPS_MAX && !has_ended (random_case); i++)
    {
      step (random_case);
      if (!leaves
          || g_rand_int_range (random_case->random, 0, LEAVE_ONE_IN) > 0)
        continue;
      shutdown (stage->caller, SHUT_RDWR);
      leaves = FALSE;
      random_case->may_be_whole = FALSE;
    }
  CU_ASSERT_TRUE (has_ended (random_case));
  stage_settle (stage);
  received = check_received (random_case);
  if (random_case->may_be_whole)
    CU_ASSERT_EQUAL (received, SENT);
  for (i = 0; i < stage->count; i++)
    CU_ASSERT_EQUAL (stage->requests[i].sent + stage->requests[i].left
                         + random_case->responses[i].is_cut,
                     1);
  g_rand_free (random_case->random);
  stage_close (stage);
  g_free (random_case);
}

/* Run all cases.  */
static void
test_random (void)
{
  guint32 seed;
  guint failures = CU_get_number_of_failures ();

  for (seed = 1; seed <= CASES; seed++)
    {
      run_case (seed);
      if (CU_get_number_of_failures () > failures)
        {
          printf (" seed %u", seed);
          return;
        }
    }
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "random requests and responses", test_random },
          CU_TEST_INFO_NULL };

  return suite_run ("http server random", tests);
}
