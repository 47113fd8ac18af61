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
  CONN_OPENED,   /* the connection has been made */
  CONN_RECEIVED, /* there are bytes in conn->received */
  CONN_DRAINED,  /* all queued bytes were sent */
  CONN_CLOSED    /* it has ended; the owner lets go of it */
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
  guint refs;           /* references held */
  GSocket *socket;      /* the socket, NULL once closed */
  struct handle watch;  /* of the socket at the poller */
  guint32 wanted;       /* POLLER_ bits that it is watched for */
  GByteArray *received; /* bytes the owner has not taken yet */
  GByteArray *queued;   /* bytes to send */
  gsize queued_at;      /* first byte of queued not sent yet */
  gboolean opened;      /* the connection has been made */
  gboolean paused;      /* nothing is read for now */
  gboolean sent;        /* at least one byte was sent */
  conn_event_fn *fn;    /* told of events */
  gpointer data;        /* given to fn */
};

struct conn *conn_open (struct address to, conn_event_fn *fn, gpointer data);
struct conn *conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data);
void conn_watch (struct conn *conn, conn_event_fn *fn, gpointer data);
void conn_send (struct conn *conn, const guint8 *bytes, gsize length);
gsize conn_unsent (const struct conn *conn);
void conn_take (struct conn *conn, gsize length);
void conn_pause (struct conn *conn, gboolean paused);
void conn_close (struct conn *conn);
void conn_unref (struct conn *conn);
GSocket *conn_listen (struct address at, enum err *code);

#endif
