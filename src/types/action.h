#ifndef BAMBOOTALLY_ACTION_H
#define BAMBOOTALLY_ACTION_H

#include "types/heartbeat.h"
#include "types/key_order.h"
#include "types/mesh_msg.h"
#include "types/mesh_topic.h"
#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/log_event.h"

/* Actions: what the core asks the edge to do.  */

enum action_kind
{
  ACTION_APPEND,          /* append a record to the log */
  ACTION_PEER_CALL,       /* call another node */
  ACTION_PEER_REPLY,      /* reply to a call from another node */
  ACTION_FORWARD,         /* forward a request to another node */
  ACTION_RUN,             /* send a request to the backend server */
  ACTION_ANSWER,          /* end a request with an outcome and an empty body */
  ACTION_CANCEL,          /* cancel the running attempt of a request */
  ACTION_LOG_EVENT,       /* write a log event */
  ACTION_READ_LOG,        /* read records from the log or from a peer */
  ACTION_SNAPSHOT_ENCODE, /* encode the view as a snapshot */
  ACTION_SNAPSHOT_DECODE, /* decode a snapshot of the view */
  ACTION_SNAPSHOT_REPLY,  /* reply to a peer with one page of a snapshot */
  ACTION_DROP_CONNECTIONS, /* drop the connections to a peer or the server */
  ACTION_EXIT,             /* end the process: the node has left the fleet */
  ACTION_STORE_APPEND,     /* mesh: append a record to the store */
  ACTION_READ_TOPIC,       /* mesh: read a topic of the store to its end */
  ACTION_HEARTBEAT_ANSWER, /* mesh: answer a heartbeat or a deregistration */
  ACTION_REMOTE_APPEND,    /* mesh: ask another node to append a record */
  ACTION_MESH_CALL,        /* mesh: call another node */
  ACTION_MESH_REPLY,       /* mesh: reply to a call from another node */
  ACTION_MESH_FETCH_REPLY, /* mesh: reply with records and the configuration */
  ACTION_APPEND_FOR_PEER,  /* mesh: append for another node, then reply */
  ACTION_KEY_ORDER         /* mesh: grant the server keys or take them back */
};

/* Append a record.  The action owns the record.  */
struct action_append
{
  struct record record;
};

/* Call another node.  */
struct action_peer_call
{
  guint64 serial;           /* id of the call, repeated in its reply */
  guint64 peer_incarnation; /* incarnation that is called */
  struct address address;   /* address that the peer listens on */
  gint64 deadline;       /* when the call times out, monotonic microseconds */
  struct peer_call body; /* arguments of the call */
};

/* Reply to a call from another node.  */
struct action_peer_reply
{
  struct handle link;     /* connection that the call came on */
  guint32 xid;            /* id of the call on that connection */
  struct peer_reply body; /* result; the action owns its bytes */
};

/* Forward a request to another node.  */
struct action_forward
{
  struct handle exchange;        /* HTTP exchange of the request */
  guint64 peer_incarnation;      /* incarnation of the owner's node */
  struct address address;        /* address that the node listens on */
  struct address caller_address; /* address for callers, sent as a hint */
  struct request request;        /* request to send */
  struct fence fence;            /* highest fence known to this node */
  gboolean withholds_end;        /* the last byte of the body is not sent
                                    before it is known that the body ended */
};

/* Send a request to the backend server.  */
struct action_run
{
  struct handle exchange; /* HTTP exchange of the request */
  guint64 attempt_id;     /* id that the server repeats in its answer */
  guint32 slice;          /* slice of the key in this node's view */
  struct fence fence;     /* fencing token of the slice */
  gint64 deadline;        /* when the attempt times out, monotonic usec */
  struct stamp stamp;     /* stamp to return to the caller */
  char server[NAME_SIZE]; /* name of the intended server, empty for any */
  gboolean withholds_end; /* the last byte of the body is not sent before it is
                             known that the body ended */
};

/* End a request with an outcome.  */
struct action_answer
{
  struct handle exchange;   /* HTTP exchange of the request */
  enum outcome outcome;     /* how the request ended */
  enum reason reason;       /* why the request ended so */
  struct stamp stamp;       /* stamp to retry under, if one is offered */
  guint32 retry_after_msec; /* advice when to retry, milliseconds; 0: none */
};

/* Cancel the running attempt of a request.  */
struct action_cancel
{
  struct handle exchange;
};

/* Read records from an offset.  */
struct action_read_log
{
  guint64 offset;           /* first offset to read */
  gboolean from_peer;       /* read from a peer instead of the log */
  guint64 peer_incarnation; /* incarnation of that peer */
  struct address address;   /* address that the peer listens on */
};

