#ifndef BAMBOOTALLY_ACTION_H
#define BAMBOOTALLY_ACTION_H

#include "types/beat.h"
#include "types/mesh_msg.h"
#include "types/peer_msg.h"
#include "types/record.h"
#include "types/request.h"
#include "types/note.h"

/* What the core wants done.  */

enum action_kind
{
  ACTION_APPEND,             /* append a record to the log */
  ACTION_CALL,               /* call another node */
  ACTION_REPLY,              /* reply to another node's call */
  ACTION_FORWARD,            /* pass a request on to another node */
  ACTION_RUN,                /* have the backend server run a request */
  ACTION_ANSWER,             /* end a request with an outcome and no body */
  ACTION_CANCEL,             /* stop the attempt of a request */
  ACTION_NOTE,               /* log a numbered event */
  ACTION_FETCH,              /* read the log, or a peer, from an offset */
  ACTION_SNAPSHOT_ENCODE,    /* encode the view */
  ACTION_SNAPSHOT_DECODE,    /* decode a snapshot of the view */
  ACTION_SERVE_VIEW,         /* reply to a fetch with a page of the view */
  ACTION_SUSPECT_CONNECTION, /* probe and replace connections to a peer */
  ACTION_EXIT,               /* the node has left */
  ACTION_STORE,              /* mesh: append a record to the store */
  ACTION_CONFIRM,            /* mesh: read the ends of the topics */
  ACTION_BEAT_ANSWER,        /* mesh: answer a beat or a goodbye */
  ACTION_RELAY,              /* mesh: have another node append a record */
  ACTION_MESH_CALL,          /* mesh: call another node */
  ACTION_MESH_REPLY,         /* mesh: reply to another node's call */
  ACTION_FETCH_REPLY,        /* mesh: reply with records and configuration */
  ACTION_APPEND_FOR          /* mesh: append for another node and reply */
};

/* Append a record.  The record belongs to the action.  */
struct action_append
{
  struct record record;
};

/* Call another node.  */
struct action_call
{
  guint64 serial;        /* comes back with the reply */
  guint64 peer;          /* incarnation */
  struct address to;     /* where it listens */
  gint64 deadline;       /* when to give up, monotonic usec */
  struct peer_call body; /* what to say */
};

/* Reply to a call.  */
struct action_reply
{
  struct handle call;     /* connection the call came on */
  guint32 xid;            /* its number there */
  struct peer_reply body; /* what to say; bytes in it belong to it */
};

/* Pass a request on.  */
struct action_forward
{
  struct handle exchange; /* the request */
  guint64 peer;           /* incarnation of the owner's node */
  struct address to;      /* where it listens */
  struct address front;   /* where callers reach it, a hint for them */
  struct request request; /* the request as it goes on the wire */
  struct fence fence;     /* fence that the sender knows */
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
  struct handle exchange; /* the request */
  enum outcome outcome;   /* how it ended */
  enum reason reason;     /* why */
  struct stamp stamp;     /* stamp to send under, if one is offered */
  guint32 retry_msec;     /* when to try again, 0 for no advice */
};

/* Stop an attempt.  */
struct action_cancel
{
  struct handle exchange;
};

/* Read from an offset.  */
struct action_fetch
{
  guint64 offset;     /* first offset wanted */
  gboolean from_peer; /* read from a peer in place of the log */
  guint64 peer;       /* incarnation of that peer */
  struct address to;  /* where it listens */
};

/* Decode a snapshot; EVENT_SNAPSHOT gives the view.  */
struct action_snapshot_decode
{
  guint32 length; /* bytes that follow */
  guint8 *bytes;  /* belong to the action, allocated by g_malloc */
};

/* Reply to a fetch.  */
struct action_serve_view
{
  struct handle call; /* connection the call came on */
  guint32 xid;        /* its number there */
  guint64 snapshot;   /* snapshot that is wanted, 0 for the view of now */
  guint32 position;   /* bytes before the page that is wanted */
};

/* Probe the connections to a peer or to the server.  */
struct action_suspect_connection
{
  guint64 peer; /* incarnation, 0 for the backend server */
};

/* The node has left.  */
struct action_exit
{
  gboolean again; /* it is to start again as a new incarnation */
};

/* Append a record to the store.  The record belongs to the action.  */
struct action_store
{
  guint64 serial;             /* comes back with the end */
  guint64 at;                 /* where the topic must end */
  struct fleet_record record; /* the record */
};

/* Have another node append a record.  The record belongs to the action.  */
struct action_relay
{
  guint64 serial;             /* comes back with the end */
  guint64 at;                 /* where the topic must end */
  struct handle member;       /* member that is asked */
  struct address to;          /* where it listens */
  gint64 deadline;            /* when to give up, microseconds */
  struct fleet_record record; /* the record */
};

/* Answer a beat.  The answer belongs to the action.  */
struct action_beat_answer
{
  guint32 call;               /* the beat */
  enum err code;              /* ERR_NONE, or why it is refused */
  struct beat_answer *answer; /* what the server is to hold, or NULL */
};

/* Call another node.  */
struct action_mesh_call
{
  guint64 serial;        /* comes back with the reply */
  struct handle member;  /* member that is called */
  struct address to;     /* where it listens */
  gint64 deadline;       /* when to give up, microseconds */
  struct mesh_call call; /* what to say: a pulse, or what to fetch */
};

/* Reply to another node.  */
struct action_mesh_reply
{
  struct handle link;      /* connection the call came on */
  guint32 xid;             /* its number there */
  struct mesh_reply reply; /* what to say */
};

/* Reply with what another node lacks.  */
struct action_fetch_reply
{
  struct handle link;      /* connection the call came on */
  guint32 xid;             /* its number there */
  struct mesh_fetch fetch; /* what it knows */
};

/* Append a record for another node and reply how it ended.  */
struct action_append_for
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
    struct action_call call;
    struct action_reply reply;
    struct action_forward forward;
    struct action_run run;
    struct action_answer answer;
    struct action_cancel cancel;
    struct action_fetch fetch;
    struct action_snapshot_decode snapshot_decode;
    struct action_serve_view serve_view;
    struct action_suspect_connection suspect;
    struct action_exit exit;
    struct note note;
    struct action_store store;
    struct action_relay relay;
    struct action_beat_answer beat_answer;
    struct action_mesh_call mesh_call;
    struct action_mesh_reply mesh_reply;
    struct action_fetch_reply fetch_reply;
    struct action_append_for append_for;
  } u;
};

/* Actions in the order in which they are to be done.  */
struct actions
{
  GArray *items; /* struct action */
};

void actions_init (struct actions *actions);
void actions_clear (struct actions *actions);
void actions_empty (struct actions *actions);
struct action *actions_add (struct actions *actions, enum action_kind kind);
const struct action *actions_at (const struct actions *actions, guint i);

#endif
