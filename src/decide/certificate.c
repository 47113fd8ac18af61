#include "decide/certificate.h"

#include "decide/core.h"
#include "decide/peers.h"
#include "decide/takeover.h"

#define SEND_AGAIN_USEC ((gint64)300000)  /* between the first sendings */
#define SEND_LATER_USEC ((gint64)3000000) /* between the later ones */
#define SEND_OFTEN_COUNT 5u               /* sendings that count as first */
#define REPORT_AFTER_USEC                                                     \
  ((gint64)2000000) /* before a node that did not collect it reports it */

/* The certificate for TARGET, or NULL.  */
static struct certificate *
find (const struct core *core, guint64 target)
{
  struct handle h = table_next (&core->certificates, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->certificates, h))
    {
      struct certificate *certificate = table_get (&core->certificates, h);
      if (certificate->target == target)
        return certificate;
    }
  return NULL;
}

/* The certificate for TARGET, or NULL if none is known.  */
const struct certificate *
certificate_find (const struct core *core, guint64 target)
{
  return find (core, target);
}

/* Keep a certificate that is valid from NOW on.  Of two for one target either
   is a proof by itself; the one with the lower floor is kept.  */
void
certificate_add (struct core *core, guint64 target, guint64 floor,
                 gboolean own, gint64 now, struct actions *out)
{
  struct certificate *known = find (core, target);
  struct log_event *log_event;

  if (known != NULL)
    {
      known->floor = MIN (known->floor, floor);
      return;
    }
  known = table_get (&core->certificates, table_add (&core->certificates));
  known->target = target;
  known->floor = floor;
  known->valid_at = now;
  known->is_collected_here = own;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_CERTIFICATE;
  log_event->node = target;
  log_event->offset = floor;
}

/* A collector sent a certificate.  */
void
certificate_on_call (struct core *core, const struct peer_certified *call,
                     gint64 now, struct actions *out)
{
  if (!view_was_removed (&core->view, call->target))
    certificate_add (core, call->target, call->floor, FALSE, now, out);
}

/* Propose `out' for the target: at once where the certificate was collected,
   later elsewhere, in case the collector is gone too.  */
static void
report (struct core *core, struct certificate *certificate, gint64 now)
{
  struct record_removed *body;

  if (certificate->is_reported)
    return;
  if (!certificate->is_collected_here
      && (core->is_log_down
          || now - certificate->valid_at < REPORT_AFTER_USEC))
    return;
  certificate->is_reported = TRUE;
  body = &outbox_propose (&core->outbox, RECORD_REMOVED)->body.removed;
  body->incarnation = certificate->target;
  body->floor = certificate->floor;
  body->cause = REMOVAL_CERTIFICATE;
}

/* Add H to the set NODES if it is a node other than this one.  */
static void
add_node (const struct core *core, GHashTable *nodes, struct handle h)
{
  if (view_node_at (&core->view, h) != NULL && !handle_equal (h, core->self))
    g_hash_table_add (nodes, GUINT_TO_POINTER (h.bits));
}

/* Find whom the removal of TARGET concerns: the successors of its slices and
   its witnesses.  */
static GHashTable *
nodes_concerned (const struct core *core, struct handle target)
{
  const struct view_node *node = view_node_at (&core->view, target);
  const struct view_service *service
      = view_find_service (&core->view, node->join.service);
  GHashTable *nodes = g_hash_table_new (NULL, NULL);
  guint32 i;
  guint k;

  for (i = 0; i < node->witness_count; i++)
    add_node (core, nodes, view_find_node (&core->view, node->witnesses[i]));
  for (i = 0; i < service->slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (service, i);
      gboolean concerned = handle_equal (slice->owner, target);
      for (k = 0; k < SUCCESSOR_MAX; k++)
        concerned = concerned || handle_equal (slice->successors[k], target);
      for (k = 0; concerned && k < SUCCESSOR_MAX; k++)
        add_node (core, nodes, slice->successors[k]);
    }
  return nodes;
}

/* Send a certificate that was collected here to the nodes concerned.  */
static void
send_out (struct core *core, struct certificate *certificate, gint64 now,
          struct actions *out)
{
  struct handle target = view_find_node (&core->view, certificate->target);
  GHashTable *nodes;
  GHashTableIter iter;
  gpointer key;

  if (!certificate->is_collected_here || now < certificate->next_send_at)
    return;
  certificate->send_count++;
  certificate->next_send_at
      = now
        + (certificate->send_count < SEND_OFTEN_COUNT ? SEND_AGAIN_USEC
                                                      : SEND_LATER_USEC);
  nodes = nodes_concerned (core, target);
  g_hash_table_iter_init (&iter, nodes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct handle h = { GPOINTER_TO_UINT (key) };
      struct action_peer_call *call = peers_call (
          core, view_node_at (&core->view, h), PEER_CERTIFIED, now, out);
      call->body.u.certified.target = certificate->target;
      call->body.u.certified.floor = certificate->floor;
      call->body.u.certified.collector = core->settings.incarnation;
    }
  g_hash_table_destroy (nodes);
}

/* Note what this node takes over by CERTIFICATE, once it has folded up to the
   floor.  */
static void
use (struct core *core, struct certificate *certificate, struct actions *out)
{
  guint count;
  struct log_event *log_event;

  if (certificate->is_takeover_logged
      || core->view.applied_offset <= certificate->floor)
    return;
  certificate->is_takeover_logged = TRUE;
  count = takeover_count (core);
  if (count == 0)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_TAKEOVER;
  log_event->node = certificate->target;
  log_event->amount = count;
}

/* Tell the nodes concerned and the log of each certificate whose target is
   still in the view, and forget those whose target has gone out.  One whose
   target has not been seen yet stays.  */
void
certificate_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h = table_next (&core->certificates, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->certificates, h))
    {
      struct certificate *certificate = table_get (&core->certificates, h);
      if (view_was_removed (&core->view, certificate->target))
        table_remove (&core->certificates, h);
      else if (handle_is_set (
                   view_find_node (&core->view, certificate->target)))
        {
          use (core, certificate, out);
          report (core, certificate, now);
          send_out (core, certificate, now, out);
        }
    }
}
