#ifndef BAMBOOTALLY_CONN_IO_H
#define BAMBOOTALLY_CONN_IO_H

#include "edge/conn.h"

/* Reading and writing of a connection as its socket gets ready.  */

void conn_watch_in (struct conn *conn);
void conn_watch_out (struct conn *conn);
void conn_drop_source (GSource **source);
void conn_tell (struct conn *conn, enum conn_event_kind kind, enum err code);
void conn_fail (struct conn *conn, enum err code);

#endif
