#ifndef BAMBOOTALLY_REQUEST_H
#define BAMBOOTALLY_REQUEST_H

#include "types/fence.h"
#include "types/handle.h"
#include "types/limits.h"
#include "types/outcome.h"
#include "types/reason.h"

/* What routing and admission need to know of a request.  */

/* Whether a request may run more than once.  */
enum run_class
{
  RUN_IDEMPOTENT = 0, /* may be run again */
  RUN_ONCE = 1        /* must run at most once */
};

/* Which requests go first when slots are short.  */
enum priority
{
  PRIORITY_HIGH = 0,   /* servers' checks of each other */
  PRIORITY_NORMAL = 1, /* callers */
  PRIORITY_LOW = 2,    /* can wait, such as the nightly review */
  PRIORITY_COUNT = 3
};

/* When the owner's grant began and how old its memory of ids is: a once
   request carries the stamp under which it was first sent.  */
struct stamp
{
  guint64 clock_incarnation; /* incarnation whose clock counts */
  gint64 time_usec;          /* microseconds on that clock; 0 is no stamp */
  struct fence fence;        /* fence of the grant */
};

/* A request as the decisions see it.  */
struct request
{
  char service[NAME_SIZE];  /* service that the rule names */
  char key[KEY_SIZE];       /* key, empty for an undivided service */
  guint32 slice;            /* slice of the key */
  enum run_class run_class; /* from the rule */
  enum priority priority;   /* from the rule */
  guint32 route_number;     /* number of the route or rule, 0: not known */
  gint64 expected_run_usec; /* how long such requests run here, 0: not known;
                      this node's own */
  char id[REQUEST_ID_SIZE]; /* the caller's request id, or empty */
  struct stamp stamp;       /* the stamp it carries */
  guint64 digest;           /* digest of method, path and first bytes */
  gint64 due_at;            /* an answer after that is late, monotonic
                            microseconds; 0: not known; this node's own */
  gint64 deadline;          /* monotonic microseconds */
  guint32 attempts;         /* sendings so far on behalf of the caller */
  gboolean forwarded;       /* another node passed it on */
};

#endif
