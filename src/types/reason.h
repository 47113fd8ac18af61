#ifndef BAMBOOTALLY_REASON_H
#define BAMBOOTALLY_REASON_H

/* Why a request ended as it did.  The numbers are sent between nodes.  */

enum reason
{
  REASON_NONE = 0,
  REASON_NO_RULE = 1,   /* no rule matches the path */
  REASON_NO_KEY = 2,    /* the request lacks the key that the rule requires */
  REASON_NO_OWNER = 3,  /* the slice has no owner yet */
  REASON_NOT_OWNER = 4, /* this node does not own the key */
  REASON_LEASE_EXPIRED = 5,  /* the owner's lease expired */
  REASON_OVERLOAD = 6,       /* all slots are in use and the queue is full */
  REASON_DEADLINE = 7,       /* the deadline passed or cannot be met */
  REASON_SERVER_DOWN = 8,    /* the backend server cannot be reached */
  REASON_PEER_LOST = 9,      /* the connection to the owner's node broke */
  REASON_DRAINING = 10,      /* the server is shutting down */
  REASON_NO_STAMP = 11,      /* a run-once request has no stamp */
  REASON_OLD_STAMP = 12,     /* the remembered request ids begin later */
  REASON_DUPLICATE = 13,     /* the request id was used before */
  REASON_QUARANTINED = 14,   /* requests with this digest crashed servers */
  REASON_TRUNCATED = 15,     /* the answer ended early */
  REASON_FENCE_REFUSED = 16, /* the server refused the fence */
  REASON_CALLER_DISCONNECTED = 17, /* the caller closed its connection */
  REASON_NO_SERVER = 18,        /* no server of the service is in the fleet */
  REASON_ATTEMPT_MISMATCH = 19, /* the answer is for another attempt */
  REASON_BAD_REQUEST = 20,      /* a header of the request is malformed */
  REASON_HOP_LIMIT = 21,        /* forwarded too many times */
  REASON_BAD_RESPONSE = 22,     /* not an answer of the server */
  REASON_NO_CONFIG = 23,        /* this node has no configuration yet */
  REASON_MISDIRECTED = 24,      /* another server listens on the address */
  REASON_SHED = 25,       /* the server shed the request without running it */
  REASON_KEY_DENIED = 26, /* the server does not hold the key */
  REASON_BODY_LOST = 27,  /* the start of the request body was discarded */
  REASON_EVACUATED = 28,  /* the server's data centre is evacuated */
  REASON_WARMING_UP = 29, /* the server is cold and at its rate limit */
  REASON_MEMORY = 30,     /* the process has reached its memory limit */
  REASON_BAD_ROUTE = 31,  /* the configuration does not say where requests of
                             the route go */
  REASON_OTHER_SERVICE = 32, /* the server here is of another service */
  REASON_COUNT = 33          /* number of reasons */
};

const char *reason_name (enum reason reason);
enum reason reason_parse (const char *name);

#endif
