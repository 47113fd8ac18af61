#include "edge/exchange.h"

#include "edge/poller.h"

#include <errno.h>
#include <poll.h>
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

/* Return whether the caller at the other end of SOCKET has closed the
   connection behind bytes that were not read.  FALSE if the system cannot
   tell.  */
static gboolean
is_hung_up (GSocket *socket)
{
  struct pollfd polled
      = { .fd = g_socket_get_fd (socket), .events = POLLRDHUP };

  return poll (&polled, 1, 0) > 0
         && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Return whether the caller of EXCHANGE has closed its connection.  */
gboolean
caller_watch_has_left (const struct exchange *exchange)
{
  GSocket *socket
      = soup_server_message_get_socket (exchange->source.u.caller.message);
  gboolean has_bytes = FALSE;

  return socket == NULL || is_closed (socket, &has_bytes)
         || (has_bytes && is_hung_up (socket));
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

/* Handle READY, the POLLER_ events of a caller's connection.  If the caller
   has closed it, the exchange is cancelled.  Once the caller has sent bytes of
   its next request, only a hang-up is waited for.  */
static void
on_ready (guint32 ready, gpointer data)
{
  struct exchange *exchange = data;
  struct source_caller *caller = &exchange->source.u.caller;
  GSocket *socket = soup_server_message_get_socket (caller->message);
  gboolean has_bytes = FALSE;

  if ((ready & POLLER_HANGUP) || socket == NULL
      || is_closed (socket, &has_bytes))
    caller_watch_cancel (exchange);
  else if (has_bytes)
    poller_set_events (caller->close_watch, POLLER_HANGUP);
}

/* Watch the caller's connection while its message is paused: libsoup does not
   read from it then and would not notice that the caller disconnects.  */
void
caller_watch_start (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  GSocket *socket = soup_server_message_get_socket (caller->message);

  if (socket == NULL || handle_is_set (caller->close_watch))
    return;
  caller->watched_socket = g_object_ref (socket);
  caller->close_watch = poller_add (
      g_socket_get_fd (socket), POLLER_IN | POLLER_HANGUP, on_ready, exchange);
  poller_report_first (caller->close_watch);
}

/* Stop watching the caller's connection, which libsoup may have closed.  */
void
caller_watch_stop (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (!handle_is_set (caller->close_watch))
    return;
  if (g_socket_is_closed (caller->watched_socket))
    poller_forget (caller->close_watch);
  else
    poller_remove (caller->close_watch);
  caller->close_watch = HANDLE_NONE;
  g_clear_object (&caller->watched_socket);
}
