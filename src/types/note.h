#ifndef BAMBOOTALLY_NOTE_H
#define BAMBOOTALLY_NOTE_H

#include "types/limits.h"
#include <glib.h>

/* A numbered event for a node's log file.  docs/EVENTS.md lists all events;
   the meaning of a number never changes.  */

enum note_id
{
  /* 100: routing */
  NOTE_ROUTE_OWN = 100,       /* given to this node's server */
  NOTE_ROUTE_FORWARD = 101,   /* forwarded to the owner's node */
  NOTE_ROUTE_REFUSED = 102,   /* ended without being run */
  NOTE_ROUTE_RETRY = 103,     /* sent again after a failed attempt */
  NOTE_ROUTE_ENDED = 104,     /* an attempt failed */
  NOTE_ROUTE_QUEUED = 105,    /* waits for a slot */
  NOTE_ROUTE_CANCELLED = 106, /* the caller closed its connection */
  NOTE_ONCE_REPEAT = 107,     /* a request id was used before */
  NOTE_ROUTE_BREAKER = 108,   /* requests to a node are stopped, or resumed */
  /* 200: placement */
  NOTE_PLACE_ASSIGN = 200,   /* proposes owners of slices */
  NOTE_PLACE_MOVE = 201,     /* proposes a move of slices */
  NOTE_PLACE_OWNED = 202,    /* a slice changed its owner */
  NOTE_PLACE_HOT = 203,      /* proposes an owner for a hot key */
  NOTE_PLACE_RELEASED = 204, /* released a slice */
  NOTE_PLACE_DROPPED
  = 205, /* a record was dropped, since its precondition failed */
  /* 300: membership and leases */
  NOTE_NODE_JOIN = 300,    /* a node joined */
  NOTE_NODE_LEAVING = 301, /* a node is leaving */
  NOTE_NODE_OUT = 302,     /* a node was removed */
  NOTE_LEASE_HELD = 303,   /* the lease is valid again */
  NOTE_LEASE_LAPSED = 304, /* the lease expired */
  NOTE_WITNESS_SET = 305,  /* a witness set came into force */
  NOTE_PROMISE = 306, /* promised to acknowledge no more leases of a node */
  NOTE_CERTIFICATE = 307, /* a certificate proves that a node owns nothing */
  NOTE_TAKEOVER = 308,    /* took over slices by certificate */
  /* 400: configuration and the log */
  NOTE_CONFIG_FORCE = 400, /* a configuration came into force */
  NOTE_CONFIG_CONFLICT
  = 401, /* a configuration was rejected, since another came first */
  NOTE_LOG_DOWN = 402,         /* the log cannot be read */
  NOTE_LOG_UP = 403,           /* the log can be read again */
  NOTE_SNAPSHOT_WRITTEN = 404, /* a snapshot was written to the log */
  NOTE_SNAPSHOT_LOADED = 405,  /* the view was loaded from a snapshot */
  NOTE_RECORD_UNKNOWN = 406, /* a record is malformed or of a later version */
  NOTE_APPEND_UNSURE = 407,  /* the result of an append is not known */
  /* 500: the backend server */
  NOTE_SERVER_UP = 500,      /* the backend server registered */
  NOTE_SERVER_DOWN = 501,    /* the backend server cannot be reached */
  NOTE_SERVER_REFUSED = 502, /* the backend server refused a fence */
  NOTE_SUSPECT = 503,        /* a request may have crashed the server */
  NOTE_QUARANTINE = 504,     /* requests with the digest are refused */
  NOTE_CONNECTION = 505,     /* connections to a peer are replaced */
  NOTE_DRAINED = 506,        /* no request is in flight any more */
  /* 600: requests in a mesh */
  NOTE_MESH_FIRST = 600,
  NOTE_MESH_ROUTE = 600,  /* a request was sent to a node */
  NOTE_MESH_RUN = 601,    /* a request was given to the server */
  NOTE_MESH_WAIT = 602,   /* a request waits for a slot or for an owner */
  NOTE_MESH_FAILED = 603, /* an attempt ended without an answer */
  NOTE_MESH_END = 604,    /* a request has ended */
  NOTE_MESH_POISON
  = 605, /* a request crashed a server, or is refused for that */
  NOTE_MESH_REFUSE = 606, /* no slot becomes free in time for a request */
  /* 620: the state of a node of a mesh */
  NOTE_MESH_ROUTING = 620, /* a configuration is in force */
  NOTE_MESH_MEMBER = 621,  /* a member joined, changed or was removed */
  NOTE_MESH_SILENT = 622,  /* a member stopped responding, or responds again */
  NOTE_MESH_KEYS = 623,    /* the shard map of a service changed */
  NOTE_MESH_PROPOSE = 624, /* a record is proposed to the store */
  NOTE_MESH_PROPOSED = 625, /* a proposal ended */
  NOTE_MESH_BEAT = 626, /* a heartbeat changed the key ranges of the server */
  NOTE_MESH_SERVER = 627, /* an instance of the server started or ended */
  NOTE_MESH_STORE = 628,  /* the store became unreachable or reachable */
  NOTE_MESH_SESSION
  = 629, /* the session with the store expired or is valid again */
  NOTE_MESH_START = 630,    /* the process started */
  NOTE_MESH_STOP = 631,     /* the process was asked to stop, or stops */
  NOTE_MESH_SETTINGS = 632, /* the settings were reloaded */
  NOTE_MESH_BAD_INPUT
  = 633,                  /* input was skipped, since it cannot be decoded */
  NOTE_MESH_BALANCE = 634 /* keys are moved to another server */
};

#define NOTE_DETAIL_SIZE 384u /* bytes in the detail field of an event */
#define NOTE_TEXT_SIZE 96u    /* bytes in the text field of an event */

/* A log event with its fields; fields that are zero or empty are not
   written.  */
struct note
{
  enum note_id id;
  char service[NAME_SIZE]; /* name of the service */
  char key[KEY_SIZE];      /* key of a request */
  guint32 slice;           /* number of the slice, from 0 */
  gboolean has_slice;      /* slice is written */
  guint64 node;            /* incarnation of the other node */
  guint64 offset;          /* offset in the log */
  int code;      /* enum err or enum reason, depending on the event */
  gint64 amount; /* a number that depends on the event */
  char text[NOTE_TEXT_SIZE]; /* a name or id that depends on the event */
  char
      detail[NOTE_DETAIL_SIZE]; /* inputs of a decision, as "name=value ..." */
};

const char *note_name (enum note_id id);

#endif
