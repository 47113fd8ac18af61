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

/* Return the share of the slots of the service that is taken by recent
   reports, in thousandths; 0 if it is not known.  */
static gint64
busy_permille (const struct even_load *load)
{
  return load->slots_sum > 0 ? load->taken_sum * 1000 / load->slots_sum : 0;
}

/* Return the cost of a request with BODY_BYTES at the server INDEX of those
   that were drawn, by which the servers are compared.  */
gint64
even_load_cost (const struct even_load *load, guint index, gint64 body_bytes)
{
  const struct placement_candidate *server
      = placement_at (&load->placement, index);
  struct peer_query query = { .same_zone = server->is_near,
                              .body_bytes = body_bytes,
                              .default_run_usec = mean_run_usec (load),
                              .busy_permille = busy_permille (load) };

  return peer_state_cost (server->peer, &query, load->now)
         + placement_random (&load->placement, server->member) % TIE_USEC;
}

/* Return the one of the servers that were drawn where a request with
   BODY_BYTES costs least.  */
struct even_load_choice
even_load_choose (const struct even_load *load, gint64 body_bytes)
{
  struct even_load_choice best
      = { .member = HANDLE_NONE,
          .cost_usec = G_MAXINT64,
          .busy_permille = busy_permille (load),
          .compared = placement_count (&load->placement) };
  guint i;

  for (i = 0; i < best.compared; i++)
    {
      gint64 cost = even_load_cost (load, i, body_bytes);
      if (cost >= best.cost_usec)
        continue;
      best.cost_usec = cost;
      best.member = placement_at (&load->placement, i)->member;
    }
  return best;
}
