#include "tests/explain_stage.h"
#include "tests/mesh_state_bytes.h"

/* Explanations of where requests would go, against what becomes of the same
   requests.  */

#define RUNS 40u
#define STATES 150u
#define STOP_STATE 60u /* in some runs the node is asked to stop here */

/* What the explanations of all runs said.  */
struct seen
{
  guint ends[MESH_EXPLAINED_REFUSED + 1];     /* by enum mesh_explained_end */
  guint refusals[REASON_COUNT];               /* refused, by reason */
  guint obstacles[MESH_OBSTACLE_BREAKER + 1]; /* servers, by obstacle */
  guint forwarded_keys; /* requests with a key that were sent */
  guint elsewhere; /* requests that the local server would not have taken */
};

/* Explain the request of QUERY in EXPLANATION.  A second explanation must be
   the same, and neither may change the node.  */
static void
explain_twice (struct explain_stage *stage,
               const struct mesh_explain_query *query,
               struct mesh_explanation *explanation)
{
  const struct mesh *mesh = &stage->fixture->mesh;
  GByteArray *before = state_of (mesh);
  GByteArray *after;
  struct mesh_explanation second;
  char *text;
  char *second_text;

  mesh_explain (mesh, query, stage->fixture->now, explanation);
  mesh_explain (mesh, query, stage->fixture->now, &second);
  text = mesh_explain_json (explanation);
  second_text = mesh_explain_json (&second);
  CU_ASSERT_STRING_EQUAL (text, second_text);
  after = state_of (mesh);
  CU_ASSERT_TRUE (before->len == after->len
                  && memcmp (before->data, after->data, before->len) == 0);
  g_byte_array_unref (before);
  g_byte_array_unref (after);
  g_free (text);
  g_free (second_text);
  mesh_explanation_clear (&second);
}

/* Send the request of QUERY.  */
static struct handle
send_explained (struct fixture *fixture,
                const struct mesh_explain_query *query)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  g_strlcpy (request->key, query->key, sizeof request->key);
  g_strlcpy (request->id, "explained", sizeof request->id);
  request->slice = query->key_number;
  request->digest = query->digest;
  request->deadline = query->deadline;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.host = query->host;
  event.u.request.target = query->target;
  event.u.request.body_length = query->body_bytes;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Return the node that the mesh-route line of the request names, or NULL if
   there is no such line.  Free it with g_free.  */
static char *
logged_member (const struct fixture *fixture)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      const char *to;
      if (action->kind != ACTION_LOG_EVENT
          || action->u.log_event.id != LOG_EVENT_MESH_ROUTE
          || strcmp (action->u.log_event.text, "explained") != 0)
        continue;
      to = strstr (action->u.log_event.detail, " to=") + strlen (" to=");
      return g_strndup (to, strcspn (to, " "));
    }
  return NULL;
}

/* Return the action of KIND on EXCHANGE, or NULL.  */
static const struct action *
action_on (const struct fixture *fixture, enum action_kind kind,
           struct handle exchange)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind != kind)
        continue;
      if (kind == ACTION_RUN
          && handle_equal (action->u.run.exchange, exchange))
        return action;
      if (kind == ACTION_ANSWER
          && handle_equal (action->u.answer.exchange, exchange))
        return action;
    }
  return NULL;
}

/* Check that what became of EXCHANGE is what EXPLANATION said.  */
static void
check_end (const struct fixture *fixture, struct handle exchange,
           const struct mesh_explanation *explanation)
{
  const struct mesh_request *request
      = table_get (&fixture->mesh.requests, exchange);
  const struct action *answer = action_on (fixture, ACTION_ANSWER, exchange);
  const struct action *run = action_on (fixture, ACTION_RUN, exchange);
  char *member = logged_member (fixture);

  CU_ASSERT_EQUAL (member != NULL, explanation->end == MESH_EXPLAINED_SENT);
  CU_ASSERT_EQUAL (run != NULL, explanation->end == MESH_EXPLAINED_RUN);
  CU_ASSERT_EQUAL (answer != NULL, explanation->end == MESH_EXPLAINED_REFUSED);
  CU_ASSERT_EQUAL (request != NULL && request->phase == MESH_REQUEST_QUEUED,
                   explanation->end == MESH_EXPLAINED_QUEUED);
  CU_ASSERT_EQUAL (request != NULL && request->phase == MESH_REQUEST_WAITING,
                   explanation->end == MESH_EXPLAINED_WAITS);
  if (member != NULL)
    CU_ASSERT_STRING_EQUAL (member, explanation->member);
  if (answer != NULL)
    {
      CU_ASSERT_EQUAL (answer->u.answer.reason, explanation->reason);
      CU_ASSERT_EQUAL (answer->u.answer.retry_after_msec,
                       explanation->retry_msec);
    }
  if (request != NULL)
    CU_ASSERT_STRING_EQUAL (request->request.service, explanation->service);
  g_free (member);
}

/* Check that the details of EXPLANATION agree with its end, and count what it
   says in SEEN.  */
