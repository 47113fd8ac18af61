#ifndef BAMBOOTALLY_ACTION_H
#define BAMBOOTALLY_ACTION_H

#include "types/heartbeat.h"
#include "types/mesh_msg.h"
#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/log_event.h"

/* What the core wants done.  */

enum action_kind
{
  ACTION_APPEND,            /* append a record to the log */
  ACTION_PEER_CALL,         /* call another node */
  ACTION_PEER_REPLY,        /* reply to another node's call */
  ACTION_FORWARD,           /* pass a request on to another node */
  ACTION_RUN,               /* have the backend server run a request */
  ACTION_ANSWER,            /* end a request with an outcome and no body */
  ACTION_CANCEL,            /* stop the attempt of a request */
  ACTION_LOG_EVENT,         /* log a numbered event */
  ACTION_READ_LOG,          /* read the log, or a peer, from an offset */
  ACTION_SNAPSHOT_ENCODE,   /* encode the view */
  ACTION_SNAPSHOT_DECODE,   /* decode a snapshot of the view */
  ACTION_SNAPSHOT_REPLY,    /* reply to a fetch with a page of the view */
  ACTION_PROBE_CONNECTIONS, /* probe and replace connections to a peer */
  ACTION_EXIT,              /* the node has left */
  ACTION_STORE_APPEND,      /* mesh: append a record to the store */
  ACTION_READ_TOPIC_ENDS,   /* mesh: read the ends of the topics */
  ACTION_HEARTBEAT_ANSWER,  /* mesh: answer a beat or a goodbye */
  ACTION_REMOTE_APPEND,     /* mesh: have another node append a record */
  ACTION_MESH_CALL,         /* mesh: call another node */
  ACTION_MESH_REPLY,        /* mesh: reply to another node's call */
  ACTION_MESH_FETCH_REPLY,  /* mesh: reply with records and configuration */
  ACTION_APPEND_FOR_PEER    /* mesh: append for another node and reply */
};

/* Append a record.  The record belongs to the action.  */
struct action_append
{
  struct record record;
};

/* Call another node.  */
struct action_peer_call
{
  guint64 serial;           /* comes back with the reply */
  guint64 peer_incarnation; /* incarnation */
  struct address address;   /* where it listens */
  gint64 deadline;          /* when to give up, monotonic usec */
  struct peer_call body;    /* what to say */
};

/* Reply to a call.  */
struct action_peer_reply
{
  struct handle link;     /* connection the call came on */
  guint32 xid;            /* its number there */
  struct peer_reply body; /* what to say; bytes in it belong to it */
};

/* Pass a request on.  */
struct action_forward
{
  struct handle exchange;        /* the request */
  guint64 peer_incarnation;      /* incarnation of the owner's node */
  struct address address;        /* where it listens */
  struct address caller_address; /* where callers reach it, a hint for them */
  struct request request;        /* the request as it goes on the wire */
  struct fence fence;            /* fence that the sender knows */
};

/* Have the backend server run a request.  */
struct action_run
{
  struct handle exchange; /* the request */
  guint64 attempt_id;     /* echoed by the server */
  guint32 slice;          /* slice of the key, as this node's view has it */
  struct fence fence;     /* fence of the slice */
  gint64 deadline;        /* monotonic usec */
  struct stamp stamp;     /* stamp for the answer */
  char server[NAME_SIZE]; /* server that is meant, empty for any */
};

/* End a request.  */
struct action_answer
{
  struct handle exchange;   /* the request */
  enum outcome outcome;     /* how it ended */
  enum reason reason;       /* why */
  struct stamp stamp;       /* stamp to send under, if one is offered */
  guint32 retry_after_msec; /* when to try again, 0 for no advice */
};

/* Stop an attempt.  */
struct action_cancel
{
  struct handle exchange;
};

/* Read from an offset.  */
struct action_read_log
{
  guint64 offset;           /* first offset wanted */
  gboolean from_peer;       /* read from a peer in place of the log */
  guint64 peer_incarnation; /* incarnation of that peer */
  struct address address;   /* where it listens */
};

/* Decode a snapshot; EVENT_SNAPSHOT_DECODED gives the view.  */
struct action_snapshot_decode
{
  guint32 length; /* bytes that follow */
  guint8 *bytes;  /* belong to the action, allocated by g_malloc */
};

/* Reply to a fetch.  */
struct action_snapshot_reply
{
  struct handle link;      /* connection the call came on */
  guint32 xid;             /* its number there */
  guint64 snapshot_offset; /* snapshot that is wanted, 0 for the view of now */
  guint32 position;        /* bytes before the page that is wanted */
};

/* Probe the connections to a peer or to the server.  */
struct action_probe_connections
{
  guint64 peer_incarnation; /* incarnation, 0 for the backend server */
};

/* The node has left.  */
struct action_exit
{
  gboolean restart; /* it is to start again as a new incarnation */
};

/* Append a record to the store.  The record belongs to the action.  */
struct action_store_append
{
  guint64 serial;             /* comes back with the end */
  guint64 expected_end;       /* where the topic must end */
  struct fleet_record record; /* the record */
};

/* Have another node append a record.  The record belongs to the action.  */
struct action_remote_append
{
  guint64 serial;             /* comes back with the end */
  guint64 expected_end;       /* where the topic must end */
  struct handle member;       /* member that is asked */
  struct address address;     /* where it listens */
  gint64 deadline;            /* when to give up, microseconds */
  struct fleet_record record; /* the record */
};

/* Answer a beat.  The answer belongs to the action.  */
struct action_heartbeat_answer
{
  guint32 call_id;                 /* the beat */
  enum err code;                   /* ERR_NONE, or why it is refused */
  struct heartbeat_answer *answer; /* what the server is to hold, or NULL */
};

/* Call another node.  */
struct action_mesh_call
{
  guint64 serial;         /* comes back with the reply */
  struct handle member;   /* member that is called */
  struct address address; /* where it listens */
  gint64 deadline;        /* when to give up, microseconds */
  struct mesh_call call;  /* what to say: a pulse, or what to fetch */
};

/* Reply to another node.  */
struct action_mesh_reply
{
  struct handle link;      /* connection the call came on */
  guint32 xid;             /* its number there */
  struct mesh_reply reply; /* what to say */
};

/* Reply with what another node lacks.  */
struct action_mesh_fetch_reply
{
  struct handle link;      /* connection the call came on */
  guint32 xid;             /* its number there */
  struct mesh_fetch fetch; /* what it knows */
};

/* Append a record for another node and reply how it ended.  */
struct action_append_for_peer
{
  struct handle link;        /* connection the call came on */
  guint32 xid;               /* its number there */
  struct mesh_append append; /* bytes in it belong to it */
};

/* An action.  */
struct action
{
  enum action_kind kind;
  union
  {
    struct action_append append;
    struct action_peer_call call;
    struct action_peer_reply reply;
    struct action_forward forward;
    struct action_run run;
    struct action_answer answer;
    struct action_cancel cancel;
    struct action_read_log fetch;
    struct action_snapshot_decode snapshot_decode;
    struct action_snapshot_reply snapshot_reply;
    struct action_probe_connections suspect;
    struct action_exit exit;
    struct log_event log_event;
    struct action_store_append store;
    struct action_remote_append relay;
    struct action_heartbeat_answer heartbeat_answer;
    struct action_mesh_call mesh_call;
    struct action_mesh_reply mesh_reply;
    struct action_mesh_fetch_reply fetch_reply;
    struct action_append_for_peer append_for_peer;
  } u;
};

/* Actions in the order in which they are to be done.  */
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
