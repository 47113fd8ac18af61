#include "edge/http_server_conn.h"

/* The order of the responses on a connection.  */

/* Go on with input and responses.  */
static gboolean
on_work (gpointer data)
{
  struct http_server_conn *c = data;

  c->work_source = 0;
  http_server_conn_work (c);
  return G_SOURCE_REMOVE;
}

/* Go on with C from the main loop.  */
void
http_server_conn_work_later (struct http_server_conn *c)
{
  if (c->work_source == 0)
    c->work_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_work, c, NULL);
}

/* Return whether a request of C waits to be given its turn or to be reported
   as left.  */
static gboolean
has_due_request (const struct http_server_conn *c)
{
  return c->request_count > 0
         && (!http_server_conn_first (c)->has_turn
             || http_server_conn_last (c)->is_cancelled);
}

/* Return whether there is input of C to go on with that nothing else parses.
 */
static gboolean
has_due_input (const struct http_server_conn *c)
{
  if (c->is_busy)
    return FALSE;
  return (c->input == HTTP_INPUT_WAITING && c->request_count == 0)
         || (c->input == HTTP_INPUT_HEAD && c->conn->receive_buffer->len > 0);
}

/* Go on with C after a request or a response has ended: with the next request,
   with a refusal, or by closing the connection.  */
void
http_server_conn_go_on (struct http_server_conn *c)
{
  if (c->request_count == 0)
    conn_report_first (c->conn, FALSE);
  if (c->request_count == 0 && !c->keep_alive)
    http_server_conn_close_soon (c);
  else if (c->request_count == 0 && c->input == HTTP_INPUT_REFUSED)
    http_server_conn_send_refusal (c, c->refusal);
  else if (c->input == HTTP_INPUT_NONE && http_server_conn_takes_more (c))
    c->input = HTTP_INPUT_HEAD;
  /* A callback of the server's user may be running: events of other requests
     are reported from the main loop.  */
  if (has_due_request (c) || has_due_input (c))
    http_server_conn_work_later (c);
  conn_pause (c->conn, http_server_conn_stops_reading (c));
}

/* Send what was held of the response to R, whose turn has come.  */
static void
give_turn (struct http_server_conn *c, struct http_server_request *r)
{
  r->has_turn = TRUE;
  if (r->held == NULL)
    return;
  c->held_bytes -= r->held->len;
  conn_hold (c->conn, c->held_bytes);
  conn_send (c->conn, r->held->data, r->held->len);
  g_clear_pointer (&r->held, g_byte_array_unref);
}

/* Report the requests at the end of C that are to be reported as left.  */
static void
report_cancelled (struct http_server_conn *c)
{
  while (c->request_count > 0 && http_server_conn_last (c)->is_cancelled)
    {
      http_server_request_end (http_server_conn_last (c), HTTP_SERVER_LEFT,
                               ERR_CLOSED);
      if (c->request_count == 0 && !c->is_cut)
        http_server_conn_go_on (c);
    }
}

/* Give the responses on C their turn, as far as those before them were sent,
   and report the requests that have ended.  C is busy.  */
void
http_server_conn_turn (struct http_server_conn *c)
{
  struct http_server_request *r;

  report_cancelled (c);
  while (!c->is_cut && c->request_count > 0)
    {
      gboolean had_turn;
      r = http_server_conn_first (c);
      had_turn = r->has_turn;
      if (!had_turn)
        give_turn (c, r);
      if (conn_unsent (c->conn) > 0)
        return;
      if (r->reply == HTTP_REPLY_ENDED)
        {
          http_server_request_end (r, HTTP_SERVER_SENT, ERR_NONE);
          if (!c->is_cut)
            http_server_conn_go_on (c);
          continue;
        }
      if (!had_turn)
        http_server_request_notify (r, HTTP_SERVER_DRAINED);
      else
        return;
    }
}

/* Handle the end of sending on C.  */
void
http_server_conn_drained (struct http_server_conn *c)
{
  struct http_server_request *r = http_server_conn_first (c);

  if (c->input == HTTP_INPUT_DROPPED || c->input == HTTP_INPUT_UNREAD)
    http_server_conn_close_soon (c);
  if (r == NULL || !r->has_turn || c->is_cut)
    return;
  switch (r->reply)
    {
    case HTTP_REPLY_NONE:
      break;
    case HTTP_REPLY_BEGUN:
      http_server_request_notify (r, HTTP_SERVER_DRAINED);
      break;
    case HTTP_REPLY_ENDED:
      http_server_conn_work (c);
      break;
    }
}
