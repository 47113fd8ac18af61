#ifndef BAMBOOTALLY_TYPES_ROUTE_H
#define BAMBOOTALLY_TYPES_ROUTE_H

#include "types/request.h"

/* A route: selects requests by host and path, and splits them over
   services.  */

/* The share of a route that goes to one service.  */
struct route_share
{
  const char *service;   /* name of the service */
  double weight;         /* weight relative to the other shares of the route */
  double current_weight; /* weight that smooth weighted round robin has
                            accumulated */
};

/* The routes of a configuration own their texts and shares; others borrow
   them.  */
struct route
{
  const char *name; /* name of the route */
  guint32 number;   /* hash of host and path prefix, the same on all nodes */
  const char *host; /* host name in the requests of callers */
  const char *path_prefix;  /* prefix of matching paths */
  gsize prefix_length;      /* its length, set by routing_add_route */
  gboolean is_unusable;     /* its requests are refused: where they go could
                               not be read, or no share has a weight */
  enum run_class run_class; /* whether requests may be run again */
  enum priority priority;   /* priority of requests when slots are short */
  gint64 timeout_usec; /* time limit of a request, microseconds; 0: none */
  gint64 target_latency_usec; /* an answer that takes longer is late,
                                 microseconds; 0: not known */
  guint32 max_attempts;       /* servers that one request may be sent to */
  guint32 share_count;        /* entries in shares */
  struct route_share *shares;
};

void route_copy (struct route *to, const struct route *from);
void route_clear (struct route *route);
const char *route_next_service (struct route *route);

#endif
