#ifndef BAMBOOTALLY_EVENT_H
#define BAMBOOTALLY_EVENT_H

#include "types/heartbeat.h"
#include "types/mesh_msg.h"
#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/routing.h"
#include "types/view.h"

/* What the core is told.  The time comes beside the event.  */

enum event_kind
{
  EVENT_TICK,             /* time has passed */
  EVENT_RECORDS,          /* records were read from the log or a peer */
  EVENT_LOG_FAILED,       /* a read of the log failed */
  EVENT_APPENDED,         /* an append ended */
  EVENT_SERVER_UP,        /* the backend server announced itself */
  EVENT_SERVER_LOAD,      /* the backend server reported its load */
  EVENT_SERVER_DOWN,      /* the backend server cannot be reached */
  EVENT_REQUEST,          /* a request arrived */
  EVENT_ATTEMPT_ENDED,    /* an attempt ended */
  EVENT_DISCONNECTED,     /* the caller or peer of a request went away */
  EVENT_PEER_CALL,        /* another node calls */
  EVENT_PEER_REPLY,       /* another node replied, or failed to */
  EVENT_DRAIN,            /* leave gracefully */
  EVENT_SNAPSHOT_DECODED, /* a snapshot of the view was decoded */
  EVENT_SNAPSHOT_ENCODED, /* the view was encoded */
  EVENT_ROUTING,          /* mesh: a configuration was read */
  EVENT_FLEET_RECORDS,    /* mesh: records of the fleet were read */
  EVENT_STORE_STATE,      /* mesh: the store was lost or is back */
  EVENT_STORE_APPENDED,   /* mesh: an append ended */
  EVENT_HEARTBEAT,        /* mesh: the backend server sent a beat */
  EVENT_DEREGISTER,       /* mesh: the backend server says goodbye */
  EVENT_MESH_CALL,        /* mesh: another node calls */
  EVENT_MESH_REPLY        /* mesh: another node replied, or failed to */
};

/* The timer.  */
struct event_tick
{
  guint32 pending_exchanges; /* requests, and replies unsent, in the edge's
                                hands */
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
  guint64 next_offset;           /* offset after the last one read */
  guint64 first_retained;        /* first offset retained, 0 if not known */
  gboolean at_end;               /* nothing was behind them when read */
  gboolean from_log;             /* read from the log, not from a peer */
  gint64 started_at;             /* when the read began, monotonic usec */
};

/* A failed read.  */
struct event_log_failed
{
  enum err code; /* ERR_NOT_RETAINED if the offset is no longer retained */
  guint64
      first_retained; /* with ERR_NOT_RETAINED: first offset still retained */
};

/* An append that ended.  */
struct event_appended
{
  guint64 serial; /* serial of the record */
  enum err code;  /* ERR_INDETERMINATE if it may be on the log */
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
  guint32 busy_slots; /* slots in use */
  guint32 queued;     /* requests that wait in the server */
  gint64 measured_at; /* when it was measured, monotonic usec */
};

/* A backend server that cannot be reached.  */
struct event_server_down
{
  gboolean not_listening; /* nothing listens at its address: it has died */
};

/* A request that arrived.  */
struct event_request
{
  struct handle exchange; /* the edge's name for it */
  struct request request; /* what it is */
  const char *host;       /* host that the caller named, or NULL */
  const char *target;     /* path and query */
  gint64 body_length;     /* bytes in its body, -1 if not known */
};

/* The end of an attempt.  */
#define HTTP_STATUS_SERVER_ERROR                                              \
  500u /* least HTTP status of a server's failure */

struct event_attempt_ended
{
  struct handle exchange;    /* the request */
  enum outcome outcome;      /* how it ended */
  enum reason reason;        /* why */
  gboolean body_replayable;  /* the body can be sent again from its start */
  struct stamp stamp;        /* stamp that the other node offered */
  guint32 retry_after_msec;  /* its advice when to try again, 0 for none */
  guint32 http_status;       /* HTTP status of a whole answer, 0: none */
  gboolean response_started; /* the caller has got some of the answer */
  gboolean has_load;         /* the other node told how busy it is */
  struct load_report load;   /* what it told */
};

/* A request whose caller went away.  */
struct event_disconnected
{
  struct handle exchange;
};

/* A call from another node.  */
struct event_peer_call
{
  struct handle link;    /* connection it came on, used in the reply */
  guint32 xid;           /* its number there */
  struct peer_call body; /* what it says */
};

/* The reply of another node.  */
struct event_peer_reply
{
  guint64 serial;           /* serial of the call */
  guint64 peer_incarnation; /* incarnation that was called */
  struct peer_reply body;   /* code is set when no answer came */
};

/* A snapshot that was decoded.  */
struct event_snapshot_decoded
{
  struct view *view; /* the view, which the core takes over; NULL if the bytes
                        do not decode */
};

/* The view as bytes.  */
struct event_snapshot_encoded
{
  guint64 snapshot_offset; /* all records below this are in it */
  const guint8 *bytes;     /* encoded view */
  guint32 length;          /* bytes, 0 if it cannot be encoded */
};

/* A configuration that was read; the core takes it over.  */
struct event_routing
{
  struct routing *routing;
};

/* Records of the fleet that were read.  */
struct event_fleet_records
{
  const struct fleet_entry *items; /* the records, in no order */
  guint32 count;                   /* how many */
  guint64 next_offset;             /* all records below this are known then */
  gboolean complete;               /* they are all that was not known below
                                      next */
  gboolean at_end;                 /* the store held nothing after them */
  gint64 started_at;               /* when the read began, microseconds */
};

/* Whether the store answers.  */
struct event_store_state
{
  gboolean unreachable; /* else it answers again */
};

/* An append that ended.  */
struct event_store_appended
{
  guint64 serial; /* of the append */
  enum err code;  /* ERR_CONFLICT: the topic did not end there;
                     ERR_INDETERMINATE: it  may have taken effect */
  guint64 offset; /* where the record stands, with ERR_NONE */
  guint64
      topic_end; /* where the topic ends, with ERR_CONFLICT, 0: not known */
};

/* A beat of the backend server.  */
struct event_heartbeat
{
  guint32 call_id;                   /* comes back with the answer */
  const struct heartbeat *heartbeat; /* what it says */
};

/* A goodbye of a backend server.  */
struct event_deregister
{
  guint32 call_id;           /* comes back with the answer */
  char server_id[NAME_SIZE]; /* its name */
};

/* A call from another node.  */
struct event_mesh_call
{
  struct handle link;           /* connection it came on, used in the reply */
  guint32 xid;                  /* its number there */
  const struct mesh_call *call; /* what it says */
};

/* The reply of another node.  */
struct event_mesh_reply
{
  guint64 serial;                 /* serial of the call */
  struct handle member;           /* member that was called */
  const struct mesh_reply *reply; /* code is set when no answer came */
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
    struct event_attempt_ended ended;
    struct event_disconnected gone;
    struct event_peer_call peer_call;
    struct event_peer_reply peer_reply;
    struct event_snapshot_decoded snapshot;
    struct event_snapshot_encoded snapshot_encoded;
    struct event_routing routing;
    struct event_fleet_records fleet;
    struct event_store_state store;
    struct event_store_appended stored;
    struct event_heartbeat heartbeat;
    struct event_deregister deregister;
    struct event_mesh_call mesh_call;
    struct event_mesh_reply mesh_reply;
  } u;
};

#endif
