#ifndef BAMBOOTALLY_CONN_H
#define BAMBOOTALLY_CONN_H

#include "types/address.h"
#include "types/err.h"
#include "types/handle.h"

#include <gio/gio.h>

/* A TCP connection on the main loop, with a send buffer and a receive buffer.
   No function blocks.  */

/* Events of a connection.  */
enum conn_event_kind
{
  CONN_CONNECTED, /* the connection was established */
  CONN_RECEIVED,  /* new bytes are in the receive buffer */
  CONN_DRAINED,   /* all queued bytes were sent */
  CONN_CLOSED     /* the connection ended; the owner must call conn_close */
};

struct conn_event
{
  enum conn_event_kind kind;
  enum err code; /* with CONN_CLOSED: ERR_CLOSED if the other end closed it in
                    order, with all that was sent acknowledged; ERR_IO after
                    a failed read or send, or with bytes sent that the other
                    end does not read any more; ERR_REFUSED if
                    it could not be established */
};

struct conn;

typedef void conn_event_fn (struct conn *conn, const struct conn_event *event,
                            gpointer data);

struct conn
{
  guint ref_count;           /* reference count */
  GSocket *socket;           /* the socket, NULL once closed */
  struct handle poll_handle; /* registration of the socket with the poller */
  guint32 poll_events;       /* POLLER_ events that the socket is polled for */
  GByteArray *receive_buffer; /* bytes not consumed by the owner */
  GByteArray *send_buffer;    /* bytes to send */
  gsize sent_bytes;           /* bytes of send_buffer that were sent */
  guint64 queued_bytes;       /* bytes passed to conn_send and not withdrawn */
  gboolean connected;         /* the connection is established */
  gboolean read_paused;       /* reading is suspended */
  gboolean watches_hangup;    /* a close by the other end is reported while
                                 reading is suspended */
  gboolean reads_all;         /* all that has arrived is read before it is
                                 reported, up to a limit */
  gboolean held_back;         /* reading is stopped by the byte budget */
  struct handle holder;       /* what counts the bytes of the connection */
  gsize counted_bytes;        /* bytes that it counts in the buffers */
  gsize other_bytes;          /* bytes that the owner holds for it */
  gboolean any_sent;          /* at least one byte was sent */
  gboolean is_discarded;      /* what was not delivered is dropped */
  conn_event_fn *on_event;    /* receives the events */
  gpointer data;              /* passed to the callback */
};

struct conn *conn_open (struct address to, conn_event_fn *fn, gpointer data);
struct conn *conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data);
void conn_set_callback (struct conn *conn, conn_event_fn *fn, gpointer data);
void conn_send (struct conn *conn, const guint8 *bytes, gsize length);
gsize conn_unsent (const struct conn *conn);
gsize conn_undelivered (const struct conn *conn);
gboolean conn_has_undelivered (const struct conn *conn);
gboolean conn_withdraw (struct conn *conn, guint64 position, gsize length);
void conn_consume (struct conn *conn, gsize length);
void conn_pause (struct conn *conn, gboolean paused);
void conn_hold (struct conn *conn, gsize other_bytes);
void conn_of_caller (struct conn *conn);
void conn_resume (struct conn *conn);
void conn_drop (struct conn *conn);
void conn_watch_hangup (struct conn *conn);
gboolean conn_has_hung_up (const struct conn *conn);
void conn_report_first (struct conn *conn, gboolean is_first);
void conn_end_sending (struct conn *conn);
void conn_close (struct conn *conn);
void conn_discard (struct conn *conn);
void conn_reset (struct conn *conn);
void conn_abort (struct conn *conn);
void conn_unref (struct conn *conn);
GSocket *conn_listen (struct address at, enum err *code);

#endif
