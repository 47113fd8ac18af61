#ifndef TESTS_SENT_AHEAD_STAGE_H
#define TESTS_SENT_AHEAD_STAGE_H

#include "tests/mesh_node_stage.h"
#include "tests/raw_caller.h"

/* A node of a mesh between another node, which answers when the test says so,
   and a caller that sends requests ahead.  */

#define QUICK_USEC ((gint64)200000) /* time in which nothing is to happen */

/* Send a request for TARGET from CALLER.  */
static inline void
send_get (int caller, const char *target)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: h\r\n" NAME_ID
                                ": %s\r\n" NAME_DEADLINE ": 2000\r\n\r\n",
                                target, target);

  raw_send (caller, text);
  g_free (text);
}

/* Start STAGE, whose other node answers only what the test answers, and
   connect a caller.  */
static inline int
stage_start (struct stage *stage)
{
  stage_init (stage);
  stage->holds_requests = TRUE;
  return raw_connect (http_server_port (&stage->node.proxy.callers));
}

/* Run the loop until the other node has got COUNT requests, or the time of the
   case has passed.  */
static inline void
run_until_runs (struct stage *stage, guint count)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (stage->runs < count && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

/* Answer the request I that the other node holds, with its target.  The body
   breaks off before its last byte if WHOLE is false.  */
static inline void
answer_held (struct stage *stage, guint i, gboolean whole)
{
  const struct held_forward *held
      = &g_array_index (stage->held, struct held_forward, i);
  guint32 length = (guint32)strlen (held->target);
  struct forward_response_head head = { .outcome = OUTCOME_DONE,
                                        .load.slots = 4,
                                        .http_status = 200,
                                        .headers = (char *)"",
                                        .body_length = length,
                                        .chunk = (guint8 *)held->target };

  head.chunk_length = whole ? length : length - 1;
  head.is_last_chunk = whole;
  links_reply (&stage->other, held->link, held->xid, ERR_NONE,
               wire_forward_response_head, &head);
}

/* Run the loop and append to TEXT what CALLER receives, until it has got COUNT
   responses or the connection is closed.  Return whether it is.  */
static inline gboolean
receive_responses (int caller, GString *text, guint count)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  gboolean closed = FALSE;

  while (!closed && raw_count_responses (text) < count
         && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      closed = raw_receive (caller, text);
    }
  return closed;
}

/* Run the loop until EXCHANGES are in progress at the node, or the time of the
   case has passed.  */
static inline void
run_until_exchanges (struct stage *stage, guint exchanges)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (stage->node.proxy.exchanges.count != exchanges
         && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (stage->node.proxy.exchanges.count, exchanges);
}

/* Run the loop for QUICK_USEC.  */
static inline void
run_quickly (void)
{
  gint64 deadline = clock_usec () + QUICK_USEC;

  while (clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

#endif
