#ifndef TESTS_HTTP_SERVER_STAGE_H
#define TESTS_HTTP_SERVER_STAGE_H

#include "edge/http_server.h"
#include "edge/http_server_conn.h"
#include "tests/raw_caller.h"
#include "tests/suite.h"
#include "types/clock.h"

/* An HTTP server whose requests are answered by the test, and one caller on a
   plain socket.  Requests for targets that begin with /i may run ahead.  */

#define GET(target) "GET " target " HTTP/1.1\r\nHost: h\r\n\r\n"
#define GET_CLOSE(target)                                                     \
  "GET " target " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define INVALID "GET  /bad HTTP/1.1\r\nHost: h\r\n\r\n"

#define STAGE_ADDRESS 0x7f000001u
#define STAGE_CASE_USEC ((gint64)3000000) /* time limit of a case */
#define STAGE_QUIET_MSEC 20 /* without an event, all that can happen has */
#define STAGE_QUIET_USEC 20000UL /* the same in microseconds */
#define STAGE_REQUESTS 64u       /* requests of one case */

/* What the server has reported of a request.  */
struct stage_request
{
  struct handle handle; /* its handle */
  char target[32];      /* path and query */
  gboolean is_whole;    /* the whole request was received */
  gsize body_bytes;     /* bytes of its body */
  guint drained;        /* times that more could be written */
  guint sent;           /* times that its response was reported as sent */
  guint left;           /* times that it was reported as left */
};

struct server_stage
{
  struct http_server server;                     /* the server */
  struct stage_request requests[STAGE_REQUESTS]; /* in the order of their
                                                    heads */
  guint count;                                   /* their number */
  guint running;     /* requests that were not answered */
  guint running_max; /* most of them at a time */
  int caller;        /* socket of the caller */
  GString *received; /* what the caller has received */
  gboolean closed;   /* the server closed the caller's connection */
};

/* Return the request HANDLE.  */
static inline struct stage_request *
stage_find (struct server_stage *stage, struct handle handle)
{
  guint i = stage->count;

  while (i > 0 && !handle_equal (stage->requests[i - 1].handle, handle))
    i--;
  CU_ASSERT_TRUE_FATAL (i > 0);
  return &stage->requests[i - 1];
}

/* Record an event of the server.  */
static inline void
on_stage_event (const struct http_server_event *event, gpointer data)
{
  struct server_stage *stage = data;
  struct stage_request *request;

  if (event->kind == HTTP_SERVER_HEAD)
    {
      CU_ASSERT_TRUE_FATAL (stage->count < STAGE_REQUESTS);
      request = &stage->requests[stage->count++];
      request->handle = event->request;
      g_strlcpy (request->target, event->head->target, sizeof request->target);
      stage->running++;
      stage->running_max = MAX (stage->running_max, stage->running);
    }
  request = stage_find (stage, event->request);
  CU_ASSERT_STRING_EQUAL (request->target, event->head->target);
  request->body_bytes += event->byte_count;
  request->is_whole |= event->kind == HTTP_SERVER_BODY_END;
  request->drained += event->kind == HTTP_SERVER_DRAINED;
  request->sent += event->kind == HTTP_SERVER_SENT;
  request->left += event->kind == HTTP_SERVER_LEFT;
}

/* Return whether a request may run ahead, by its target.  */
static inline gboolean
stage_may_run_ahead (const struct http_request_head *head, gpointer data)
{
  (void)data;
  return g_str_has_prefix (head->target, "/i");
}

/* Start STAGE.  */
static inline void
stage_open (struct server_stage *stage)
{
  struct address any = { STAGE_ADDRESS, 0 };

  memset (stage, 0, sizeof *stage);
  http_server_init (&stage->server, on_stage_event, stage);
  http_server_run_ahead (&stage->server, stage_may_run_ahead);
  CU_ASSERT_EQUAL_FATAL (http_server_listen (&stage->server, any), ERR_NONE);
  stage->received = g_string_new (NULL);
  stage->caller = raw_connect (http_server_port (&stage->server));
}

