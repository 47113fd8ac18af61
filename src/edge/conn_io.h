#ifndef BAMBOOTALLY_CONN_IO_H
#define BAMBOOTALLY_CONN_IO_H

#include "edge/conn.h"
#include "edge/poller.h"

/* Nonblocking reads and writes of a connection, driven by the poller.  */

void conn_set_poll_events (struct conn *conn, guint32 wanted);
void conn_poll_reading (struct conn *conn);
void conn_count (struct conn *conn);
void conn_notify (struct conn *conn, enum conn_event_kind kind, enum err code);
void conn_fail (struct conn *conn, enum err code);

#endif
