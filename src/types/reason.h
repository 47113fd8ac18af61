#ifndef BAMBOOTALLY_REASON_H
#define BAMBOOTALLY_REASON_H

/* Why a request ended as it did.  The numbers travel between nodes.  */

enum reason
{
  REASON_NONE = 0,
  REASON_NO_RULE = 1,        /* no rule matches the path */
  REASON_NO_KEY = 2,         /* the rule names a key that is not there */
  REASON_NO_OWNER = 3,       /* the slice has no owner yet */
  REASON_NOT_OWNER = 4,      /* this node does not own the key */
  REASON_LEASE_EXPIRED = 5,  /* the owner's lease has lapsed */
  REASON_OVERLOAD = 6,       /* slots and queue are full */
  REASON_DEADLINE = 7,       /* the deadline passed or cannot be met */
  REASON_SERVER_DOWN = 8,    /* the backend server cannot be reached */
  REASON_PEER_LOST = 9,      /* the connection to the owner's node broke */
  REASON_DRAINING = 10,      /* the server is leaving */
  REASON_NO_STAMP = 11,      /* a once request came without a stamp */
  REASON_OLD_STAMP = 12,     /* the stamp is older than what is remembered */
  REASON_DUPLICATE = 13,     /* the request id has been seen */
  REASON_QUARANTINED = 14,   /* requests like it crashed servers */
  REASON_TRUNCATED = 15,     /* the answer ended before its end */
  REASON_FENCE_REFUSED = 16, /* the server refused the fence */
  REASON_CALLER_DISCONNECTED = 17, /* the caller went away */
  REASON_NO_SERVER = 18,        /* no server of the service is in the fleet */
  REASON_ATTEMPT_MISMATCH = 19, /* an answer carried another attempt's id */
  REASON_BAD_REQUEST = 20,      /* a header of the request is malformed */
  REASON_HOP_LIMIT = 21,        /* passed on too often */
  REASON_BAD_RESPONSE = 22,     /* what came is not the server's answer */
  REASON_NO_CONFIG = 23,        /* this node knows no configuration yet */
  REASON_MISDIRECTED = 24,      /* another server answers at the address */
  REASON_SHED = 25,             /* the server said that it did not run it */
  REASON_COUNT = 26             /* one past the last */
};

const char *reason_name (enum reason reason);
enum reason reason_parse (const char *name);

#endif
