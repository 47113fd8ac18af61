#ifndef BAMBOOTALLY_EVENT_H
#define BAMBOOTALLY_EVENT_H

#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/view.h"

/* What the core is told.  The time comes beside the event.  */

enum event_kind
{
  EVENT_TICK,          /* time has passed */
  EVENT_RECORDS,       /* records were read from the log or a peer */
  EVENT_LOG_FAILED,    /* a read of the log failed */
  EVENT_APPENDED,      /* an append ended */
  EVENT_SERVER_UP,     /* the backend server announced itself */
  EVENT_SERVER_LOAD,   /* the backend server reported its load */
  EVENT_SERVER_DOWN,   /* the backend server cannot be reached */
  EVENT_REQUEST,       /* a request arrived */
  EVENT_ENDED,         /* an attempt ended */
  EVENT_GONE,          /* the caller or peer of a request went away */
  EVENT_PEER_CALL,     /* another node calls */
  EVENT_PEER_REPLY,    /* another node replied, or failed to */
  EVENT_DRAIN,         /* leave gracefully */
  EVENT_SNAPSHOT,      /* a snapshot of the view was decoded */
  EVENT_SNAPSHOT_BYTES /* the view was encoded */
};

/* The timer.  */
struct event_tick
{
  guint32 exchanges; /* requests, and replies unsent, in the edge's hands */
};

/* One record where it stands on the log.  */
struct log_entry
{
  guint64 offset;
  struct record record;
};

/* Records read, in order of offset.  */
struct event_records
{
  const struct log_entry *items; /* the records */
  guint32 count;                 /* how many */
  guint64 next;                  /* offset after the last one read */
  guint64 first;                 /* first offset retained, 0 if not known */
  gboolean at_tail;              /* nothing was behind them when read */
  gboolean from_log;             /* read from the log, not from a peer */
  gint64 begun;                  /* when the read began, monotonic usec */
};

/* A failed read.  */
struct event_log_failed
{
  enum err code; /* ERR_GONE if the offset is no longer retained */
  guint64 first; /* with ERR_GONE: first offset still retained */
};

/* An append that ended.  */
struct event_appended
{
  guint64 serial; /* serial of the record */
  enum err code;  /* ERR_EFFECT if it may be on the log */
  guint64 offset; /* where it stands, with ERR_NONE */
};

/* What a backend server says of itself.  */
struct event_server_up
{
  char server[NAME_SIZE]; /* its name */
  guint32 slots;          /* requests it runs at once */
  gboolean checks_fences; /* refuses old fences */
};

/* What a backend server says of its load.  */
struct event_server_load
{
  guint32 busy;    /* slots in use */
  guint32 queued;  /* requests that wait in the server */
  gint64 measured; /* when it was measured, monotonic usec */
};

/* A backend server that cannot be reached.  */
struct event_server_down
{
  gboolean gone; /* nothing listens at its address: it has died */
};

/* A request that arrived.  */
struct event_request
{
  struct handle exchange; /* the edge's name for it */
  struct request request; /* what it is */
  const char *host;       /* host that the caller named, or NULL */
  const char *target;     /* path and query */
};

/* The end of an attempt.  */
struct event_ended
{
  struct handle exchange; /* the request */
  enum outcome outcome;   /* how it ended */
  enum reason reason;     /* why */
  gboolean replayable;    /* the body can be sent again from its start */
  struct stamp stamp;     /* stamp that the other node offered */
  guint32 retry_msec;     /* its advice when to try again, 0 for none */
};

/* A request whose caller went away.  */
struct event_gone
{
  struct handle exchange;
};

/* A call from another node.  */
struct event_peer_call
{
  struct handle call;    /* connection it came on, used in the reply */
  guint32 xid;           /* its number there */
  struct peer_call body; /* what it says */
};

/* The reply of another node.  */
struct event_peer_reply
{
  guint64 serial;         /* serial of the call */
  guint64 peer;           /* incarnation that was called */
  struct peer_reply body; /* code is set when no answer came */
};

/* A snapshot that was decoded.  */
struct event_snapshot
{
  struct view *view; /* the view, which the core takes over; NULL if the bytes
                        do not decode */
};

/* The view as bytes.  */
struct event_snapshot_bytes
{
  guint64 offset;      /* all records below this are in it */
  const guint8 *bytes; /* encoded view */
  guint32 length;      /* bytes, 0 if it cannot be encoded */
};

/* An event.  */
struct event
{
  enum event_kind kind;
  union
  {
    struct event_tick tick;
    struct event_records records;
    struct event_log_failed log_failed;
    struct event_appended appended;
    struct event_server_up server_up;
    struct event_server_load server_load;
    struct event_server_down server_down;
    struct event_request request;
    struct event_ended ended;
    struct event_gone gone;
    struct event_peer_call peer_call;
    struct event_peer_reply peer_reply;
    struct event_snapshot snapshot;
    struct event_snapshot_bytes snapshot_bytes;
  } u;
};

#endif
