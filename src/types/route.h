#ifndef BAMBOOTALLY_TYPES_ROUTE_H
#define BAMBOOTALLY_TYPES_ROUTE_H

#include "types/request.h"

/* A route: selects requests by host and path, and splits them over
   services.  */

#define ROUTE_SHARES_MAX 8u /* services that one route may be split over */

/* The share of a route that goes to one service.  */
struct route_share
{
  char service[NAME_SIZE]; /* name of the service */
  guint32 weight;        /* weight relative to the other shares of the route */
  gint64 current_weight; /* weight that smooth weighted round robin has
                            accumulated */
};

struct route
{
  char name[NAME_SIZE]; /* name of the route */
  guint32 number; /* hash of host and path prefix, the same on all nodes */
  char host[NAME_SIZE];        /* host name in the requests of callers */
  char path_prefix[PATH_SIZE]; /* prefix of matching paths */
  enum run_class run_class;    /* whether requests may be run again */
  enum priority priority;      /* priority of requests when slots are short */
  gint64 timeout_usec; /* time limit of a request, microseconds; 0: none */
  gint64 target_latency_usec; /* an answer that takes longer is late,
                                 microseconds; 0: not known */
  guint32 max_attempts;       /* servers that one request may be sent to */
  guint32 share_count;        /* entries in shares */
  struct route_share shares[ROUTE_SHARES_MAX];
};

#endif
