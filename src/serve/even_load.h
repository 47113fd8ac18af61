#ifndef BAMBOOTALLY_EVEN_LOAD_H
#define BAMBOOTALLY_EVEN_LOAD_H

#include "serve/peer_state.h"
#include "serve/placement.h"

/* Which server of an undivided service gets a request, decided by load reports
   that are old, differ in age, or are missing.

   Load pattern: 81 entry nodes choose at the same moment among 29 servers, of
   which each has a report up to 1.3 s old, while a request runs for 140 ms.
   All that is known for certain of most servers is their capacity.  So
   capacity decides which servers are compared, and the reports, interpreted by
   their age, decide among these.  A server of which nothing is known counts as
   being as busy as the others are on average.

   Usage: even_load_init, even_load_offer for each server of the service, then
   even_load_choose.  Nothing is allocated, and all servers are passed once. */

struct even_load
{
  gint64 now;                        /* time of the choice */
  struct server_placement placement; /* draw of the servers to compare */
  gint64 run_usec_sum;               /* sum of the reported run times */
  gint64 run_count;                  /* servers that reported one */
  gint64 taken_sum; /* slots that are taken, by recent reports */
  gint64 slots_sum; /* slots of the servers with recent reports */
};

/* The server that was chosen, and what for.  */
struct even_load_choice
{
  struct handle member; /* member of the server's node, HANDLE_NONE: none */
  gint64 cost_usec;     /* its cost */
  gint64 busy_permille; /* share of the slots of the service that are taken,
                           by recent reports; 0: not known */
  guint compared;       /* servers that were compared */
};

void even_load_init (struct even_load *load, guint64 seed, gint64 now);
void even_load_offer (struct even_load *load,
                      const struct placement_candidate *server,
                      gboolean may_take);
gint64 even_load_cost (const struct even_load *load, guint index,
                       gint64 body_bytes);
struct even_load_choice even_load_choose (const struct even_load *load,
                                          gint64 body_bytes);

#endif
