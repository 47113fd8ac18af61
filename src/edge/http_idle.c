#include "edge/http_idle.h"

#define IDLE_MAX 256u /* idle connections kept in all */

/* An idle connection spoke or ended: it is of no more use.  */
static void
on_idle_event (struct conn *conn, const struct conn_event *event,
               gpointer data)
{
  struct http *http = data;
  guint i;

  (void)event;
  for (i = 0; i < http->idle->len; i++)
    {
      struct http_idle *idle = g_ptr_array_index (http->idle, i);
      if (idle->conn == conn)
        {
          g_ptr_array_remove_index_fast (http->idle, i);
          return;
        }
    }
}

/* Close and free an idle connection.  */
void
http_idle_free (gpointer data)
{
  struct http_idle *idle = data;

  if (idle->conn != NULL)
    conn_close (idle->conn);
  g_free (idle);
}

/* Keep CONN for later calls to TO.  */
void
http_keep_idle (struct http *http, struct address to, struct conn *conn)
{
  struct http_idle *idle;

  if (http->idle->len >= IDLE_MAX || conn->receive_buffer->len > 0)
    {
      conn_close (conn);
      return;
    }
  idle = g_new0 (struct http_idle, 1);
  idle->address = to;
  idle->conn = conn;
  conn_set_callback (conn, on_idle_event, http);
  conn_pause (conn, FALSE);
  g_ptr_array_add (http->idle, idle);
}

/* Take an idle connection to TO, the one used last, or NULL.  */
struct conn *
http_take_idle (struct http *http, struct address to)
{
  guint i;

  for (i = http->idle->len; i > 0; i--)
    {
      struct http_idle *idle = g_ptr_array_index (http->idle, i - 1);
      if (address_equal (idle->address, to))
        {
          struct conn *conn = idle->conn;
          idle->conn = NULL;
          g_ptr_array_remove_index (http->idle, i - 1);
          return conn;
        }
    }
  return NULL;
}

/* Close the idle connections to TO.  */
void
http_drop_idle (struct http *http, struct address to)
{
  struct conn *conn = http_take_idle (http, to);

  for (; conn != NULL; conn = http_take_idle (http, to))
    conn_close (conn);
}
