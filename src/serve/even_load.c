#include "serve/even_load.h"

#include <string.h>

/* A report of this age does not count towards the share of the slots that are
   taken.  */
#define RECENT_USEC ((gint64)3000000)

/* Costs that differ by less than this are decided by chance.  Most reports of
   idle servers are equal, and the first server would be taken.  */
#define TIE_USEC 4096u

/* Begin the choice of a server at NOW.  Choices with the same SEED among the
   same servers have the same result.  */
void
even_load_init (struct even_load *load, guint64 seed, gint64 now)
{
  memset (load, 0, sizeof *load);
  load->now = now;
  placement_init (&load->placement, seed);
}

/* Return the mean of the run times that the servers offered so far reported; 0
   if none did.  */
static gint64
mean_run_usec (const struct even_load *load)
{
  return load->run_count > 0 ? load->run_usec_sum / load->run_count : 0;
}

/* Count the report of PEER towards the means over all servers.  */
static void
count_report (struct even_load *load, const struct peer_state *peer)
{
  const struct load_report *report = &peer->load;

  if (report->mean_run_usec > 0)
    {
      load->run_usec_sum += report->mean_run_usec;
      load->run_count++;
    }
  if (peer->load_reported_at == 0
      || load->now - peer->load_reported_at >= RECENT_USEC)
    return;
  load->taken_sum += MIN (report->running + report->waiting, report->slots);
  load->slots_sum += report->slots;
}

/* Offer SERVER, a server of the service that has slots.  Only if MAY_TAKE is
   it among those that may be chosen.  */
void
even_load_offer (struct even_load *load,
                 const struct placement_candidate *server, gboolean may_take)
{
  count_report (load, server->peer);
  if (may_take)
    placement_offer (
        &load->placement, server,
        peer_state_capacity (server->peer, mean_run_usec (load), load->now));
}

/* Return the one of the servers that were drawn where a request with
   BODY_BYTES costs least.  */
struct even_load_choice
even_load_choose (const struct even_load *load, gint64 body_bytes)
{
  struct even_load_choice best
      = { .member = HANDLE_NONE,
          .cost_usec = G_MAXINT64,
          .compared = placement_count (&load->placement) };
  guint i;

  if (load->slots_sum > 0)
    best.busy_permille = load->taken_sum * 1000 / load->slots_sum;
  for (i = 0; i < best.compared; i++)
    {
      const struct placement_candidate *server
          = placement_at (&load->placement, i);
      struct peer_query query = { .same_zone = server->is_near,
                                  .body_bytes = body_bytes,
                                  .default_run_usec = mean_run_usec (load),
                                  .busy_permille = best.busy_permille };
      gint64 cost
          = peer_state_cost (server->peer, &query, load->now)
            + placement_random (&load->placement, server->member) % TIE_USEC;
      if (cost >= best.cost_usec)
        continue;
      best.cost_usec = cost;
      best.member = server->member;
    }
  return best;
}
