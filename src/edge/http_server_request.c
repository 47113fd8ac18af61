#include "edge/http_server_request.h"

#include "edge/http_server_conn.h"

#include <string.h>

/* Lookup */

/* Return the connection of R.  */
struct http_server_conn *
http_server_request_conn (const struct http_server_request *r)
{
  return table_get (&r->server->conns, r->conn);
}

/* Return REQUEST, or NULL if the handle is stale or the connection is being
   closed.  */
struct http_server_request *
http_server_request_of (struct http_server *server, struct handle request)
{
  struct http_server_request *r = table_get (&server->requests, request);

  return r != NULL && !http_server_request_conn (r)->is_cut ? r : NULL;
}

/* Return the place of R in the order of its connection.  */
static guint
place_of (const struct http_server_request *r)
{
  const struct http_server_conn *c = http_server_request_conn (r);
  guint place = 0;

  while (!handle_equal (c->requests[place], r->self))
    place++;
  return place;
}

/* Return whether no response is to be sent behind that to R.  */
gboolean
http_server_request_is_last (const struct http_server_request *r)
{
  const struct http_server_conn *c = http_server_request_conn (r);
  guint place = place_of (r) + 1;
  const struct http_server_request *next;

  if (place == c->request_count)
    return TRUE;
  next = table_get (&r->server->requests, c->requests[place]);
  return next->is_cancelled;
}

/* Lifetime */

/* Add the request whose head was parsed to the end of C.  RUNS_AHEAD: it may
   run at the same time as others.  */
struct http_server_request *
http_server_request_add (struct http_server_conn *c, gboolean runs_ahead)
{
  struct handle h = table_add (&c->server->requests);
  struct http_server_request *r = table_get (&c->server->requests, h);

  r->server = c->server;
  r->self = h;
  r->conn = c->self;
  r->head = c->head;
  memset (&c->head, 0, sizeof c->head);
  r->runs_ahead = runs_ahead;
  r->has_turn = c->request_count == 0;
  c->requests[c->request_count++] = h;
  return r;
}

/* Drop what is held of the response to R.  */
void
http_server_request_drop_held (struct http_server_request *r)
{
  struct http_server_conn *c = http_server_request_conn (r);

  if (r->held == NULL)
    return;
  c->held_bytes -= r->held->len;
  conn_hold (c->conn, c->held_bytes);
  g_clear_pointer (&r->held, g_byte_array_unref);
}

/* Remove R from its connection; its handle is stale then.  */
void
http_server_request_remove (struct http_server_request *r)
{
  struct http_server_conn *c = http_server_request_conn (r);
  guint i = place_of (r);

  for (c->request_count--; i < c->request_count; i++)
    c->requests[i] = c->requests[i + 1];
  http_server_request_drop_held (r);
  http_head_clear (&r->head);
  table_remove (&r->server->requests, r->self);
}

/* Events */

/* Report an event of KIND of R.  R may have been removed on return.  */
void
http_server_request_notify (struct http_server_request *r,
                            enum http_server_event_kind kind)
{
  struct http_server_event event = {
    .kind = kind, .request = r->self, .user = r->user, .head = &r->head
  };

  r->server->on_event (&event, r->server->data);
}

/* Remove R, and report its end as KIND, with CODE.  */
void
http_server_request_end (struct http_server_request *r,
                         enum http_server_event_kind kind, enum err code)
{
  struct http_server *server = r->server;
  struct http_request_head head = r->head;
  struct http_server_event event = { .kind = kind,
                                     .request = r->self,
                                     .user = r->user,
                                     .head = &head,
                                     .code = code };

  memset (&r->head, 0, sizeof r->head);
  http_server_request_remove (r);
  server->on_event (&event, server->data);
  http_head_clear (&head);
}

/* Interface */

/* Set the handle that events of REQUEST carry for the user.  */
void
http_server_set_user (struct http_server *server, struct handle request,
                      struct handle user)
{
  struct http_server_request *r = http_server_request_of (server, request);

  if (r != NULL)
    r->user = user;
}

/* Return what counts the bytes of the connection of REQUEST.  */
struct handle
http_server_holder (struct http_server *server, struct handle request)
{
  const struct http_server_request *r
      = http_server_request_of (server, request);

  return r != NULL ? http_server_request_conn (r)->conn->holder : HANDLE_NONE;
}

/* Return whether the caller of REQUEST has closed its connection, perhaps
   behind bytes that were not read.  */
gboolean
http_server_has_left (struct http_server *server, struct handle request)
{
  const struct http_server_request *r
      = http_server_request_of (server, request);

  return r == NULL || conn_has_hung_up (http_server_request_conn (r)->conn);
}

/* Stop reading the body of REQUEST if PAUSED is true, else resume.  What was
   read with the last bytes is still reported.  */
void
http_server_pause (struct http_server *server, struct handle request,
                   gboolean paused)
{
  const struct http_server_request *r
      = http_server_request_of (server, request);
  struct http_server_conn *c;

  if (r == NULL)
    return;
  c = http_server_request_conn (r);
  if (c->input == HTTP_INPUT_BODY && handle_equal (c->reading, request))
    conn_pause (c->conn, paused);
}

/* Break the response to R off, whose turn has not come.  Nothing of it is
   sent: the connection ends behind the responses before it.  What is behind it
   is reported as left, and not read.  */
static void
break_off (struct http_server_request *r)
{
  struct http_server_conn *c = http_server_request_conn (r);
  guint i;

  for (i = place_of (r) + 1; i < c->request_count; i++)
    {
      struct http_server_request *behind
          = table_get (&c->server->requests, c->requests[i]);
      behind->is_cancelled = TRUE;
    }
  http_server_request_remove (r);
  c->keep_alive = FALSE;
  c->input = HTTP_INPUT_NONE;
  http_server_conn_go_on (c);
}

/* Break REQUEST and its response off without an event: its connection is
   closed, at once if what was sent of the response is in the way, else behind
   the responses before it.  Other requests of the connection that get no
   response are reported as left.  */
void
http_server_cut (struct http_server *server, struct handle request)
{
  struct http_server_request *r = table_get (&server->requests, request);
  struct http_server_conn *c;

  if (r == NULL)
    return;
  c = http_server_request_conn (r);
  if (!c->is_cut && !r->has_turn)
    {
      break_off (r);
      return;
    }
  http_server_request_remove (r);
  http_server_conn_cut (c);
}
