#include "edge/conn.h"

#include "edge/poller.h"

#include <poll.h>
#include <sys/socket.h>

/* Connections whose other end is watched for a close.  */

/* Report a close by the other end of CONN also while reading is suspended,
   with CONN_CLOSED, though bytes before it may not have been read.  */
void
conn_watch_hangup (struct conn *conn)
{
  conn->watches_hangup = TRUE;
  conn_pause (conn, conn->read_paused);
}

/* Return whether the other end of CONN has closed the connection or its
   sending half, also behind bytes that were not read.  FALSE if the system
   cannot tell.  */
gboolean
conn_has_hung_up (const struct conn *conn)
{
  struct pollfd polled = { .events = POLLRDHUP };

  if (conn->socket == NULL)
    return TRUE;
  polled.fd = g_socket_get_fd (conn->socket);
  return poll (&polled, 1, 0) > 0
         && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Report the events of CONN before those of other descriptors that are ready
   with it if IS_FIRST, else with them.  */
void
conn_report_first (struct conn *conn, gboolean is_first)
{
  poller_report_first (conn->poll_handle, is_first);
}

/* End the sending half of CONN, all of whose bytes were sent.  */
void
conn_end_sending (struct conn *conn)
{
  if (conn->socket != NULL)
    g_socket_shutdown (conn->socket, FALSE, TRUE, NULL);
}
