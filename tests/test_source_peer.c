#include "tests/exchange_bench.h"

#include "wire/wire_forward.h"

/* Requests that another node forwards and cancels.  */

/* What the first message, to which the others are compared, may take.  */
#define SLACK_USEC ((gint64)200000)
#define FILLER_CALLS 3u /* forwarded requests that fill one read */

/* The forwarding node.  */
struct sender
{
  struct links links;   /* its connections */
  struct address to;    /* the node under test */
  guint64 incarnation;  /* incarnation of that node */
  guint64 last_stream;  /* id of the last forwarded request */
  guint replies;        /* replies to forwarded requests */
  enum outcome outcome; /* outcome in the last one */
  enum reason reason;   /* its reason */
};

/* Record a reply to a forwarded request.  */
static void
on_sender (const struct link_event *event, gpointer data)
{
  struct sender *sender = data;
  struct forward_response_head head = { 0 };

  if (event->kind != LINK_REPLY || event->procedure != RPC_FORWARD_REQUEST)
    return;
  sender->replies++;
  if (wire_decode (wire_forward_response_head, &head, event->bytes,
                   event->length)
      != ERR_NONE)
    return;
  sender->outcome = head.outcome;
  sender->reason = head.reason;
  xdr_free ((xdrproc_t)wire_forward_response_head, (char *)&head);
}

/* Start the forwarding node beside BENCH.  */
static void
sender_init (struct sender *sender, const struct bench *bench)
{
  struct address any = { LOCAL, 0 };

  memset (sender, 0, sizeof *sender);
  sender->to = (struct address){ LOCAL, PEER_PORT };
  sender->incarnation = bench->node.proxy.self_incarnation;
  CU_ASSERT_EQUAL_FATAL (links_init (&sender->links, any, on_sender, sender),
                         ERR_NONE);
}

/* Forward a request with a body of COUNT bytes, which says that it was sent
   DELAY_USEC ago.  Return its stream.  */
static guint64
forward_late (struct sender *sender, guint32 count, gint64 delay_usec)
{
  static guint8 bytes[BODY_QUEUE_BYTES];
  struct link_tag tag = { 0 };
  struct forward_request message
      = { .stream = ++sender->last_stream,
          .target_incarnation = sender->incarnation,
          .method = (char *)(count > 0 ? "POST" : "GET"),
          .target = (char *)"/pay/x",
          .headers = (char *)"",
          .body_length = count,
          .chunk_length = count,
          .chunk = bytes,
          .is_last_chunk = TRUE,
          .sent_at = clock_usec () - delay_usec };

  g_strlcpy (message.request.service, "pay", sizeof message.request.service);
  message.request.priority = PRIORITY_NORMAL;
  message.request.deadline = CASE_USEC;
  links_call (&sender->links, sender->to, RPC_FORWARD_REQUEST,
              wire_forward_request, &message, &tag, clock_usec () + CASE_USEC);
  return message.stream;
}

/* Forward a request with a body of COUNT bytes.  Return its stream.  */
static guint64
forward (struct sender *sender, guint32 count)
{
  return forward_late (sender, count, 0);
}

/* Cancel the forwarded request STREAM.  */
static void
cancel (struct sender *sender, guint64 stream)
{
  struct link_tag tag = { 0 };

  links_call (&sender->links, sender->to, RPC_CANCEL, wire_forward_stream,
              &stream, &tag, clock_usec () + CASE_USEC);
}

/* Start both, and let the server answer a request, so that a connection to it
   is idle.  */
static void
start_served (struct bench *bench, struct sender *sender)
{
  bench_start (bench, "Content-Length: 5\r\n\r\nhello");
  bench->keeps_serving = TRUE;
  sender_init (sender, bench);
  forward (sender, 0);
  run_until (&sender->replies);
  CU_ASSERT_EQUAL (bench->requests, 1);
}

/* A forwarded request does not reach the server if its cancellation has
   already arrived when it is read.  */
static void
test_cancelled_before_read (void)
{
  struct bench bench;
  struct sender sender;

  start_served (&bench, &sender);
  cancel (&sender, forward (&sender, 0));
  sender.replies = 0;
  forward (&sender, 0);
  run_until (&sender.replies);
  CU_ASSERT_EQUAL (bench.requests, 2);
  links_clear (&sender.links);
  bench_stop (&bench);
}

/* The same, if more has arrived between the two than one read returns.  */
static void
test_cancelled_behind_backlog (void)
{
  struct bench bench;
  struct sender sender;
  guint64 streams[FILLER_CALLS];
  guint i;

  start_served (&bench, &sender);
  for (i = 0; i < FILLER_CALLS; i++)
    streams[i] = forward (&sender, BODY_QUEUE_BYTES / 2);
  for (i = 0; i < FILLER_CALLS; i++)
    cancel (&sender, streams[i]);
  sender.replies = 0;
  forward (&sender, 0);
  run_until (&sender.replies);
  CU_ASSERT_EQUAL (bench.requests, 2);
  links_clear (&sender.links);
  bench_stop (&bench);
}

