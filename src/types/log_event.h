#ifndef BAMBOOTALLY_LOG_EVENT_H
#define BAMBOOTALLY_LOG_EVENT_H

#include "types/limits.h"
#include <glib.h>

/* A numbered event for a node's log file.  docs/EVENTS.md lists all events;
   the meaning of a number never changes.  */

enum log_event_id
{
  /* 100: routing */
  LOG_EVENT_ROUTE_OWN = 100, /* a request was given to this node's server */
  LOG_EVENT_ROUTE_FORWARD = 101, /* a request is sent to the owner's node */
  LOG_EVENT_ROUTE_REFUSED = 102, /* a request ended without being run */
  LOG_EVENT_ROUTE_RETRY = 103,   /* a request is sent again after a failure */
  LOG_EVENT_ROUTE_ENDED = 104,   /* an attempt failed */
  LOG_EVENT_ROUTE_QUEUED = 105,  /* a request waits for a slot */
  LOG_EVENT_ROUTE_CANCELLED = 106, /* the caller closed its connection */
  LOG_EVENT_ONCE_REPEAT = 107,     /* a request id was used before */
  LOG_EVENT_ROUTE_BREAKER = 108,   /* requests to a node stop, or resume */
  /* 200: placement */
  LOG_EVENT_PLACE_ASSIGN = 200,   /* owners of slices are proposed */
  LOG_EVENT_PLACE_MOVE = 201,     /* a move of slices is proposed */
  LOG_EVENT_PLACE_OWNED = 202,    /* a slice changed its owner */
  LOG_EVENT_PLACE_HOT = 203,      /* an owner for a hot key is proposed */
  LOG_EVENT_PLACE_RELEASED = 204, /* this node released a slice */
  LOG_EVENT_PLACE_DROPPED = 205,  /* outdated parts of a record were ignored */
  /* 300: membership and leases */
  LOG_EVENT_NODE_JOIN = 300,    /* a node joined */
  LOG_EVENT_NODE_LEAVING = 301, /* a node is leaving */
  LOG_EVENT_NODE_OUT = 302,     /* a node was removed */
  LOG_EVENT_LEASE_HELD = 303,   /* the lease is valid again */
  LOG_EVENT_LEASE_LAPSED = 304, /* the lease expired */
  LOG_EVENT_WITNESS_SET = 305,  /* a witness set came into force */
  LOG_EVENT_PROMISE = 306,      /* this node promised to end a node's lease */
  LOG_EVENT_CERTIFICATE = 307,  /* a node is proved to own nothing */
  LOG_EVENT_TAKEOVER = 308,     /* this node took over slices by certificate */
  /* 400: configuration and the log */
  LOG_EVENT_CONFIG_FORCE = 400,     /* a configuration came into force */
  LOG_EVENT_CONFIG_CONFLICT = 401,  /* another configuration came first */
  LOG_EVENT_LOG_DOWN = 402,         /* the log cannot be read */
  LOG_EVENT_LOG_UP = 403,           /* the log can be read again */
  LOG_EVENT_SNAPSHOT_WRITTEN = 404, /* a snapshot was written to the log */
  LOG_EVENT_SNAPSHOT_LOADED = 405,  /* the view was loaded from a snapshot */
  LOG_EVENT_RECORD_UNKNOWN = 406, /* malformed record, or of a later version */
  LOG_EVENT_APPEND_UNSURE = 407,  /* the result of an append is not known */
  /* 500: the backend server */
  LOG_EVENT_SERVER_UP = 500,      /* the backend server registered */
  LOG_EVENT_SERVER_DOWN = 501,    /* the backend server cannot be reached */
  LOG_EVENT_SERVER_REFUSED = 502, /* the backend server refused a fence */
  LOG_EVENT_SUSPECT = 503,        /* a request may have crashed the server */
  LOG_EVENT_QUARANTINE = 504,     /* requests with the digest are refused */
  LOG_EVENT_CONNECTION = 505,     /* connections to a peer are replaced */
  LOG_EVENT_DRAINED = 506,        /* no request is in flight any more */
  /* 600: requests in a mesh */
  LOG_EVENT_MESH_FIRST = 600,
  LOG_EVENT_MESH_ROUTE = 600,  /* a request was sent to a node */
  LOG_EVENT_MESH_RUN = 601,    /* a request was given to the server */
  LOG_EVENT_MESH_WAIT = 602,   /* a request waits for a slot or for an owner */
  LOG_EVENT_MESH_FAILED = 603, /* an attempt ended without an answer */
  LOG_EVENT_MESH_END = 604,    /* a request has ended */
  LOG_EVENT_MESH_POISON = 605, /* a request crashed a server, or is refused */
  LOG_EVENT_MESH_REFUSE = 606, /* no slot becomes free in time for a request */
  LOG_EVENT_MESH_LIMIT = 607,  /* the server named another limit, or none */
  LOG_EVENT_MESH_BODY = 608,   /* the body of a request has ended */
  LOG_EVENT_MESH_NO_ROUTE = 609, /* no route matched a request */
  /* 620: the state of a node of a mesh */
  LOG_EVENT_MESH_ROUTING = 620,  /* a configuration is in force */
  LOG_EVENT_MESH_MEMBER = 621,   /* a member joined, changed or was removed */
  LOG_EVENT_MESH_SILENT = 622,   /* a member stopped responding, or resumed */
  LOG_EVENT_MESH_KEYS = 623,     /* the shard map of a service changed */
  LOG_EVENT_MESH_PROPOSE = 624,  /* a record is proposed to the store */
  LOG_EVENT_MESH_PROPOSED = 625, /* a proposal ended */
  LOG_EVENT_MESH_BEAT = 626, /* a heartbeat with a change of server or keys */
  LOG_EVENT_MESH_SERVER = 627, /* an instance of the server started or ended */
  LOG_EVENT_MESH_STORE = 628,  /* the store became unreachable or reachable */
  LOG_EVENT_MESH_SESSION = 629,   /* the session expired or is valid again */
  LOG_EVENT_MESH_START = 630,     /* the process started */
  LOG_EVENT_MESH_STOP = 631,      /* the process was asked to stop, or stops */
  LOG_EVENT_MESH_SETTINGS = 632,  /* the settings were reloaded */
  LOG_EVENT_MESH_BAD_INPUT = 633, /* input was skipped as malformed */
  LOG_EVENT_MESH_BALANCE = 634,   /* keys are moved to balance the load */
  LOG_EVENT_MESH_ORDER = 635,     /* a call for keys of the server ended */
  LOG_EVENT_MESH_READING = 636,   /* this node reads other topics now */
  LOG_EVENT_MESH_EVACUATION = 637, /* the set of evacuated data centres
                                      changed */
  LOG_EVENT_MESH_WARMUP = 638, /* the server became cold, or is warm again */
  LOG_EVENT_MESH_ERA = 639,    /* the store came back from an older copy */
  LOG_EVENT_MESH_MEMORY = 640, /* a memory limit was reached, or left */
  LOG_EVENT_MESH_FETCH = 641,  /* a fetch of a configuration has ended */
  LOG_EVENT_MESH_BEHIND = 642  /* a newer configuration is known of for long,
                                  force, or in force at last */
};

/* Bytes of details: four names and some numbers.  */
#define LOG_EVENT_DETAIL_SIZE 1536u
#define LOG_EVENT_TEXT_SIZE 256u /* bytes in the text field of an event */

/* A log event with its fields; fields that are zero or empty are not
   written.  */
struct log_event
{
  enum log_event_id id;
  char service[NAME_SIZE]; /* name of the service */
  char key[KEY_SIZE];      /* key of a request */
  guint32 slice;           /* number of the slice, from 0 */
  gboolean has_slice;      /* slice is written */
  guint64 node;            /* incarnation of the other node */
  guint64 offset;          /* offset in the log */
  int code;      /* enum err or enum reason, depending on the event */
  gint64 amount; /* a number that depends on the event */
  char text[LOG_EVENT_TEXT_SIZE]; /* a name or id that depends on the event */
  char detail[LOG_EVENT_DETAIL_SIZE]; /* inputs of a decision, as "name=value
                                         ..." */
};

const char *log_event_name (enum log_event_id id);

#endif
