#ifndef BAMBOOTALLY_NOTE_H
#define BAMBOOTALLY_NOTE_H

#include "types/limits.h"
#include <glib.h>

/* A numbered event for the log file of a node.  docs/EVENTS.md is the
   catalogue; a number keeps its meaning for good.  */

enum note_id
{
  /* 100: routing */
  NOTE_ROUTE_OWN = 100,       /* served by this node's server */
  NOTE_ROUTE_FORWARD = 101,   /* passed on to the owner's node */
  NOTE_ROUTE_REFUSED = 102,   /* ended without running */
  NOTE_ROUTE_RETRY = 103,     /* sent again */
  NOTE_ROUTE_ENDED = 104,     /* an attempt ended unwell */
  NOTE_ROUTE_QUEUED = 105,    /* waits for a slot */
  NOTE_ROUTE_CANCELLED = 106, /* the caller went away */
  NOTE_ONCE_REPEAT = 107,     /* a request id seen before */
  NOTE_ROUTE_BREAKER = 108,   /* a node is lost to requests, or back */
  /* 200: placement */
  NOTE_PLACE_ASSIGN = 200,   /* proposes owners */
  NOTE_PLACE_MOVE = 201,     /* proposes a move */
  NOTE_PLACE_OWNED = 202,    /* a slice changed its owner */
  NOTE_PLACE_HOT = 203,      /* proposes an owner for a hot key */
  NOTE_PLACE_RELEASED = 204, /* gave a slice up */
  NOTE_PLACE_DROPPED = 205,  /* a record's expectation no longer held */
  /* 300: membership and leases */
  NOTE_NODE_JOIN = 300,    /* a node joined */
  NOTE_NODE_LEAVING = 301, /* a node leaves */
  NOTE_NODE_OUT = 302,     /* a node is out */
  NOTE_LEASE_HELD = 303,   /* the lease is held again */
  NOTE_LEASE_LAPSED = 304, /* the lease has lapsed */
  NOTE_WITNESS_SET = 305,  /* a witness set took force */
  NOTE_PROMISE = 306,      /* promised never to ack a node again */
  NOTE_CERTIFICATE = 307,  /* a node owns nothing: certificate */
  NOTE_TAKEOVER = 308,     /* serves slices by certificate */
  /* 400: configuration and the log */
  NOTE_CONFIG_FORCE = 400,     /* a configuration is in force */
  NOTE_CONFIG_CONFLICT = 401,  /* a configuration lost to another */
  NOTE_LOG_DOWN = 402,         /* the log cannot be read */
  NOTE_LOG_UP = 403,           /* the log can be read again */
  NOTE_SNAPSHOT_WRITTEN = 404, /* a snapshot went to the log */
  NOTE_SNAPSHOT_LOADED = 405,  /* the view came from a snapshot */
  NOTE_RECORD_UNKNOWN = 406,   /* a record of a later version */
  NOTE_APPEND_UNSURE = 407,    /* an append's answer was lost */
  /* 500: the backend server */
  NOTE_SERVER_UP = 500,      /* the backend server announced itself */
  NOTE_SERVER_DOWN = 501,    /* the backend server cannot be reached */
  NOTE_SERVER_REFUSED = 502, /* the backend server refused a fence */
  NOTE_SUSPECT = 503,        /* a request may have crashed the server */
  NOTE_QUARANTINE = 504,     /* requests with that digest are refused */
  NOTE_CONNECTION = 505,     /* connections of a peer are replaced */
  NOTE_DRAINED = 506,        /* nothing is left in flight */
  /* 600: requests in a mesh */
  NOTE_MESH_FIRST = 600,
  NOTE_MESH_ROUTE = 600,  /* a request was sent to a node */
  NOTE_MESH_RUN = 601,    /* a request was given to the server */
  NOTE_MESH_WAIT = 602,   /* a request waits, for a slot or for an owner */
  NOTE_MESH_FAILED = 603, /* an attempt ended without an answer */
  NOTE_MESH_END = 604,    /* a request has ended */
  NOTE_MESH_POISON = 605, /* a request crashed a server, or is refused */
  NOTE_MESH_REFUSE = 606, /* the gate has no slot in time for a request */
  /* 620: what a node of a mesh believes */
  NOTE_MESH_ROUTING = 620,   /* a configuration is in force */
  NOTE_MESH_MEMBER = 621,    /* a member joined, changed or was dropped */
  NOTE_MESH_SILENT = 622,    /* a member is not heard, or is heard again */
  NOTE_MESH_KEYS = 623,      /* the map of a service changed */
  NOTE_MESH_PROPOSE = 624,   /* a record goes to the store */
  NOTE_MESH_PROPOSED = 625,  /* a proposal ended */
  NOTE_MESH_BEAT = 626,      /* a beat changed what the server holds */
  NOTE_MESH_SERVER = 627,    /* a life of the server began or ended */
  NOTE_MESH_STORE = 628,     /* the store was lost or is back */
  NOTE_MESH_SESSION = 629,   /* the session lapsed or is back */
  NOTE_MESH_START = 630,     /* the process starts */
  NOTE_MESH_STOP = 631,      /* the process was asked to stop, or ends */
  NOTE_MESH_SETTINGS = 632,  /* the settings were read again */
  NOTE_MESH_BAD_INPUT = 633, /* something that does not decode was skipped */
  NOTE_MESH_BALANCE = 634    /* keys are to go to another server */
};

#define NOTE_DETAIL_SIZE 384u /* bytes in the inputs of a decision */
#define NOTE_TEXT_SIZE 96u    /* bytes in the free field of a note */

/* An event with its fields; a field that is zero or empty is not written. */
struct note
{
  enum note_id id;
  char service[NAME_SIZE];       /* service */
  char key[KEY_SIZE];            /* key */
  guint32 slice;                 /* slice, from 0 */
  gboolean has_slice;            /* whether slice counts */
  guint64 node;                  /* incarnation of another node */
  guint64 offset;                /* offset on the log */
  int code;                      /* enum err or enum reason, by event */
  gint64 amount;                 /* a number, by event */
  char text[NOTE_TEXT_SIZE];     /* a name or id, by event */
  char detail[NOTE_DETAIL_SIZE]; /* inputs as "name=value ..." */
};

const char *note_name (enum note_id id);

#endif