/* Run the main loop for as long as something is ready.  */
static void
run_ready (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    continue;
}

/* A request that waits for a slot does not reach the server if its
   cancellation has arrived by the time at which a slot becomes free.  */
static void
test_cancelled_while_waiting (void)
{
  struct bench bench;
  struct sender sender;
  struct admission *admission = &bench.node.core.admission;
  gint64 deadline = clock_usec () + CASE_USEC;
  guint64 waiting;
  guint running;

  bench_start (&bench, NULL);
  bench.keeps_serving = TRUE;
  sender_init (&sender, &bench);
  while (admission_has_free_slot (admission, clock_usec ())
         && clock_usec () < deadline)
    {
      guint32 busy = admission->busy_slots;
      forward (&sender, 0);
      while (admission->busy_slots == busy && clock_usec () < deadline)
        g_main_context_iteration (NULL, FALSE);
    }
  running = admission->busy_slots;
  waiting = forward (&sender, 0);
  while (
      (bench.node.proxy.exchanges.count == running || bench.requests < running)
      && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  run_ready ();
  bench.response = "Content-Length: 5\r\n\r\nhello";
  send_response (&bench, g_ptr_array_index (bench.connections, 0));
  bench.requests = 0;
  cancel (&sender, waiting);
  run_until (&sender.replies);
  run_ready ();
  CU_ASSERT_EQUAL (bench.requests, 0);
  links_clear (&sender.links);
  bench_stop (&bench);
}

/* Guards against a request that is started for a caller that had left while
   the link held it up: its deadline has passed since it was sent, though it
   says that time is left.  */
static void
test_expired_on_link (void)
{
  struct bench bench;
  struct sender sender;

  start_served (&bench, &sender);
  sender.replies = 0;
  forward_late (&sender, 0, CASE_USEC + SLACK_USEC);
  run_until (&sender.replies);
  run_ready ();
  CU_ASSERT_EQUAL (sender.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (sender.reason, REASON_DEADLINE);
  CU_ASSERT_EQUAL (bench.requests, 1);
  CU_ASSERT_EQUAL (bench.node.proxy.counters.expired_on_link, 1);
  links_clear (&sender.links);
  bench_stop (&bench);
}

/* Guards against a request that the link held up and that is started before
   its cancellation, which the link held up too, is read.  Without one it is
   started, with the time that is left of it.  */
static void
test_cancelled_on_link (void)
{
  struct bench bench;
  struct sender sender;
  guint64 stream;
  struct handle h;
  gint64 until;

  start_served (&bench, &sender);
  stream = forward_late (&sender, 0, CASE_USEC / 2 + SLACK_USEC);
  until = clock_usec () + USEC_PER_SEC;
  while (bench.node.proxy.exchanges.count == 0 && clock_usec () < until)
    g_main_context_iteration (NULL, FALSE);
  h = table_next (&bench.node.proxy.exchanges, HANDLE_NONE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (exchange_get (&bench.node.proxy, h));
  CU_ASSERT_TRUE (exchange_get (&bench.node.proxy, h)->request.deadline
                  <= clock_usec () + CASE_USEC / 2);
  run_ready ();
  cancel (&sender, stream);
  sender.replies = 0;
  forward_late (&sender, 0, CASE_USEC / 2);
  run_until (&sender.replies);
  CU_ASSERT_EQUAL (sender.outcome, OUTCOME_DONE);
  CU_ASSERT_EQUAL (bench.requests, 2);
  links_clear (&sender.links);
  bench_stop (&bench);
}

/* Guards against a request that is dropped for lack of memory without a word,
   or with a word that it was not run while it runs.  */
static void
test_dropped (void)
{
  struct bench bench;
  struct sender sender;
  struct proxy *proxy = &bench.node.proxy;
  struct handle h;

  bench_start (&bench, NULL);
  sender_init (&sender, &bench);
  forward (&sender, 0);
  run_until (&bench.requests);
  h = table_next (&proxy->exchanges, HANDLE_NONE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (exchange_get (proxy, h));
  exchange_drop (exchange_get (proxy, h));
  CU_ASSERT_EQUAL (proxy->exchanges.count, 0);
  CU_ASSERT_EQUAL (bench.node.core.admission.busy_slots, 0);
  run_until (&sender.replies);
  run_until (&bench.closed_connections);
  CU_ASSERT_EQUAL (sender.replies, 1);
  CU_ASSERT_EQUAL (sender.outcome, OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (sender.reason, REASON_MEMORY);
  CU_ASSERT_EQUAL (bench.closed_connections, 1);
  links_clear (&sender.links);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "cancelled before it was read", test_cancelled_before_read },
          { "cancelled behind a backlog", test_cancelled_behind_backlog },
          { "cancelled while it waits", test_cancelled_while_waiting },
          { "expired while the link held it up", test_expired_on_link },
          { "cancelled while the link held it up", test_cancelled_on_link },
          { "dropped for lack of memory", test_dropped },
          CU_TEST_INFO_NULL };

  return suite_run ("source peer", tests);
}
