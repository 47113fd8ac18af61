#ifndef BAMBOOTALLY_EVENT_H
#define BAMBOOTALLY_EVENT_H

#include "types/body_end.h"
#include "types/event_evacuations.h"
#include "types/heartbeat.h"
#include "types/key_order_result.h"
#include "types/mesh_msg.h"
#include "types/mesh_topic.h"
#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/routing.h"
#include "types/server_notice.h"
#include "types/view.h"

/* Events: what the edge tells the core.  The time of an event is passed beside
   the event.  */

enum event_kind
{
  EVENT_TICK,             /* the timer fired */
  EVENT_RECORDS,          /* records were read from the log or a peer */
  EVENT_LOG_FAILED,       /* a read of the log failed */
  EVENT_APPENDED,         /* an append to the log ended */
  EVENT_SERVER_UP,        /* the backend server registered */
  EVENT_SERVER_LOAD,      /* the backend server reported its load */
  EVENT_SERVER_DOWN,      /* the backend server cannot be reached */
  EVENT_REQUEST,          /* a request arrived */
  EVENT_ATTEMPT_ENDED,    /* an attempt to run a request ended */
  EVENT_BODY_ENDED,       /* the body of a request that was submitted ended */
  EVENT_DISCONNECTED,     /* a caller or peer closed its connection */
  EVENT_PEER_CALL,        /* another node called */
  EVENT_PEER_REPLY,       /* another node replied, or no reply came */
  EVENT_DRAIN,            /* the node must drain and leave the fleet */
  EVENT_SNAPSHOT_DECODED, /* a snapshot of the view was decoded */
  EVENT_SNAPSHOT_ENCODED, /* the view was encoded */
  EVENT_ROUTING,          /* mesh: a configuration was read */
  EVENT_FLEET_RECORDS,    /* mesh: records of the fleet were read */
  EVENT_TOPIC_READ,       /* mesh: a read of a topic ended */
  EVENT_STORE_APPENDED,   /* mesh: an append to the store ended */
  EVENT_HEARTBEAT,        /* mesh: the backend server sent a heartbeat */
  EVENT_DEREGISTER,       /* mesh: the backend server deregistered */
  EVENT_MESH_CALL,        /* mesh: another node called */
  EVENT_MESH_REPLY,       /* mesh: another node replied, or no reply came */
  EVENT_KEY_ORDER_ENDED,  /* mesh: a call for keys of the server ended */
  EVENT_EVACUATIONS       /* mesh: records of the operator's topic were read */
};

/* The timer fired.  */
struct event_tick
{
  guint32 pending_exchanges; /* requests, replies and appends that the edge has
                                not finished */
  gboolean input_may_follow; /* input that is ready already may be handled
                                after this event in the same turn of the
                                loop */
};

/* A record of the log with its offset.  */
struct log_entry
{
  guint64 offset;
  struct record record;
};

/* Records that were read, in order of offset.  */
struct event_records
{
  const struct log_entry *items; /* records that were read */
  guint32 count;                 /* number of items */
  guint64 next_offset;           /* offset after the last record read */
  guint64 first_retained; /* first offset that the log retains; 0: not known */
  gboolean at_end;   /* the log had no records after these when it was read */
  gboolean from_log; /* read from the log itself, not from a peer */
  gint64 started_at; /* when the read began, monotonic microseconds */
};

/* A read of the log failed.  */
struct event_log_failed
{
  enum err code; /* ERR_NOT_RETAINED if the offset is no longer retained */
  guint64 first_retained; /* with ERR_NOT_RETAINED: first offset retained */
};

/* An append to the log ended.  */
struct event_appended
{
  guint64 serial; /* serial of the record */
  enum err code;  /* ERR_INDETERMINATE if the record may be on the log */
  guint64 offset; /* with ERR_NONE: offset of the record */
};

/* The backend server registered.  */
struct event_server_up
{
  char server[NAME_SIZE]; /* name of the server */
  guint32 slots;          /* requests that the server runs at once */
  gboolean checks_fences; /* the server refuses requests with old fences */
};

/* The backend server reported its load.  */
struct event_server_load
{
  guint32 busy_slots;   /* slots in use */
  guint32 queued;       /* requests queued inside the server */
  guint32 slow_percent; /* how long work takes now, in percent of the usual;
                           0: the server does not say */
  gint64 measured_at; /* when the load was measured, monotonic microseconds */
};

/* The backend server cannot be reached.  */
struct event_server_down
{
  gboolean not_listening; /* nothing listens there: the process has ended */
};

/* A request arrived.  */
struct event_request
{
  struct handle exchange; /* handle of the HTTP exchange in the edge */
  struct request request; /* request as the core sees it */
  const char *host;       /* Host header of the request, or NULL */
  const char *target;     /* path and query of the request */
  gint64 body_length;     /* bytes in the body; -1: not known */
};

/* An attempt to run a request ended.  */
/* Lowest HTTP status that is a server error.  */
#define HTTP_STATUS_SERVER_ERROR 500u

