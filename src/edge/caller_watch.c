#include "edge/exchange.h"

#include <errno.h>
#include <sys/socket.h>

/* Return TRUE if the caller at the other end of SOCKET has closed the
   connection.  HAS_BYTES is set to TRUE if bytes of the caller's next request
   can be read.  */
static gboolean
is_closed (GSocket *socket, gboolean *has_bytes)
{
  char byte;
  ssize_t count
      = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  *has_bytes = count > 0;
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

/* Return whether the caller of EXCHANGE has closed its connection.  */
gboolean
caller_watch_has_left (const struct exchange *exchange)
{
  GSocket *socket
      = soup_server_message_get_socket (exchange->source.u.caller.message);
  gboolean has_bytes;

  return socket == NULL || is_closed (socket, &has_bytes);
}

/* Cancel EXCHANGE, whose caller has left, and let libsoup end its paused
   message.  */
void
caller_watch_cancel (struct exchange *exchange)
{
  SoupServerMessage *message
      = g_object_ref (exchange->source.u.caller.message);

  exchange_disconnected (exchange);
  soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                  NULL);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

/* Handle a readable connection of a caller.  If the caller has closed it, the
   exchange is cancelled; if it has sent its next request, the watch ends.  */
static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  gboolean has_bytes;

  (void)condition;
  if (!is_closed (socket, &has_bytes))
    return has_bytes ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
  caller_watch_cancel (data);
  return G_SOURCE_REMOVE;
}

/* Watch the caller's connection while its message is paused: libsoup does not
   read from it then and would not notice that the caller disconnects.  */
void
caller_watch_start (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  GSocket *socket = soup_server_message_get_socket (caller->message);

  if (socket == NULL || caller->close_watch != NULL)
    return;
  caller->close_watch = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (caller->close_watch, G_SOURCE_FUNC (on_readable),
                         exchange, NULL);
  g_source_attach (caller->close_watch, NULL);
}

/* Stop watching the caller's connection.  */
void
caller_watch_stop (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (caller->close_watch == NULL)
    return;
  g_source_destroy (caller->close_watch);
  g_source_unref (caller->close_watch);
  caller->close_watch = NULL;
}
