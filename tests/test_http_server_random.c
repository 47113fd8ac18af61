#include "tests/http_server_run.h"

/* Random orders of requests, parts of responses, broken responses and reads by
   the caller on one connection.  */

#define SEEDS 300u
#define STEPS 120u
#define BODY_MAX 30000u /* bytes of a response: three exceed what is held */

/* Return a random number below BELOW.  */
static guint
pick (struct run *run, guint below)
{
  return (guint)g_rand_int_range (run->random, 0, (gint)below);
}

/* Check that a request that is to run alone does.  */
static void
check_alone (const struct run *run)
{
  const struct table *requests = &run->stage.server.requests;
  struct handle h = table_next (requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (requests, h))
    {
      const struct http_server_request *r = table_get (requests, h);
      gboolean is_alone = g_str_has_prefix (r->head.target, "/x")
                          || strcmp (r->head.method, "POST") == 0;
      CU_ASSERT_TRUE (!is_alone || requests->count == 1);
    }
}

/* Turn the loop without waiting.  */
static void
turn (const struct run *run, guint times)
{
  while (times-- > 0)
    {
      g_main_context_iteration (NULL, FALSE);
      check_alone (run);
    }
}

/* Send a request from the caller, a third of them such that may run once, some
   with a body.  */
static void
send_next (struct run *run)
{
  gboolean has_body;
  char *text;

  if (run->sent >= STAGE_REQUESTS - 4 || run->stage.closed)
    return;
  has_body = pick (run, 6) == 0;
  text = g_strdup_printf (
      "%s /%c%u HTTP/1.1\r\nHost: h\r\n%s\r\n%s", has_body ? "POST" : "GET",
      pick (run, 3) == 0 ? 'x' : 'i', run->sent++,
      has_body ? "Content-Length: 3\r\n" : "", has_body ? "abc" : "");
  send (run->stage.caller, text, strlen (text), MSG_NOSIGNAL);
  g_free (text);
}

/* Return whether request I still waits for a part of its response.  */
static gboolean
is_open (const struct run *run, guint i)
{
  return !run->replies[i].ended && run->stage.requests[i].left == 0;
}

/* Go on with the response to request I.  */
static void
go_on (struct run *run, guint i, gsize part)
{
  struct reply *reply = &run->replies[i];
  struct handle handle = run->stage.requests[i].handle;
  struct http_response response
      = { .status = 200,
          .body_length = reply->chunked ? -1 : (gint64)reply->length };

  if (!reply->begun)
    reply->begun = http_server_respond (&run->stage.server, handle, &response);
  while (reply->begun && part-- > 0 && reply->written < reply->length)
    {
      char bytes[1000];
      gsize count = MIN (sizeof bytes, reply->length - reply->written);
      gsize taken;
      gsize k;
      for (k = 0; k < count; k++)
        bytes[k] = body_byte (run, i, reply->written + k);
      taken = http_server_write (&run->stage.server, handle,
                                 (const guint8 *)bytes, count);
      reply->written += taken;
      if (taken < count)
        break;
    }
  http_server_flush (&run->stage.server, handle);
  if (!reply->begun || reply->written < reply->length)
    return;
  reply->ended = TRUE;
  http_server_finish (&run->stage.server, handle);
}

/* Do something random.  */
static void
step (struct run *run)
{
  guint i = run->stage.count > 0 ? pick (run, run->stage.count) : 0;

  switch (pick (run, 10))
    {
    case 0:
    case 1:
    case 2:
      send_next (run);
      break;
    case 3:
      run->stage.closed
          |= raw_receive (run->stage.caller, run->stage.received);
      break;
    case 4:
      if (run->stage.count == 0 || !is_open (run, i) || pick (run, 20) > 0)
        break;
      run->replies[i].ended = TRUE;
      run->broken = MIN (run->broken, i);
      http_server_cut (&run->stage.server, run->stage.requests[i].handle);
      break;
    case 5:
    case 6:
      turn (run, pick (run, 20));
      break;
    default:
      if (run->stage.count > 0 && is_open (run, i))
        go_on (run, i, pick (run, 40));
      break;
    }
}

/* Answer all that is open, until nothing happens any more.  */
static void
finish (struct run *run)
{
  guint rounds;
  guint i;

  for (rounds = 0; rounds < 3 * STAGE_REQUESTS; rounds++)
    {
      gboolean any = FALSE;
      for (i = 0; i < run->stage.count; i++)
        if (is_open (run, i))
          {
            go_on (run, i, G_MAXSIZE);
            any = TRUE;
          }
      for (i = 0; i < 40; i++)
        {
          turn (run, 1);
          run->stage.closed
              |= raw_receive (run->stage.caller, run->stage.received);
        }
      if (!any && rounds > 8 && run->stage.server.requests.count == 0)
        break;
    }
}

/* Run one case with SEED.  */
static void
run_seed (guint32 seed)
{
  struct run *run = g_new0 (struct run, 1);
  const char *at;
  guint whole = 0;
  guint i;

  run->random = g_rand_new_with_seed (seed);
  run->broken = STAGE_REQUESTS;
  stage_open (&run->stage);
  for (i = 0; i < STAGE_REQUESTS; i++)
    {
      run->replies[i].length = pick (run, BODY_MAX);
      run->replies[i].chunked = pick (run, 2) == 0;
    }
  for (i = 0; i < STEPS; i++)
    step (run);
  finish (run);
  CU_ASSERT_EQUAL (run->stage.server.requests.count, 0);
  at = run->stage.received->str;
  while (whole < run->stage.count && check_response (run, whole, &at))
    whole++;
  if (run->broken == STAGE_REQUESTS)
    {
      CU_ASSERT_EQUAL (run->stage.count, run->sent);
      CU_ASSERT_EQUAL (whole, run->sent);
      CU_ASSERT_EQUAL (stage_left (&run->stage), 0);
    }
  else
    {
      CU_ASSERT_TRUE (run->stage.closed);
      CU_ASSERT_TRUE (whole <= run->broken);
    }
  stage_close (&run->stage);
  g_rand_free (run->random);
  g_free (run);
}

/* Guards against a response that goes to another request, that looks whole
   though it was broken off, or that never comes, in any order of events.  */
static void
test_orders (void)
{
  guint32 seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      guint before = CU_get_number_of_failures ();
      run_seed (seed);
      if (CU_get_number_of_failures () > before)
        {
          printf ("seed %u\n", seed);
          return;
        }
    }
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "random orders", test_orders }, CU_TEST_INFO_NULL };

  return suite_run ("http_server_random", tests);
}
