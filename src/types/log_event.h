#ifndef BAMBOOTALLY_LOG_EVENT_H
#define BAMBOOTALLY_LOG_EVENT_H

#include "types/limits.h"
#include <glib.h>

/* A numbered event for the log file of a node.  docs/EVENTS.md is the
   catalogue; a number keeps its meaning for good.  */

enum log_event_id
{
  /* 100: routing */
  LOG_EVENT_ROUTE_OWN = 100,       /* served by this node's server */
  LOG_EVENT_ROUTE_FORWARD = 101,   /* passed on to the owner's node */
  LOG_EVENT_ROUTE_REFUSED = 102,   /* ended without running */
  LOG_EVENT_ROUTE_RETRY = 103,     /* sent again */
  LOG_EVENT_ROUTE_ENDED = 104,     /* an attempt ended unwell */
  LOG_EVENT_ROUTE_QUEUED = 105,    /* waits for a slot */
  LOG_EVENT_ROUTE_CANCELLED = 106, /* the caller went away */
  LOG_EVENT_ONCE_REPEAT = 107,     /* a request id seen before */
  LOG_EVENT_ROUTE_BREAKER = 108,   /* a node is lost to requests, or back */
  /* 200: placement */
  LOG_EVENT_PLACE_ASSIGN = 200,   /* proposes owners */
  LOG_EVENT_PLACE_MOVE = 201,     /* proposes a move */
  LOG_EVENT_PLACE_OWNED = 202,    /* a slice changed its owner */
  LOG_EVENT_PLACE_HOT = 203,      /* proposes an owner for a hot key */
  LOG_EVENT_PLACE_RELEASED = 204, /* gave a slice up */
  LOG_EVENT_PLACE_DROPPED = 205,  /* a record's expectation no longer held */
  /* 300: membership and leases */
  LOG_EVENT_NODE_JOIN = 300,    /* a node joined */
  LOG_EVENT_NODE_LEAVING = 301, /* a node leaves */
  LOG_EVENT_NODE_OUT = 302,     /* a node is out */
  LOG_EVENT_LEASE_HELD = 303,   /* the lease is held again */
  LOG_EVENT_LEASE_LAPSED = 304, /* the lease has lapsed */
  LOG_EVENT_WITNESS_SET = 305,  /* a witness set took force */
  LOG_EVENT_PROMISE = 306,      /* promised never to ack a node again */
  LOG_EVENT_CERTIFICATE = 307,  /* a node owns nothing: certificate */
  LOG_EVENT_TAKEOVER = 308,     /* serves slices by certificate */
  /* 400: configuration and the log */
  LOG_EVENT_CONFIG_FORCE = 400,     /* a configuration is in force */
  LOG_EVENT_CONFIG_CONFLICT = 401,  /* a configuration lost to another */
  LOG_EVENT_LOG_DOWN = 402,         /* the log cannot be read */
  LOG_EVENT_LOG_UP = 403,           /* the log can be read again */
  LOG_EVENT_SNAPSHOT_WRITTEN = 404, /* a snapshot went to the log */
  LOG_EVENT_SNAPSHOT_LOADED = 405,  /* the view came from a snapshot */
  LOG_EVENT_RECORD_UNKNOWN = 406,   /* a record of a later version */
  LOG_EVENT_APPEND_UNSURE = 407,    /* an append's answer was lost */
  /* 500: the backend server */
  LOG_EVENT_SERVER_UP = 500,      /* the backend server announced itself */
  LOG_EVENT_SERVER_DOWN = 501,    /* the backend server cannot be reached */
  LOG_EVENT_SERVER_REFUSED = 502, /* the backend server refused a fence */
  LOG_EVENT_SUSPECT = 503,        /* a request may have crashed the server */
  LOG_EVENT_QUARANTINE = 504,     /* requests with that digest are refused */
  LOG_EVENT_CONNECTION = 505,     /* connections of a peer are replaced */
  LOG_EVENT_DRAINED = 506,        /* nothing is left in flight */
  /* 600: requests in a mesh */
  LOG_EVENT_MESH_FIRST = 600,
  LOG_EVENT_MESH_ROUTE = 600, /* a request was sent to a node */
  LOG_EVENT_MESH_RUN = 601,   /* a request was given to the server */
  LOG_EVENT_MESH_WAIT = 602,  /* a request waits, for a slot or for an owner */
  LOG_EVENT_MESH_FAILED = 603, /* an attempt ended without an answer */
  LOG_EVENT_MESH_END = 604,    /* a request has ended */
  LOG_EVENT_MESH_POISON = 605, /* a request crashed a server, or is refused */
  LOG_EVENT_MESH_REFUSE = 606, /* the gate has no slot in time for a request */
  /* 620: what a node of a mesh believes */
  LOG_EVENT_MESH_ROUTING = 620,  /* a configuration is in force */
  LOG_EVENT_MESH_MEMBER = 621,   /* a member joined, changed or was dropped */
  LOG_EVENT_MESH_SILENT = 622,   /* a member is not heard, or is heard again */
  LOG_EVENT_MESH_KEYS = 623,     /* the map of a service changed */
  LOG_EVENT_MESH_PROPOSE = 624,  /* a record goes to the store */
  LOG_EVENT_MESH_PROPOSED = 625, /* a proposal ended */
  LOG_EVENT_MESH_BEAT = 626,     /* a beat changed what the server holds */
  LOG_EVENT_MESH_SERVER = 627,   /* a life of the server began or ended */
  LOG_EVENT_MESH_STORE = 628,    /* the store was lost or is back */
  LOG_EVENT_MESH_SESSION = 629,  /* the session lapsed or is back */
  LOG_EVENT_MESH_START = 630,    /* the process starts */
  LOG_EVENT_MESH_STOP = 631,     /* the process was asked to stop, or ends */
  LOG_EVENT_MESH_SETTINGS = 632, /* the settings were read again */
  LOG_EVENT_MESH_BAD_INPUT
  = 633,                       /* something that does not decode was skipped */
  LOG_EVENT_MESH_BALANCE = 634 /* keys are to go to another server */
};

#define LOG_EVENT_DETAIL_SIZE 384u /* bytes in the inputs of a decision */
#define LOG_EVENT_TEXT_SIZE 96u    /* bytes in the free field of a note */

/* An event with its fields; a field that is zero or empty is not written. */
struct log_event
{
  enum log_event_id id;
  char service[NAME_SIZE];            /* service */
  char key[KEY_SIZE];                 /* key */
  guint32 slice;                      /* slice, from 0 */
  gboolean has_slice;                 /* whether slice counts */
  guint64 node;                       /* incarnation of another node */
  guint64 offset;                     /* offset on the log */
  int code;                           /* enum err or enum reason, by event */
  gint64 amount;                      /* a number, by event */
  char text[LOG_EVENT_TEXT_SIZE];     /* a name or id, by event */
  char detail[LOG_EVENT_DETAIL_SIZE]; /* inputs as "name=value ..." */
};

const char *log_event_name (enum log_event_id id);

#endif
