#ifndef TESTS_LOAD_REPLAY_H
#define TESTS_LOAD_REPLAY_H

#include "tests/load_replay_types.h"

#include <math.h>
#include <string.h>

/* The servers of the replay and the messages between them and the entries.  */

/* Return the zone of entry E.  */
static inline guint
replay_zone (guint e)
{
  return e % REPLAY_ZONES;
}

/* Return an exponentially distributed random number with MEAN.  */
static inline gdouble
replay_exponential (struct replay *replay, gdouble mean)
{
  return -log (g_rand_double_range (replay->random, 1e-12, 1)) * mean;
}

/* Return the time of a message between entry E and server S.  */
static inline gint64
replay_way (const struct replay *replay, guint e, guint s)
{
  return replay->servers[s].zone == replay_zone (e) ? 300 : 2500;
}

/* Return the load that server S reports.  */
static inline struct load_report
replay_report (const struct replay *replay, guint s)
{
  const struct replay_server *server = &replay->servers[s];
  struct load_report load = { .running = server->running,
                              .waiting = server->waiting,
                              .slots = REPLAY_SLOTS };

  if (server->run_count >= 16)
    load.mean_run_usec = (gint64)server->mean_run
                         * server_load_slowdown (&server->load, replay->now)
                         / 1000;
  return load;
}

/* Put a message of KIND about JOB between its entry and server S on its
   way.  */
static inline void
replay_send (struct replay *replay, enum replay_move_kind kind, guint s,
             const struct replay_job *job)
{
  struct replay_move *move = &replay->moves[replay->move_count++];

  g_assert (replay->move_count < REPLAY_MOVES);
  move->kind = kind;
  move->server = s;
  move->at = replay->now + replay_way (replay, job->entry, s);
  move->job = *job;
  move->load = replay_report (replay, s);
}

/* Offer JOB to a server that CHOOSE returns.  */
static inline void
replay_offer (struct replay *replay, struct replay_job job,
              replay_choose choose)
{
  gint s = job.offers < REPLAY_OFFERS ? choose (replay, job.entry, job.tried)
                                      : -1;

  if (s < 0)
    {
      replay->refused++;
      return;
    }
  job.offers++;
  job.tried |= 1u << s;
  if (replay->servers[s].zone != replay_zone (job.entry))
    replay->crossed++;
  peer_state_on_sent (&replay->peers[job.entry][s], replay->now);
  replay_send (replay, REPLAY_OFFER, (guint)s, &job);
}

/* Start requests at server S while it has free slots.  */
static inline void
replay_start (struct replay *replay, guint s)
{
  struct replay_server *server = &replay->servers[s];

  while (server->running < REPLAY_SLOTS && server->waiting > 0)
    {
      struct replay_job *job = &server->runs[server->running++];
      gdouble factor
          = replay->now < server->slow_until ? REPLAY_SLOW_FACTOR : 1;
      *job = server->queue[0];
      server->waiting--;
      memmove (server->queue, server->queue + 1,
               server->waiting * sizeof *job);
      job->started_at = replay->now;
      job->end_at
          = replay->now
            + (gint64)(job->work * REPLAY_RUN_USEC * factor / server->speed);
      g_assert (replay->wait_count < REPLAY_WAITS);
      replay->waits[replay->wait_count++]
          = (gdouble)(replay->now - job->entered_at);
    }
}

/* Let the machine of server S become slow if that is due.  What is left of the
   requests that run takes longer.  */
static inline void
replay_slow_down (struct replay *replay, guint s)
{
  struct replay_server *server = &replay->servers[s];
  guint i;

  if (replay->now < server->next_slow_at)
    return;
  server->slow_until = replay->now + REPLAY_SLOW_USEC;
  for (i = 0; i < server->running; i++)
    {
      gint64 left = server->runs[i].end_at - replay->now;
      gint64 slow = MIN ((gint64)((gdouble)left * REPLAY_SLOW_FACTOR),
                         REPLAY_SLOW_USEC);
      server->runs[i].end_at
          += slow - (gint64)((gdouble)slow / REPLAY_SLOW_FACTOR);
    }
  server->next_slow_at
      = server->slow_until
        + (gint64)replay_exponential (replay, REPLAY_SLOW_GAP_USEC);
}

/* Let the time pass at server S.  */
static inline void
replay_run_server (struct replay *replay, guint s)
{
  struct replay_server *server = &replay->servers[s];
  guint i = 0;

  replay_slow_down (replay, s);
  while (i < server->running)
    {
      struct replay_job done = server->runs[i];
      if (done.end_at > replay->now)
        {
          i++;
          continue;
        }
      server->runs[i] = server->runs[--server->running];
      server->run_count = MIN (server->run_count + 1, 32);
      server->mean_run
          += ((gdouble)(replay->now - done.started_at) - server->mean_run)
             / server->run_count;
      if (replay->setup->names_slowdown)
        server_load_on_slowdown (&server->load,
                                 replay->now < server->slow_until
                                     ? (guint32)(REPLAY_SLOW_FACTOR * 100)
                                     : 100,
                                 replay->now);
      replay_send (replay, REPLAY_ANSWER, s, &done);
    }
  replay_start (replay, s);
}

/* Deliver the messages that have arrived.  */
static inline void
replay_deliver (struct replay *replay, replay_choose choose)
{
  guint i = 0;

  while (i < replay->move_count)
    {
      struct replay_move move = replay->moves[i];
      struct replay_server *server = &replay->servers[move.server];
      struct peer_state *peer = &replay->peers[move.job.entry][move.server];
      if (move.at > replay->now)
        {
          i++;
          continue;
        }
      replay->moves[i] = replay->moves[--replay->move_count];
      if (move.kind == REPLAY_OFFER && server->waiting == REPLAY_QUEUE)
        replay_send (replay, REPLAY_REFUSAL, move.server, &move.job);
      else if (move.kind == REPLAY_OFFER)
        {
          server->queue[server->waiting++] = move.job;
          server->work += move.job.work;
          replay_start (replay, move.server);
        }
      if (move.kind == REPLAY_OFFER)
        continue;
      peer_state_on_answer (peer, replay->now);
      if (replay->setup->reports != REPLAY_MISSING)
        peer_state_on_load (peer, &move.load, replay->now);
      if (move.kind == REPLAY_REFUSAL)
        replay_offer (replay, move.job, choose);
    }
}

#endif
