#include "decide/removal.h"

#include "decide/certificate.h"
#include "decide/core.h"
#include "decide/peers.h"
#include "decide/promise_quorum.h"
#include "decide/timing.h"

/* Time between calls for promises.  */
#define PROMISE_RETRY_USEC ((gint64)200000)

/* Witnesses */

/* Return the index of INCARNATION in the COUNT elements of SET, or -1.  */
static gint
index_in (const guint64 *set, guint32 count, guint64 incarnation)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (set[i] == incarnation)
      return (gint)i;
  return -1;
}

/* Return the index of this node in the current witness set of NODE, or else in
   the previous one, or -1.  */
static gint
witness_index (const struct core *core, const struct view_node *node)
{
  guint64 self = core->settings.incarnation;
  gint index = index_in (node->witnesses, node->witness_count, self);

  if (index < 0)
    index = index_in (node->previous_witnesses, node->previous_witness_count,
                      self);
  return index;
}

/* Expect renewals from each node whose witness set names this one, and drop
   the state of removed nodes, if the view has changed.  */
static void
update_from_view (struct core *core, gint64 now)
{
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  if (core->removals_checked_offset == core->view.applied_offset)
    return;
  core->removals_checked_offset = core->view.applied_offset;
  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      if (witness_index (core, node) >= 0)
        witness_expect_renewals (&core->witness, node->join.incarnation, now);
    }
  witness_forget_removed (&core->witness, &core->view);
  peers_forget_removed (&core->peers, &core->view);
}

/* Return the removal of TARGET that is in progress, or NULL.  */
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

/* Begin a removal of each lease holder that is unresponsive.  The witnesses of
   a node begin one after the other, in the order of the set and
   COLLECT_STAGGER_USEC apart.  */
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
      gint index = node != NULL ? witness_index (core, node) : -1;
      if (index < 0
          || !witness_is_unresponsive (&core->witness, ack,
                                       now - index * COLLECT_STAGGER_USEC)
          || certificate_find (core, ack->holder) != NULL
          || find_removal (core, ack->holder) != NULL)
        continue;
      removal = table_get (&core->removals, table_add (&core->removals));
      removal->target = ack->holder;
    }
}

/* Promises */

/* Store the promise that WITNESS gave in REPLY, if it gave one.  */
static void
store_promise (struct removal *removal, guint64 witness,
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

/* Give the promise of this node, as one of the witnesses.  */
static void
promise_locally (struct core *core, struct removal *removal, gint64 now,
                 struct actions *out)
{
  struct peer_promise call
      = { .target = removal->target, .collector = core->settings.incarnation };
  struct peer_promise_reply reply = { 0 };
  struct log_event *log_event;

  if (promise_find (removal, core->settings.incarnation) != NULL)
    return;
  witness_on_promise (&core->witness, &call, now, &reply);
  store_promise (removal, core->settings.incarnation, &reply, now);
  if (!reply.promised)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_PROMISE;
  log_event->node = removal->target;
}

/* Call the COUNT witnesses in SET that have not promised yet.  */
static void
call_witnesses (struct core *core, const struct removal *removal,
                const guint64 *set, guint32 count, gint64 now,
                struct actions *out)
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

/* Call every witness of NODE, both of the set on the log and of the previous
   one.  */
static void
call_all_witnesses (struct core *core, struct removal *removal,
                    const struct view_node *node, gint64 now,
                    struct actions *out)
{
  if (now < removal->next_call_at)
    return;
  removal->next_call_at = now + PROMISE_RETRY_USEC;
  promise_locally (core, removal, now, out);
  call_witnesses (core, removal, node->witnesses, node->witness_count, now,
                  out);
  call_witnesses (core, removal, node->previous_witnesses,
                  node->previous_witness_count, now, out);
}

/* Certificates */

/* Make a certificate of the promises once they are enough, the acks of their
   witnesses have expired, and this node has applied the log past their floor:
   it then knows of each witness set that the target gave up.  Return whether a
   certificate was made.  */
static gboolean
certify (struct core *core, const struct removal *removal,
         const struct view_node *node, gint64 now, struct actions *out)
{
  struct promise_quorum quorum;

  if (!promise_quorum_check (removal, node, &quorum) || now < quorum.expires_at
      || core->view.applied_offset <= quorum.floor)
    return FALSE;
  certificate_add (core, removal->target, quorum.floor, TRUE, now, out);
  return TRUE;
}

/* Return whether REMOVAL is to be continued: its target is in the view without
   a certificate, and has not become responsive before this node promised.  */
static gboolean
is_needed (const struct core *core, const struct removal *removal, gint64 now)
{
  const struct witness_ack *ack
      = witness_find (&core->witness, removal->target);

  if (ack == NULL || certificate_find (core, removal->target) != NULL
      || !handle_is_set (view_find_node (&core->view, removal->target)))
    return FALSE;
  return ack->has_promised
         || witness_is_unresponsive (&core->witness, ack, now);
}

/* Run one step of all removals.  */
void
removal_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h;

  if (view_node_at (&core->view, core->self) == NULL)
    return;
  update_from_view (core, now);
  begin_removals (core, now);
  h = table_next (&core->removals, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&core->removals, h))
    {
      struct removal *removal = table_get (&core->removals, h);
      const struct view_node *node = view_node_at (
          &core->view, view_find_node (&core->view, removal->target));
      if (!is_needed (core, removal, now))
        {
          table_remove (&core->removals, h);
          continue;
        }
      call_all_witnesses (core, removal, node, now, out);
      if (certify (core, removal, node, now, out))
        table_remove (&core->removals, h);
    }
}

/* Handle the reply of a witness to a call for a promise.  */
void
removal_on_reply (struct core *core, const struct event_peer_reply *reply,
                  gint64 now, struct actions *out)
{
  const struct peer_promise_reply *body = &reply->body.u.promise;
  struct removal *removal = find_removal (core, body->target);

  if (removal == NULL)
    return;
  store_promise (removal, reply->peer_incarnation, body, now);
  removal_step (core, now, out);
  certificate_step (core, now, out);
}
