#include "edge/http_listener.h"

#include "edge/held_bytes.h"
#include "edge/http_server_conn.h"
#include "edge/poller.h"
#include "types/clock.h"

#define ACCEPTS_MAX 64 /* connections accepted at a time */

/* Pause after an error of accepting, such as too many open files: the socket
   stays readable, and would wake the loop again and again.  */
#define ACCEPT_PAUSE_USEC ((gint64)100000)

/* Accept no connections until ACCEPT_PAUSE_USEC have passed.  */
static void
pause_accepting (struct http_listener *listener)
{
  poller_set_events (listener->poll_handle, 0);
  listener->resume_at = clock_usec () + ACCEPT_PAUSE_USEC;
}

/* Accept connections until none waits, ACCEPTS_MAX were accepted, there is no
   room for more, or an error occurs.  */
static void
on_ready (guint32 ready, gpointer data)
{
  struct http_listener *listener = data;
  GError *error = NULL;
  int i;

  (void)ready;
  for (i = 0; i < ACCEPTS_MAX; i++)
    {
      GSocket *socket;
      if (listener->server->is_bounded && !held_bytes_may_accept ())
        {
          pause_accepting (listener);
          return;
        }
      socket = g_socket_accept (listener->socket, NULL, &error);
      if (socket == NULL)
        break;
      http_server_conn_add (listener->server, socket);
    }
  if (error != NULL
      && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_warning ("accept: %s", error->message);
      pause_accepting (listener);
    }
  g_clear_error (&error);
}

/* Listen at AT for SERVER.  NULL, with CODE set, if that fails.  */
struct http_listener *
http_listener_new (struct http_server *server, struct address at,
                   enum err *code)
{
  struct http_listener *listener;
  GSocket *socket = conn_listen (at, code);

  if (socket == NULL)
    return NULL;
  listener = g_new0 (struct http_listener, 1);
  listener->server = server;
  listener->socket = socket;
  listener->poll_handle
      = poller_add (g_socket_get_fd (socket), POLLER_IN, on_ready, listener);
  return listener;
}

/* Stop listening and free LISTENER.  */
void
http_listener_free (gpointer data)
{
  struct http_listener *listener = data;

  poller_remove (listener->poll_handle);
  g_object_unref (listener->socket);
  g_free (listener);
}

/* Accept connections again if the pause has ended at NOW.  */
void
http_listener_expire (struct http_listener *listener, gint64 now)
{
  if (listener->resume_at == 0 || listener->resume_at > now)
    return;
  listener->resume_at = 0;
  poller_set_events (listener->poll_handle, POLLER_IN);
}
