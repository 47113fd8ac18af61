#include "tests/attempt_fixture.h"

/* Attempts at one request after each other: what one leaves behind must not
   reach the next.  */

#define BODY_BYTES 150000u /* more than a body that is kept for a replay */
#define FIRST_BYTES 60000u /* part that has arrived when an attempt begins */

/* Where an attempt goes.  */
enum place
{
  AT_PEER,  /* the other node */
  AT_SERVER /* the backend server */
};

/* Add a request from a peer whose body has arrived up to FIRST_BYTES.  Return
   its exchange.  */
static struct exchange *
add_request (struct scene *scene)
{
  struct exchange *exchange = exchange_add (&scene->proxy, SOURCE_PEER);

  exchange->method = g_strdup ("POST");
  exchange->request_target = g_strdup ("/x");
  exchange->request_headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  exchange->request_length = BODY_BYTES;
  exchange->request.deadline = clock_usec () + CASE_USEC;
  body_append (&exchange->request_body, scene->pattern, FIRST_BYTES);
  return exchange;
}

/* Let bytes FROM to TO of the body arrive.  */
static void
append_part (struct scene *scene, struct exchange *exchange, gsize from,
             gsize to)
{
  body_append (&exchange->request_body, scene->pattern + from, to - from);
  exchange->request_body.is_complete = to == BODY_BYTES;
  exchange_pump_request (exchange);
}

/* Begin an attempt at PLACE.  */
static void
begin (struct scene *scene, struct handle h, enum place place)
{
  struct action_forward forward = { .exchange = h };
  struct action_run run = { .exchange = h, .attempt_id = 1 };

  switch (place)
    {
    case AT_PEER:
      forward.address = scene->other_at;
      forward.request.deadline = clock_usec () + CASE_USEC;
      exchange_forward (&scene->proxy, &forward);
      break;
    case AT_SERVER:
      run.deadline = clock_usec () + CASE_USEC;
      exchange_run (&scene->proxy, &run);
      break;
    }
}

/* Let the rest of the body arrive in parts, as there is room for them, and
   check that all of it reaches the place of the attempt.  */
static void
finish_body (struct scene *scene, struct handle h)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  struct exchange *exchange = exchange_get (&scene->proxy, h);
  gsize arrived = 2 * (gsize)FIRST_BYTES;

  while (scene->body->len < BODY_BYTES && clock_usec () < deadline)
    {
      if (arrived < BODY_BYTES && !body_is_full (&exchange->request_body))
        {
          append_part (scene, exchange, arrived, BODY_BYTES);
          arrived = BODY_BYTES;
        }
      g_main_context_iteration (NULL, FALSE);
    }
  CU_ASSERT_EQUAL_FATAL (scene->body->len, BODY_BYTES);
  CU_ASSERT_EQUAL (memcmp (scene->body->data, scene->pattern, BODY_BYTES), 0);
}

/* Let an attempt at FIRST be refused while the body arrives, more of it arrive
   while the request waits, and an attempt at SECOND begin.  */
static void
check_pair (enum place first, enum place second)
{
  struct scene scene;
  struct handle h;

  scene_init (&scene, BODY_BYTES);
  scene.answer = SCENE_REFUSE;
  h = add_request (&scene)->self;
  begin (&scene, h, first);
  scene_run_until (&scene.ended, 1);
  CU_ASSERT_EQUAL_FATAL (scene.ended, 1);
  CU_ASSERT_EQUAL (scene.event.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (scene.event.body_replayable);

  append_part (&scene, exchange_get (&scene.proxy, h), FIRST_BYTES,
               2 * (gsize)FIRST_BYTES);
  scene.answer = SCENE_SILENT;
  begin (&scene, h, second);
  CU_ASSERT_EQUAL_FATAL (scene.ended, 1);
  finish_body (&scene, h);
  CU_ASSERT_EQUAL (scene.requests, 2);
  scene_clear (&scene);
}

/* Tests */

/* Guards against the end of a node (SIGABRT) when a server sheds an upload
   that still arrives while the request waits for its next attempt.  */
static void
test_body_grows_between (void)
{
  check_pair (AT_PEER, AT_SERVER);
  check_pair (AT_PEER, AT_PEER);
  check_pair (AT_SERVER, AT_PEER);
  check_pair (AT_SERVER, AT_SERVER);
}

/* Let an attempt at FIRST consume more of the body than is kept, and end.
   Then one at SECOND cannot begin, and its end says so.  */
static void
check_discarded (enum place first, enum place second)
{
  struct scene scene;
  struct exchange *exchange;
  struct handle h;

  scene_init (&scene, BODY_BYTES);
  exchange = add_request (&scene);
  h = exchange->self;
  begin (&scene, h, first);
  scene_run_until (&scene.body->len, FIRST_BYTES);
  append_part (&scene, exchange, FIRST_BYTES, 2 * (gsize)FIRST_BYTES);
  scene_run_until (&scene.body->len, 2 * FIRST_BYTES);
  CU_ASSERT_FALSE_FATAL (exchange->request_body.replayable);
  exchange_cancel (&scene.proxy, h);

  begin (&scene, h, second);
  CU_ASSERT_EQUAL_FATAL (scene.ended, 1);
  CU_ASSERT_EQUAL (scene.event.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (scene.event.reason, REASON_BODY_LOST);
  CU_ASSERT_FALSE (scene.event.body_replayable);
  CU_ASSERT_EQUAL (exchange->target.kind, TARGET_NONE);
  CU_ASSERT_EQUAL (scene.requests, 1);
  scene_clear (&scene);
}

/* Guards against the end of a node where the start of a body is not there any
   more: the attempt ends as not run, and the node goes on.  */
static void
test_start_discarded (void)
{
  check_discarded (AT_PEER, AT_SERVER);
  check_discarded (AT_SERVER, AT_PEER);
}

/* A refusal that arrives when its attempt was given up and the next one has
   begun is not taken for the answer to that one.  */
static void
test_late_refusal (void)
{
  struct scene scene;
  struct handle h;

  scene_init (&scene, BODY_BYTES);
  scene.answer = SCENE_REFUSE;
  h = add_request (&scene)->self;
  begin (&scene, h, AT_PEER);
  scene_run_until (&scene.requests, 1);
  exchange_cancel (&scene.proxy, h);
  scene.answer = SCENE_SILENT;
  begin (&scene, h, AT_PEER);
  scene_run_until (&scene.requests, 2);
  append_part (&scene, exchange_get (&scene.proxy, h), FIRST_BYTES,
               2 * (gsize)FIRST_BYTES);
  finish_body (&scene, h);
  CU_ASSERT_EQUAL (scene.ended, 0);
  scene_clear (&scene);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "body grows between two attempts", test_body_grows_between },
          { "start of the body discarded", test_start_discarded },
          { "late refusal of an earlier attempt", test_late_refusal },
          CU_TEST_INFO_NULL };

  return suite_run ("attempt", tests);
}