/* Stop STAGE.  */
static inline void
stage_close (struct server_stage *stage)
{
  close (stage->caller);
  http_server_clear (&stage->server);
  g_string_free (stage->received, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
}

/* Run the loop until nothing has happened for STAGE_QUIET_MSEC.  The caller
   reads what arrives if READS is true.  */
static inline void
stage_settle_reading (struct server_stage *stage, gboolean reads)
{
  gint64 deadline = clock_usec () + STAGE_CASE_USEC;
  guint quiet = 0;

  while (quiet < STAGE_QUIET_MSEC && clock_usec () < deadline)
    {
      gsize before = stage->received->len;
      gboolean any = g_main_context_iteration (NULL, FALSE);
      if (reads)
        stage->closed |= raw_receive (stage->caller, stage->received);
      if (any || stage->received->len > before)
        quiet = 0;
      else
        {
          quiet++;
          g_usleep (1000);
        }
    }
}

/* The same with a caller that reads.  */
static inline void
stage_settle (struct server_stage *stage)
{
  stage_settle_reading (stage, TRUE);
}

/* Send TEXT from the caller and run the loop.  */
static inline void
stage_send (struct server_stage *stage, const char *text)
{
  raw_send (stage->caller, text);
  stage_settle (stage);
}

/* Answer request I with its target, and run the loop.  */
static inline void
stage_answer (struct server_stage *stage, guint i)
{
  stage->running--;
  http_server_answer (&stage->server, stage->requests[i].handle, 200, NULL,
                      stage->requests[i].target);
  stage_settle (stage);
}

/* The same with an answer that asks for a close.  */
static inline void
stage_answer_close (struct server_stage *stage, guint i)
{
  const char *text = stage->requests[i].target;
  struct http_response response
      = { .status = 200, .body_length = (gint64)strlen (text), .close = TRUE };
  struct handle request = stage->requests[i].handle;

  stage->running--;
  http_server_respond (&stage->server, request, &response);
  http_server_write (&stage->server, request, (const guint8 *)text,
                     strlen (text));
  http_server_finish (&stage->server, request);
  stage_settle (stage);
}

/* Begin the answer to request I with a head of known LENGTH and a part of its
   body.  */
static inline void
stage_begin_answer (struct server_stage *stage, guint i, gint64 length,
                    const char *part)
{
  struct http_response response = { .status = 200, .body_length = length };
  struct handle request = stage->requests[i].handle;

  http_server_respond (&stage->server, request, &response);
  http_server_write (&stage->server, request, (const guint8 *)part,
                     strlen (part));
  http_server_flush (&stage->server, request);
  stage_settle (stage);
}

/* Return whether the bodies in EXPECTED, separated by spaces, are those of all
   responses that the caller has received, in order.  */
static inline gboolean
stage_received (const struct server_stage *stage, const char *expected)
{
  char **bodies = g_strsplit (expected, " ", 0);
  const char *at = stage->received->str;
  gboolean equal = TRUE;
  guint i;

  for (i = 0; bodies[i] != NULL && bodies[i][0] != '\0' && equal; i++)
    {
      const char *end = strstr (at, "\r\n\r\n");
      equal = g_str_has_prefix (at, "HTTP/1.1 200 ") && end != NULL
              && g_str_has_prefix (end + 4, bodies[i]);
      if (equal)
        at = end + 4 + strlen (bodies[i]);
    }
  g_strfreev (bodies);
  return equal && *at == '\0';
}

/* Return the number of requests that were reported as left.  */
static inline guint
stage_left (const struct server_stage *stage)
{
  guint count = 0;
  guint i;

  for (i = 0; i < stage->count; i++)
    {
      CU_ASSERT_TRUE (stage->requests[i].left + stage->requests[i].sent <= 1);
      count += stage->requests[i].left;
    }
  return count;
}

/* Return the only connection of the server, or NULL.  */
static inline struct http_server_conn *
stage_conn (const struct server_stage *stage)
{
  return table_get (&stage->server.conns,
                    table_next (&stage->server.conns, HANDLE_NONE));
}

#endif
