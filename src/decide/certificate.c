#include "decide/certificate.h"

#include "decide/core.h"
#include "decide/peers.h"
#include "decide/takeover.h"

#define SEND_AGAIN_USEC ((gint64)300000)  /* interval of the first sendings */
#define SEND_LATER_USEC ((gint64)3000000) /* interval of later sendings */
#define SEND_OFTEN_COUNT 5u               /* sendings at the short interval */
/* A node that did not collect a certificate proposes the removal only after
   this delay.  */
#define REPORT_AFTER_USEC ((gint64)2000000)

/* Return the certificate for TARGET, or NULL.  */
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

/* Return the certificate for the incarnation TARGET, or NULL if none is
   known.  */
const struct certificate *
certificate_find (const struct core *core, guint64 target)
{
  return find (core, target);
}

/* Store a certificate for TARGET with FLOOR, valid from NOW on.
   IS_COLLECTED_HERE is set if this node collected it.  Each of two
   certificates for the same target is a proof by itself, so the lower floor is
   kept.  */
void
certificate_add (struct core *core, guint64 target, guint64 floor,
                 gboolean is_collected_here, gint64 now, struct actions *out)
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
  known->is_collected_here = is_collected_here;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_CERTIFICATE;
  log_event->node = target;
  log_event->offset = floor;
}

/* Store the certificate that its collector sent in CALL.  */
void
certificate_on_call (struct core *core, const struct peer_certified *call,
                     gint64 now, struct actions *out)
{
  if (!view_was_removed (&core->view, call->target))
    certificate_add (core, call->target, call->floor, FALSE, now, out);
}

/* Propose the removal of the target of CERTIFICATE to the log: at once if this
   node collected the certificate, otherwise after a delay, in case the
   collector has failed too.  */
static void
propose_removal (struct core *core, struct certificate *certificate,
                 gint64 now)
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

/* Add the node under H to the set RECIPIENTS if it is in the view and is not
   this node.  */
static void
add_node (const struct core *core, GHashTable *recipients, struct handle h)
{
  if (view_node_at (&core->view, h) != NULL && !handle_equal (h, core->self))
    g_hash_table_add (recipients, GUINT_TO_POINTER (h.bits));
}

/* Return the nodes that the removal of TARGET affects: its witnesses, and the
   successors of the slices that TARGET owns or is a successor of.  The caller
   destroys the table.  */
static GHashTable *
find_recipients (const struct core *core, struct handle target)
{
  const struct view_node *node = view_node_at (&core->view, target);
  const struct view_service *service
      = view_find_service (&core->view, node->join.service);
  GHashTable *recipients = g_hash_table_new (NULL, NULL);
  guint32 i;
  guint k;

  for (i = 0; i < node->witness_count; i++)
    add_node (core, recipients,
              view_find_node (&core->view, node->witnesses[i]));
  for (i = 0; i < service->slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (service, i);
      gboolean is_affected = handle_equal (slice->owner, target);
      for (k = 0; k < SUCCESSOR_MAX; k++)
        is_affected
            = is_affected || handle_equal (slice->successors[k], target);
      for (k = 0; is_affected && k < SUCCESSOR_MAX; k++)
        add_node (core, recipients, slice->successors[k]);
    }
  return recipients;
}

/* Send CERTIFICATE, if it was collected here and a sending is due, to the
   nodes that it affects.  */
static void
send_to_peers (struct core *core, struct certificate *certificate, gint64 now,
               struct actions *out)
{
  struct handle target = view_find_node (&core->view, certificate->target);
  GHashTable *recipients;
  GHashTableIter iter;
  gpointer key;

  if (!certificate->is_collected_here || now < certificate->next_send_at)
    return;
  certificate->send_count++;
  certificate->next_send_at
      = now
        + (certificate->send_count < SEND_OFTEN_COUNT ? SEND_AGAIN_USEC
                                                      : SEND_LATER_USEC);
  recipients = find_recipients (core, target);
  g_hash_table_iter_init (&iter, recipients);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct handle h = { GPOINTER_TO_UINT (key) };
      struct action_peer_call *call = peers_call (
          core, view_node_at (&core->view, h), PEER_CERTIFIED, now, out);
      call->body.u.certified.target = certificate->target;
      call->body.u.certified.floor = certificate->floor;
      call->body.u.certified.collector = core->settings.incarnation;
    }
  g_hash_table_destroy (recipients);
}

/* Log how many slices this node takes over by CERTIFICATE, once the view has
   been applied past its floor.  */
static void
log_takeover (struct core *core, struct certificate *certificate,
              struct actions *out)
{
  guint count;
  struct log_event *log_event;

  if (certificate->is_takeover_logged
      || core->view.applied_offset <= certificate->floor)
    return;
  certificate->is_takeover_logged = TRUE;
  count = takeover_slice_count (core);
  if (count == 0)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_TAKEOVER;
  log_event->node = certificate->target;
  log_event->amount = count;
}

/* For each certificate whose target is still in the view: log the takeover,
   propose the removal and send the certificate, as far as these are due.  Drop
   certificates whose target has been removed; keep those whose target is not
   in the view yet.  */
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
          log_takeover (core, certificate, out);
          propose_removal (core, certificate, now);
          send_to_peers (core, certificate, now, out);
        }
    }
}
