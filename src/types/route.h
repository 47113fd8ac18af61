#ifndef BAMBOOTALLY_TYPES_ROUTE_H
#define BAMBOOTALLY_TYPES_ROUTE_H

#include "types/request.h"

/* A route: which requests go to which services, and how.  */

#define ROUTE_SHARES_MAX 8u /* services that one route is split over */

/* A share of a route.  */
struct route_share
{
  char service[NAME_SIZE]; /* service that it goes to */
  guint32 weight;          /* its share among the weights of the route */
  gint64 current_weight;   /* what it is owed, for taking turns */
};

struct route
{
  char name[NAME_SIZE]; /* name of the route */
  guint32 number;       /* of its host and prefix, the same everywhere */
  char host[NAME_SIZE]; /* host that callers name */
  char path_prefix[PATH_SIZE]; /* beginning of the path */
  enum run_class run_class;    /* whether requests may run again */
  enum priority priority;      /* which requests go first */
  gint64 timeout_usec;         /* longest time a caller is kept, 0 for none */
  gint64 target_latency_usec;  /* an answer that takes longer is late, 0: not
                          known */
  guint32 max_attempts;        /* servers that one request may be sent to */
  guint32 share_count;         /* shares that follow */
  struct route_share shares[ROUTE_SHARES_MAX];
};

#endif
