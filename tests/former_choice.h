#ifndef TESTS_FORMER_CHOICE_H
#define TESTS_FORMER_CHOICE_H

#include "tests/load_replay.h"

/* The choice of a server before src/serve/even_load, as a baseline: all of up
   to eight servers, else three drawn alike in the own data centre and one
   elsewhere, compared by a cost that includes half of the run time.  */

#define FORMER_ALL 8u
#define FORMER_NEAR 3u
#define FORMER_STALE_USEC ((gint64)3000000)
#define FORMER_RUN_USEC ((gint64)100000)
#define FORMER_ZONE_USEC ((gint64)9000)

/* Return the cost at PEER, in the own zone if IS_NEAR, where RUN_USEC is the
   run time of a server that reported none.  */
static inline gint64
former_cost (const struct peer_state *peer, gboolean is_near, gint64 run_usec,
             gint64 now)
{
  const struct load_report *load = &peer->load;
  gint64 slots = load->slots;
  gint64 reported = load->running + load->waiting + peer->sent_since_load;
  gint64 assumed = slots / 2 + peer->in_flight;
  gint64 age = MIN (now - peer->load_reported_at, FORMER_STALE_USEC);
  gint64 ahead = reported + (assumed - reported) * age / FORMER_STALE_USEC;
  gint64 late = peer->unanswered_since != 0 ? now - peer->unanswered_since : 0;
  gint64 cost;

  if (load->mean_run_usec > 0)
    run_usec = load->mean_run_usec;
  cost = ahead < slots ? 0 : run_usec * (ahead - slots + 1) / slots;
  cost += run_usec / 2 + run_usec * (ahead + 1) / slots;
  cost += MAX (0, MAX (late, peer->late_until - now));
  return is_near ? cost : cost + FORMER_ZONE_USEC;
}

/* Return the mean reported run time of the servers as entry E knows them.  */
static inline gint64
former_mean_run (const struct replay *replay, guint e)
{
  gint64 sum = 0;
  gint64 count = 0;
  guint s;

  for (s = 0; s < replay->setup->servers; s++)
    if (replay->peers[e][s].load.mean_run_usec > 0)
      {
        sum += replay->peers[e][s].load.mean_run_usec;
        count++;
      }
  return count > 0 ? sum / count : FORMER_RUN_USEC;
}

/* Return the server that the former method chooses for entry E.  */
static inline gint
choose_former (struct replay *replay, guint e, guint32 tried)
{
  guint order[REPLAY_SERVERS_MAX];
  gint64 run_usec = former_mean_run (replay, e);
  gint64 least = G_MAXINT64;
  guint drawn[2] = { 0 };
  guint count = 0;
  gint best = -1;
  guint i;

  for (i = 0; i < replay->setup->servers; i++)
    {
      guint other
          = (guint)g_rand_int_range (replay->random, 0, (gint)count + 1);
      if ((tried >> i & 1) != 0)
        continue;
      order[count++] = order[other];
      order[other] = i;
    }
  for (i = 0; i < count; i++)
    {
      guint s = order[i];
      gboolean is_near = replay->servers[s].zone == replay_zone (e);
      gint64 cost;
      if (count > FORMER_ALL
          && drawn[is_near]++ >= (is_near ? FORMER_NEAR : 1))
        continue;
      cost
          = former_cost (&replay->peers[e][s], is_near, run_usec, replay->now);
      if (cost >= least)
        continue;
      least = cost;
      best = (gint)s;
    }
  return best;
}

#endif
