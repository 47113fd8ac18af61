#ifndef BAMBOOTALLY_REQUEST_H
#define BAMBOOTALLY_REQUEST_H

#include "types/fence.h"
#include "types/handle.h"
#include "types/limits.h"
#include "types/outcome.h"
#include "types/reason.h"

/* What routing and admission know about a request.  */

/* How often a request may be run.  */
enum run_class
{
  RUN_IDEMPOTENT = 0, /* any number of times */
  RUN_ONCE = 1        /* at most once */
};

/* Which requests are admitted first when slots are short.  */
enum priority
{
  PRIORITY_HIGH = 0,   /* health checks between servers */
  PRIORITY_NORMAL = 1, /* requests of callers */
  PRIORITY_LOW = 2,    /* batch work, such as the nightly review */
  PRIORITY_COUNT = 3
};

/* When an owner's grant began, and so how far back the owner remembers request
   ids.  A run-once request carries the stamp under which it was first
   sent.  */
struct stamp
{
  guint64 clock_incarnation; /* incarnation whose clock time_usec is read on */
  gint64 time_usec;          /* microseconds on that clock; 0: no stamp */
  struct fence fence;        /* fence of the owner's grant */
};

/* A request as the core sees it.  */
struct request
{
  char service[NAME_SIZE];  /* service, set by the rule */
  char key[KEY_SIZE];       /* key, empty if the service is not sharded */
  guint32 slice;            /* slice of the key */
  enum run_class run_class; /* how often the request may be run */
  enum priority priority;   /* priority, set by the rule; a call of a backend
                               server has that of the request that made it */
  guint32 route_number;     /* number of the route or rule; 0: not known */
  gint64 expected_run_usec; /* expected run time, microseconds; 0: not known;
                               never sent to other nodes */
  char id[REQUEST_ID_SIZE]; /* request id that the caller chose, or empty */
  guint32 parent_id_length; /* length of the beginning of `id' that is the id
                               of the parent if the request is a call; 0: `id'
                               does not have the form of a call's id; never
                               sent to other nodes */
  struct stamp stamp;       /* stamp that the request carries */
  guint64 digest;           /* digest of head and body, 0: not known; see
                               types/request_digest.h */
  guint64 head_digest;      /* digest of the head alone, 0: not known */
  guint64 body_digest;      /* digest of the body */
  gboolean has_body_digest; /* the body is whole, and its digest known */
  gint64 due_at; /* an answer after this time is late, monotonic microseconds;
                    0: not known; never sent to other nodes */
  gint64 deadline;    /* when the request times out, monotonic microseconds */
  guint32 attempts;   /* times the request was sent so far */
  gboolean forwarded; /* another node forwarded the request */
  gboolean is_call;   /* a request that is running at a backend server made
                         this one and waits for its answer */
};

#endif
