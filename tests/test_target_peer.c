#include "edge/proxy.h"
#include "edge/headers.h"
#include "tests/suite.h"
#include "types/clock.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Requests that a node forwards to another one and gives up.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)3000000) /* time limit of a test */
#define SHORT_USEC ((gint64)500000) /* deadline of a forwarded request */

/* The other node: counts the calls that arrive and answers none.  */
struct other
{
  struct links links; /* its connections */
  struct address at;  /* where it listens */
  guint forwards;     /* requests forwarded to it */
  guint cancels;      /* cancellations */
  guint nulls;        /* RPC_NULL, which marks the end of a test */
};

/* Count a call.  */
static void
on_other (const struct link_event *event, gpointer data)
{
  struct other *other = data;

  if (event->kind != LINK_CALL)
    return;
  other->forwards += event->procedure == RPC_FORWARD_REQUEST;
  other->cancels += event->procedure == RPC_CANCEL;
  other->nulls += event->procedure == RPC_NULL;
}

/* The forwarding node: its owner takes no decision.  */
static void
on_event (const struct event *event, gpointer data)
{
  guint *ended = data;

  *ended += event->kind == EVENT_ATTEMPT_ENDED;
}

/* Ignore the RPCs that do not concern requests.  */
static void
on_link (const struct link_event *event, gpointer data)
{
  (void)event;
  (void)data;
}

/* A forwarding node and another one.  */
struct pair
{
  struct proxy proxy; /* the forwarding node */
  struct other other; /* the other node */
  guint ended;        /* attempts that ended */
};

/* Start both nodes.  */
static void
pair_init (struct pair *pair)
{
  struct address any = { LOCAL, 0 };
  struct proxy_owner owner = { on_event, on_link, &pair->ended };
  GSocketAddress *local;

  memset (pair, 0, sizeof *pair);
  CU_ASSERT_EQUAL_FATAL (proxy_init (&pair->proxy, any, &owner), ERR_NONE);
  CU_ASSERT_EQUAL_FATAL (
      links_init (&pair->other.links, any, on_other, &pair->other), ERR_NONE);
  local = g_socket_get_local_address (pair->other.links.listener, NULL);
  pair->other.at = any;
  pair->other.at.port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
}

/* Stop both nodes.  */
static void
pair_clear (struct pair *pair)
{
  proxy_clear (&pair->proxy);
  links_clear (&pair->other.links);
}

/* Forward a request to the other node.  Return its exchange.  */
static struct handle
forward (struct pair *pair)
{
  struct exchange *exchange = exchange_add (&pair->proxy, SOURCE_PEER);
  struct action_forward action = { .exchange = exchange->self };

  exchange->method = g_strdup ("GET");
  exchange->request_target = g_strdup ("/x");
  exchange->request_headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  exchange->request_length = 0;
  exchange->request_body.is_complete = TRUE;
  action.address = pair->other.at;
  action.request.deadline = clock_usec () + SHORT_USEC;
  exchange_forward (&pair->proxy, &action);
  return action.exchange;
}

/* Run the main loop until *COUNT is not 0 or CASE_USEC have passed.  */
static void
run_until (const guint *count)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (*count == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

/* Make a call that the other node receives after all earlier ones.  */
static void
mark_end (struct pair *pair)
{
  struct link_tag tag = { 0 };
  guint64 stream = 0;

  links_call (&pair->proxy.links, pair->other.at, RPC_NULL,
              wire_forward_stream, &stream, &tag, clock_usec () + CASE_USEC);
  run_until (&pair->other.nulls);
  CU_ASSERT_EQUAL (pair->other.nulls, 1);
}

/* A forwarded request whose deadline passes without an answer is
   cancelled.  */
static void
test_timeout_cancels (void)
{
  struct pair pair;

  pair_init (&pair);
  forward (&pair);
  run_until (&pair.other.forwards);
  CU_ASSERT_EQUAL (pair.other.forwards, 1);
  proxy_expire (&pair.proxy, clock_usec () + SHORT_USEC);
  CU_ASSERT_EQUAL (pair.ended, 1);
  mark_end (&pair);
  CU_ASSERT_EQUAL (pair.other.cancels, 1);
  pair_clear (&pair);
}

/* A request that is cancelled before it was sent does not reach the other
   node.  */
static void
test_cancelled_unsent (void)
{
  struct pair pair;

  pair_init (&pair);
  exchange_cancel (&pair.proxy, forward (&pair));
  forward (&pair);
  mark_end (&pair);
  CU_ASSERT_EQUAL (pair.other.forwards, 1);
  CU_ASSERT_EQUAL (pair.other.cancels, 0);
  pair_clear (&pair);
}

/* The same for one whose deadline passes before it was sent.  */
static void
test_expired_unsent (void)
{
  struct pair pair;

  pair_init (&pair);
  forward (&pair);
  proxy_expire (&pair.proxy, clock_usec () + SHORT_USEC);
  CU_ASSERT_EQUAL (pair.ended, 1);
  forward (&pair);
  mark_end (&pair);
  CU_ASSERT_EQUAL (pair.other.forwards, 1);
  CU_ASSERT_EQUAL (pair.other.cancels, 0);
  pair_clear (&pair);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "request that timed out is not cancelled", test_timeout_cancels },
          { "cancelled request is sent later", test_cancelled_unsent },
          { "expired request is sent later", test_expired_unsent },
          CU_TEST_INFO_NULL };

  return suite_run ("target peer", tests);
}
