#ifndef BAMBOOTALLY_CONN_H
#define BAMBOOTALLY_CONN_H

#include "types/address.h"
#include "types/err.h"
#include "types/handle.h"

#include <gio/gio.h>

/* A TCP connection on the main loop: a queue of bytes to send and a buffer of
   bytes received.  Nothing blocks.  */

/* What a connection tells its owner.  */
enum conn_event_kind
{
  CONN_CONNECTED, /* the connection has been made */
  CONN_RECEIVED,  /* there are bytes in conn->received */
  CONN_DRAINED,   /* all queued bytes were sent */
  CONN_CLOSED     /* it has ended; the owner lets go of it */
};

struct conn_event
{
  enum conn_event_kind kind;
  enum err code; /* with CONN_CLOSED: ERR_CLOSED if the other end has ended
                    it, ERR_IO if it broke, ERR_REFUSED if it was not made */
};

struct conn;

typedef void conn_event_fn (struct conn *conn, const struct conn_event *event,
                            gpointer data);

struct conn
{
  guint ref_count;            /* references held */
  GSocket *socket;            /* the socket, NULL once closed */
  struct handle poll_handle;  /* of the socket at the poller */
  guint32 poll_events;        /* POLLER_ bits that it is watched for */
  GByteArray *receive_buffer; /* bytes the owner has not taken yet */
  GByteArray *send_buffer;    /* bytes to send */
  gsize sent_bytes;           /* first byte of queued not sent yet */
  gboolean connected;         /* the connection has been made */
  gboolean read_paused;       /* nothing is read for now */
  gboolean any_sent;          /* at least one byte was sent */
  conn_event_fn *on_event;    /* told of events */
  gpointer data;              /* given to fn */
};

struct conn *conn_open (struct address to, conn_event_fn *fn, gpointer data);
struct conn *conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data);
void conn_set_callback (struct conn *conn, conn_event_fn *fn, gpointer data);
void conn_send (struct conn *conn, const guint8 *bytes, gsize length);
gsize conn_unsent (const struct conn *conn);
void conn_consume (struct conn *conn, gsize length);
void conn_pause (struct conn *conn, gboolean paused);
void conn_close (struct conn *conn);
void conn_unref (struct conn *conn);
GSocket *conn_listen (struct address at, enum err *code);

#endif