/* Decode a snapshot; EVENT_SNAPSHOT_DECODED brings the view.  */
struct action_snapshot_decode
{
  guint32 length; /* length of bytes */
  guint8 *bytes;  /* encoded view, allocated by g_malloc; the action owns it */
};

/* Reply to PEER_FETCH with one page of a snapshot.  */
struct action_snapshot_reply
{
  struct handle link;      /* connection that the call came on */
  guint32 xid;             /* id of the call on that connection */
  guint64 snapshot_offset; /* requested snapshot; 0: the current view */
  guint32 position; /* offset of the requested page in the snapshot, bytes */
};

/* Retire the connection to a peer, or close the idle connections to the
   backend server.  */
struct action_drop_connections
{
  guint64 peer_incarnation; /* incarnation; 0: the backend server */
};

/* End the process; the node has left the fleet.  */
struct action_exit
{
  gboolean restart; /* start again under a new incarnation */
};

/* Append a record to the store.  The action owns the record.  */
struct action_store_append
{
  guint64 serial;             /* id of the append, repeated in its result */
  guint64 expected_end;       /* offset that the topic must end at */
  struct fleet_record record; /* record to append */
};

/* Read a topic of the store to its end, without a wait for records.  */
struct action_read_topic
{
  enum mesh_topic topic; /* topic to read */
  gboolean newest_only;  /* of each key only the newest record is of use */
};

/* Ask another node to append a record.  The action owns the record.  */
struct action_remote_append
{
  guint64 serial;         /* id of the append, repeated in its result */
  guint64 expected_end;   /* offset that the topic must end at */
  struct handle member;   /* member that is asked */
  struct address address; /* address that the member listens on */
  gint64 deadline;        /* when the call times out, monotonic microseconds */
  struct fleet_record record; /* record to append */
};

/* Answer a heartbeat or a deregistration.  The action owns the answer.  */
struct action_heartbeat_answer
{
  guint32 call_id;                 /* id of the HTTP call to answer */
  enum err code;                   /* ERR_NONE, or why the call is refused */
  struct heartbeat_answer *answer; /* key ranges of the server, or NULL */
};

/* Call another node of the mesh.  */
struct action_mesh_call
{
  guint64 serial;         /* id of the call, repeated in its reply */
  struct handle member;   /* member that is called */
  struct address address; /* address that the member listens on */
  gint64 deadline;        /* when the call times out, monotonic microseconds */
  struct mesh_call call;  /* arguments of the call */
};

/* Reply to a call from another node of the mesh.  */
struct action_mesh_reply
{
  struct handle link;      /* connection that the call came on */
  guint32 xid;             /* id of the call on that connection */
  struct mesh_reply reply; /* result of the call */
};

/* Reply with the records and the configuration that another node lacks.  */
struct action_mesh_fetch_reply
{
  struct handle link;      /* connection that the call came on */
  guint32 xid;             /* id of the call on that connection */
  struct mesh_fetch fetch; /* what the other node has */
};

/* Append a record for another node and reply with the result.  */
struct action_append_for_peer
{
  struct handle link;        /* connection that the call came on */
  guint32 xid;               /* id of the call on that connection */
  struct mesh_append append; /* record to append; the action owns its bytes */
};

/* Make a call that grants the backend server keys or takes them back.  */
struct action_key_order
{
  guint64 serial;         /* id of the call, repeated in its result */
  gint64 deadline;        /* when the call times out, monotonic microseconds */
  struct key_order order; /* the call */
};

/* An action with its arguments.  */
struct action
{
  enum action_kind kind;
  union
  {
    struct action_append append;
    struct action_peer_call peer_call;
    struct action_peer_reply peer_reply;
    struct action_forward forward;
    struct action_run run;
    struct action_answer answer;
    struct action_cancel cancel;
    struct action_read_log read_log;
    struct action_snapshot_decode snapshot_decode;
    struct action_snapshot_reply snapshot_reply;
    struct action_drop_connections drop_connections;
    struct action_exit exit;
    struct log_event log_event;
    struct action_store_append store_append;
    struct action_read_topic read_topic;
    struct action_remote_append remote_append;
    struct action_heartbeat_answer heartbeat_answer;
    struct action_mesh_call mesh_call;
    struct action_mesh_reply mesh_reply;
    struct action_mesh_fetch_reply mesh_fetch_reply;
    struct action_append_for_peer append_for_peer;
    struct action_key_order key_order;
  } u;
};

/* Actions, in the order in which they must be done.  */
struct actions
{
  GArray *items; /* struct action */
};

void actions_init (struct actions *actions);
void actions_clear (struct actions *actions);
void actions_remove_all (struct actions *actions);
struct action *actions_add (struct actions *actions, enum action_kind kind);
const struct action *actions_at (const struct actions *actions, guint i);

#endif