struct event_attempt_ended
{
  struct handle exchange;    /* HTTP exchange of the request */
  enum outcome outcome;      /* how the attempt ended */
  enum reason reason;        /* why the attempt ended so */
  gboolean body_replayable;  /* the body can be sent again from its start */
  struct stamp stamp;        /* stamp that the other node offered */
  guint32 retry_after_msec;  /* advice when to retry, milliseconds; 0: none */
  guint32 http_status;       /* HTTP status of a complete answer; 0: none */
  gboolean response_started; /* the caller was sent a part of the answer */
  gboolean has_load;         /* load holds a report of the other node */
  struct load_report load;   /* load that the other node reported */
  gboolean has_notice;       /* notice holds what the local server said */
  struct server_notice notice; /* notice in the local server's answer */
};

/* The caller or the peer of a request closed its connection.  */
struct event_disconnected
{
  struct handle exchange;
};

/* The body of a request ended after the request was submitted.  */
struct event_body_ended
{
  struct handle exchange; /* HTTP exchange of the request */
  enum body_end end;      /* how it ended */
  gint64 stated_bytes;    /* bytes that the sender stated, -1: none stated */
  guint64 received_bytes; /* bytes that were received */
  guint64 dropped_bytes;  /* of these, bytes that were dropped */
  gboolean has_digest;    /* the body is whole, and its digest known */
  guint64 digest;         /* digest of the body */
};

/* Another node called.  */
struct event_peer_call
{
  struct handle link;    /* connection to reply on */
  guint32 xid;           /* id of the call on that connection */
  struct peer_call body; /* arguments of the call */
};

/* Another node replied.  */
struct event_peer_reply
{
  guint64 serial;           /* id of the call */
  guint64 peer_incarnation; /* incarnation that was called */
  struct peer_reply body;   /* result, an error if no reply came */
};

/* A snapshot was decoded.  The view is NULL if the bytes are malformed.  */
struct event_snapshot_decoded
{
  struct view *view; /* decoded view, given to the core, or NULL */
};

/* The view was encoded.  */
struct event_snapshot_encoded
{
  guint64 snapshot_offset; /* all records below this offset are included */
  const guint8 *bytes;     /* encoded view */
  guint32 length;          /* length of bytes; 0: the view is too large */
};

/* A configuration was read; the core takes ownership of it.  */
struct event_routing
{
  struct routing *routing;
  gboolean from_store; /* this node read it from the store itself */
};

/* Records of the fleet were read.  */
struct event_fleet_records
{
  const struct fleet_entry *items; /* records, in no particular order */
  guint32 count;                   /* number of items */
  guint64 next_offset; /* all records below this offset are now known */
  gboolean complete;   /* no record below next_offset is left out */
  gboolean at_end; /* the store had no records after these when it was read */
  gint64 started_at; /* when the read began, monotonic microseconds */
};

/* A read of a topic ended; what it brought was passed on before.  */
struct event_topic_read
{
  enum mesh_topic topic; /* topic that was read */
  enum err code;         /* ERR_NONE, or why the read failed */
  gboolean at_end;       /* the store had nothing after what was read */
  gint64 started_at;     /* when the read began, monotonic microseconds */
};

/* An append to the store ended.  */
struct event_store_appended
{
  guint64 serial; /* id of the append */
  enum err code; /* ERR_CONFLICT: the topic did not end at the expected offset;
                    ERR_INDETERMINATE: the append may have taken effect */
  guint64 offset;    /* with ERR_NONE: offset of the record */
  guint64 topic_end; /* with ERR_CONFLICT: end of the topic; 0: not known */
};

/* The backend server sent a heartbeat.  */
struct event_heartbeat
{
  guint32 call_id; /* id of the HTTP call, repeated in the answer */
  const struct heartbeat *heartbeat; /* content of the heartbeat */
};

/* A backend server deregistered.  */
struct event_deregister
{
  guint32 call_id;           /* id of the HTTP call, repeated in the answer */
  char server_id[NAME_SIZE]; /* name of the server */
  gint64 at_msec;            /* when it did so, milliseconds since 1970 */
};

/* Another node of the mesh called.  */
struct event_mesh_call
{
  struct handle link;           /* connection to reply on */
  guint32 xid;                  /* id of the call on that connection */
  const struct mesh_call *call; /* arguments of the call */
};

/* Another node of the mesh replied.  */
struct event_mesh_reply
{
  guint64 serial;                 /* id of the call */
  struct handle member;           /* member that was called */
  const struct mesh_reply *reply; /* result, an error if no reply came */
  gint64
      received_at; /* when the reply came, before its contents were applied */
};

/* An event with its data.  */
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
    struct event_attempt_ended attempt_ended;
    struct event_body_ended body_ended;
    struct event_disconnected disconnected;
    struct event_peer_call peer_call;
    struct event_peer_reply peer_reply;
    struct event_snapshot_decoded snapshot_decoded;
    struct event_snapshot_encoded snapshot_encoded;
    struct event_routing routing;
    struct event_fleet_records fleet_records;
    struct event_topic_read topic_read;
    struct event_store_appended store_appended;
    struct event_heartbeat heartbeat;
    struct event_deregister deregister;
    struct event_mesh_call mesh_call;
    struct event_mesh_reply mesh_reply;
    struct key_order_result key_order_ended;
    struct event_evacuations evacuations;
  } u;
};

#endif