static void
check_details (const struct mesh_explanation *explanation, struct seen *seen)
{
  const struct mesh_explained_server *taken = NULL;
  const struct mesh_explained_admission *admission = &explanation->admission;
  gboolean is_local = explanation->owner.is_local;
  gboolean is_sent = explanation->end == MESH_EXPLAINED_SENT;
  guint i;

  seen->ends[explanation->end]++;
  if (explanation->end == MESH_EXPLAINED_REFUSED)
    seen->refusals[explanation->reason]++;
  else
    CU_ASSERT_TRUE (explanation->has_route);
  if (explanation->end == MESH_EXPLAINED_WAITS)
    CU_ASSERT_NOT_EQUAL (explanation->reason, REASON_NONE);
  for (i = 0; i < explanation->servers->len; i++)
    {
      const struct mesh_explained_server *server = &g_array_index (
          explanation->servers, struct mesh_explained_server, i);
      seen->obstacles[server->obstacle]++;
      CU_ASSERT_TRUE (!server->is_drawn
                      || server->obstacle == MESH_OBSTACLE_NONE);
      if (server->is_taken)
        taken = server;
    }
  if (taken != NULL)
    is_local = taken->is_local;
  if (is_sent && explanation->is_sharded)
    {
      seen->forwarded_keys++;
      CU_ASSERT_STRING_EQUAL (explanation->member,
                              explanation->owner.shard.owner);
    }
  if (is_sent && taken != NULL && !is_local)
    CU_ASSERT_STRING_EQUAL (explanation->member, taken->name);
  if (is_sent && is_local)
    {
      seen->elsewhere++;
      CU_ASSERT_EQUAL (admission->result, ADMISSION_REFUSE);
    }
  if (explanation->end == MESH_EXPLAINED_RUN)
    CU_ASSERT_EQUAL (admission->result, ADMISSION_RUN);
  if (explanation->end == MESH_EXPLAINED_QUEUED)
    CU_ASSERT_EQUAL (admission->result, ADMISSION_QUEUE);
}

/* Explain a random request in the state of STAGE, send it, and compare.  */
static void
play_request (struct explain_stage *stage, struct seen *seen)
{
  static const char *const targets[]
      = { "/own/x", "/other/x", "/keyed/x", "/mixed/x", "/none/x" };
  struct fixture *fixture = stage->fixture;
  guint32 key = stage_random (stage, SHARD_KEY_COUNT);
  char text[KEY_SIZE] = "";
  struct mesh_explain_query query
      = { .host = "h",
          .target = targets[stage_random (stage, G_N_ELEMENTS (targets))],
          .key = text,
          .digest = stage_chance (stage, 5) ? STAGE_DIGEST : 1,
          .deadline = fixture->now + (1 + stage_random (stage, 2000)) * MSEC,
          .body_bytes = stage_random (stage, STAGE_BODY_MAX) };
  struct mesh_explanation explanation;
  struct handle exchange;

  if (stage_chance (stage, 90))
    {
      g_snprintf (text, sizeof text, "%u", key);
      query.key_number = key;
    }
  explain_twice (stage, &query, &explanation);
  check_details (&explanation, seen);
  exchange = send_explained (fixture, &query);
  check_end (fixture, exchange, &explanation);
  mesh_explanation_clear (&explanation);
}

/* Guards against an explanation that names another node than the request then
   goes to, that changes where later requests go, or that uses up what they
   need.  */
static void
test_agrees (void)
{
  struct event drain = { .kind = EVENT_DRAIN };
  struct seen seen = { 0 };
  guint32 seed;
  guint i;

  for (seed = 1; seed <= RUNS; seed++)
    {
      struct explain_stage *stage = stage_new (seed);
      for (i = 0; i < STATES; i++)
        {
          if (i == STOP_STATE && seed % 4 == 0)
            feed_event (stage->fixture, &drain);
          stage_step (stage, i);
          if (stage->fixture->mesh.exit_requested)
            break;
          play_request (stage, &seen);
        }
      stage_free (stage);
    }
  for (i = 0; i < G_N_ELEMENTS (seen.ends); i++)
    CU_ASSERT_TRUE (seen.ends[i] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_NO_CONFIG] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_NO_RULE] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_NO_OWNER] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_LEASE_EXPIRED] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_EVACUATED] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_NO_KEY] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_QUARANTINED] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_OVERLOAD] > 0);
  CU_ASSERT_TRUE (seen.refusals[REASON_DRAINING] > 0);
  CU_ASSERT_TRUE (seen.obstacles[MESH_OBSTACLE_EVACUATED] > 0);
  CU_ASSERT_TRUE (seen.obstacles[MESH_OBSTACLE_LEAVING] > 0);
  CU_ASSERT_TRUE (seen.obstacles[MESH_OBSTACLE_NO_SLOTS] > 0);
  CU_ASSERT_TRUE (seen.obstacles[MESH_OBSTACLE_UNRESPONSIVE] > 0);
  CU_ASSERT_TRUE (seen.obstacles[MESH_OBSTACLE_BREAKER] > 0);
  CU_ASSERT_TRUE (seen.forwarded_keys > 0);
  CU_ASSERT_TRUE (seen.elsewhere > 0);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "agrees with the request", test_agrees }, CU_TEST_INFO_NULL };

  return suite_run ("mesh_explain", tests);
}
