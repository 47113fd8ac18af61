#include "decide/removal.h"

#include "decide/certificate.h"
#include "decide/core.h"
#include "decide/peers.h"
#include "decide/promise_quorum.h"
#include "decide/timing.h"

#define PROMISE_RETRY_USEC                                                    \
  ((gint64)200000) /* between askings for promises                            \
                    */

/* Who watches whom */

/* The place of INCARNATION in SET, or -1.  */
static gint
place_in (const guint64 *set, guint32 count, guint64 incarnation)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (set[i] == incarnation)
      return (gint)i;
  return -1;
}

/* The place of this node among the witnesses of NODE, -1 if it is none.  */
static gint
own_place (const struct core *core, const struct view_node *node)
{
  guint64 self = core->settings.incarnation;
  gint place = place_in (node->witnesses, node->witness_count, self);

  if (place < 0)
    place = place_in (node->previous_witnesses, node->previous_witness_count,
                      self);
  return place;
}

/* Watch each node whose witness set names this one, and forget the holders
   that are no longer in the view.  */
static void
follow_view (struct core *core, gint64 now)
{
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  if (core->removals_checked_offset == core->view.applied_offset)
    return;
  core->removals_checked_offset = core->view.applied_offset;
  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      if (own_place (core, node) >= 0)
        witness_expect_renewals (&core->witness, node->join.incarnation, now);
    }
  witness_forget_removed (&core->witness, &core->view);
  peers_forget_removed (&core->peers, &core->view);
}

/* The removal of TARGET that is under way, or NULL.  */
static struct removal *
find_removal (const struct core *core, guint64 target)
{
  struct handle h = table_next (&core->removals, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->removals, h))
    {
      struct removal *removal = table_get (&core->removals, h);
      if (removal->target == target)
        return removal;
    }
  return NULL;
}

/* Begin to collect against each holder that has been silent; witnesses in the
   order of the set, one after the other.  */
static void
begin_removals (struct core *core, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->witness.acks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct witness_ack *ack = value;
      const struct view_node *node = view_node_at (
          &core->view, view_find_node (&core->view, ack->holder));
      struct removal *removal;
      gint place = node != NULL ? own_place (core, node) : -1;
      if (place < 0
          || !witness_is_unresponsive (&core->witness, ack,
                                       now - place * COLLECT_STAGGER_USEC)
          || certificate_find (core, ack->holder) != NULL
          || find_removal (core, ack->holder) != NULL)
        continue;
      removal = table_get (&core->removals, table_add (&core->removals));
      removal->target = ack->holder;
    }
}

/* Promises */

/* Keep the promise that WITNESS gave.  */
static void
keep_promise (struct removal *removal, guint64 witness,
              const struct peer_promise_reply *reply, gint64 now)
{
  struct removal_promise *promise;

  if (!reply->promised || promise_find (removal, witness) != NULL
      || removal->promise_count == REMOVAL_PROMISES_MAX)
    return;
  promise = &removal->promises[removal->promise_count++];
  promise->witness = witness;
  promise->floor = reply->floor;
  promise->ack_expires_at = now + reply->remaining_usec;
}

/* Promise here, as one of the witnesses.  */
static void
promise_here (struct core *core, struct removal *removal, gint64 now,
              struct actions *out)
{
  struct peer_promise call
      = { .target = removal->target, .collector = core->settings.incarnation };
  struct peer_promise_reply reply = { 0 };
  struct log_event *log_event;

  if (promise_find (removal, core->settings.incarnation) != NULL)
    return;
  witness_on_promise (&core->witness, &call, now, &reply);
  keep_promise (removal, core->settings.incarnation, &reply, now);
  if (!reply.promised)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_PROMISE;
  log_event->node = removal->target;
}

/* Ask those of SET that have not promised yet.  */
static void
ask_set (struct core *core, const struct removal *removal, const guint64 *set,
         guint32 count, gint64 now, struct actions *out)
{
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct view_node *node
          = view_node_at (&core->view, view_find_node (&core->view, set[i]));
      struct action_peer_call *call;
      if (node == NULL || set[i] == core->settings.incarnation
          || promise_find (removal, set[i]) != NULL)
        continue;
      call = peers_call (core, node, PEER_PROMISE, now, out);
      call->body.u.promise.target = removal->target;
      call->body.u.promise.collector = core->settings.incarnation;
    }
}

/* Ask every witness of NODE, both of the set on the log and of the one before
   it.  */
static void
ask (struct core *core, struct removal *removal, const struct view_node *node,
     gint64 now, struct actions *out)
{
  if (now < removal->next_call_at)
    return;
  removal->next_call_at = now + PROMISE_RETRY_USEC;
  promise_here (core, removal, now, out);
  ask_set (core, removal, node->witnesses, node->witness_count, now, out);
  ask_set (core, removal, node->previous_witnesses,
           node->previous_witness_count, now, out);
}

/* Certificates */

/* Turn the promises into a certificate if they are enough, their acks have
   lapsed, and this node has folded up to their floor, so that it knows of
   each witness set that the target gave up.  Return whether it did.  */
static gboolean
certify (struct core *core, const struct removal *removal,
         const struct view_node *node, gint64 now, struct actions *out)
{
  struct promise_quorum sum;

  if (!promise_quorum_check (removal, node, &sum) || now < sum.expires_at
      || core->view.applied_offset <= sum.floor)
    return FALSE;
  certificate_add (core, removal->target, sum.floor, TRUE, now, out);
  return TRUE;
}

/* Tell whether REMOVAL is to go on: its target is in the view, and has not
   been heard of again before this node promised.  */
static gboolean
goes_on (const struct core *core, const struct removal *removal, gint64 now)
{
  const struct witness_ack *ack
      = witness_find (&core->witness, removal->target);

  if (ack == NULL || certificate_find (core, removal->target) != NULL
      || !handle_is_set (view_find_node (&core->view, removal->target)))
    return FALSE;
  return ack->has_promised
         || witness_is_unresponsive (&core->witness, ack, now);
}

/* Do what removals need now.  */
void
removal_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h;

  if (view_node_at (&core->view, core->self) == NULL)
    return;
  follow_view (core, now);
  begin_removals (core, now);
  h = table_next (&core->removals, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&core->removals, h))
    {
      struct removal *removal = table_get (&core->removals, h);
      const struct view_node *node = view_node_at (
          &core->view, view_find_node (&core->view, removal->target));
      if (!goes_on (core, removal, now))
        {
          table_remove (&core->removals, h);
          continue;
        }
      ask (core, removal, node, now, out);
      if (certify (core, removal, node, now, out))
        table_remove (&core->removals, h);
    }
}

/* A witness answered.  */
void
removal_on_reply (struct core *core, const struct event_peer_reply *reply,
                  gint64 now, struct actions *out)
{
  const struct peer_promise_reply *body = &reply->body.u.promise;
  struct removal *removal = find_removal (core, body->target);

  if (removal == NULL)
    return;
  keep_promise (removal, reply->peer_incarnation, body, now);
  removal_step (core, now, out);
  certificate_step (core, now, out);
}
