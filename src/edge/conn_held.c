#include "edge/conn_io.h"

#include "edge/held_bytes.h"

#include <errno.h>
#include <sys/socket.h>

/* What connections hold, and the byte budget of the process.  */

/* Count the bytes that CONN holds now.  */
void
conn_count (struct conn *conn)
{
  gsize bytes
      = conn->receive_buffer->len + conn->send_buffer->len + conn->other_bytes;

  held_bytes_charge (conn->holder,
                     (gint64)bytes - (gint64)conn->counted_bytes);
  held_bytes_set_unread (conn->holder, conn->send_buffer->len > 0);
  conn->counted_bytes = bytes;
}

/* Count OTHER_BYTES that the owner holds for CONN outside its buffers.  */
void
conn_hold (struct conn *conn, gsize other_bytes)
{
  conn->other_bytes = other_bytes;
  conn_count (conn);
}

/* Treat CONN as a connection of a caller, which may be held back and closed
   for lack of room.  */
void
conn_of_caller (struct conn *conn)
{
  held_bytes_set_kind (conn->holder, BYTE_HOLDER_CALLER);
}

/* Poll for what is to be read.  */
void
conn_poll_reading (struct conn *conn)
{
  guint32 other = conn->poll_events & ~(POLLER_IN | POLLER_HANGUP);

  if (!conn->read_paused && !conn->held_back && conn->connected)
    conn_set_poll_events (conn, other | POLLER_IN);
  else
    conn_set_poll_events (conn,
                          other | (conn->watches_hangup ? POLLER_HANGUP : 0));
}

/* Read from CONN again, which was held back.  */
void
conn_resume (struct conn *conn)
{
  conn->held_back = FALSE;
  conn_poll_reading (conn);
}

/* Reset CONN for lack of room, and report CONN_CLOSED.  */
void
conn_drop (struct conn *conn)
{
  conn_discard (conn);
  conn_fail (conn, ERR_IO);
}
