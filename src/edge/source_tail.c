#include "edge/source_tail.h"
#include "types/clock.h"

#include "edge/node.h"
#include "wire/wire_record.h"
#include "wire/wire_tail.h"

#include <string.h>

#define CALL_INTERVAL_USEC ((gint64)250000) /* unless records arrived */
#define CALL_TIMEOUT_USEC ((gint64)1000000) /* timeout of a call */
#define STALE_USEC ((gint64)4000000)        /* oldest records accepted */

/* Reading */

/* Report to the core that the read failed with CODE, and schedule the next
   one.  */
static void
read_failed (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  node->tail_source.busy = FALSE;
  node->tail_source.ask_at = clock_usec () + CALL_INTERVAL_USEC;
  event.u.log_failed.code = code;
  node_feed (node, &event);
}

/* Switch to reading from a peer or from the log, as ACTION says.  A reply to
   an earlier call is ignored.  */
void
source_tail_set (struct node *node, const struct action_read_log *action)
{
  struct source_tail *source = &node->tail_source;

  source->active = action->from_peer;
  source->serial++;
  source->busy = FALSE;
  source->ask_at = 0;
  source->to = action->address;
  source->next = action->offset;
  if (action->from_peer)
    log_client_stop (&node->log);
  else
    log_client_seek (&node->log, action->offset);
}

/* Call the peer for records if it is the source, no call is pending and the
   next one is due.  */
void
source_tail_step (struct node *node, gint64 now)
{
  struct source_tail *source = &node->tail_source;
  struct tail_call call = { source->next };
  struct link_tag tag = { 0 };

  if (!source->active || source->busy || now < source->ask_at)
    return;
  tag.serial = ++source->serial;
  source->busy = TRUE;
  source->asked_at = now;
  links_call (&node->proxy.links, source->to, RPC_READ_LOG, wire_tail_call,
              &call, &tag, now + CALL_TIMEOUT_USEC);
}

/* Pass the records of REPLY to the core and keep them for other nodes.  The
   reply of a peer never counts as a read up to the end of the log.  */
static void
handle_records (struct node *node, const struct tail_reply *reply)
{
  struct source_tail *source = &node->tail_source;
  struct event event = { .kind = EVENT_RECORDS };
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));

  if (record_decode_frames (entries, reply->bytes, reply->length) != ERR_NONE)
    read_failed (node, ERR_MALFORMED);
  else if (entries->len > 0)
    {
      source->next
          = g_array_index (entries, struct log_entry, entries->len - 1).offset
            + 1;
      source->ask_at = 0;
      tail_store_add (&node->tail, reply->bytes, reply->length);
      node->proxy.counters.records += entries->len;
      event.u.records.items = (const struct log_entry *)entries->data;
      event.u.records.count = entries->len;
      event.u.records.next_offset = source->next;
      event.u.records.started_at = source->asked_at;
      node_feed (node, &event);
    }
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
}

/* Handle the peer's reply, or the failure of the call.  Records that were up
   to date longer than STALE_USEC ago are rejected.  */
void
source_tail_reply (struct node *node, const struct link_event *event)
{
  struct source_tail *source = &node->tail_source;
  struct tail_reply reply = { 0 };
  gint64 now = clock_usec ();
  enum err code = event->code;

  if (!source->active || !source->busy || event->tag.serial != source->serial)
    return;
  source->busy = FALSE;
  source->ask_at = now + CALL_INTERVAL_USEC;
  if (code == ERR_NONE)
    code = wire_decode (wire_tail_reply, &reply, event->bytes, event->length);
  if (code == ERR_NONE && reply.age_usec > STALE_USEC)
    code = ERR_TIMEOUT;
  if (code == ERR_NONE)
    {
      source->fresh_at = source->asked_at - MAX (reply.age_usec, 0);
      handle_records (node, &reply);
    }
  else
    read_failed (node, code);
  g_free (reply.bytes);
}

/* Serving */

/* Return when this node's records last reached the end of the log, monotonic
   usec.  */
static gint64
up_to_date_time (const struct node *node)
{
  return node->tail_source.active ? node->tail_source.fresh_at
                                  : node->log.fresh_at;
}

/* Reply to another node's call with the records that this node has kept.  A
   node that skipped a record of an unsupported version replies with
   ERR_VERSION, because its view is incomplete.  */
void
source_tail_call (struct node *node, const struct link_event *event)
{
  struct tail_call call = { 0 };
  struct tail_reply reply = { 0 };
  GByteArray *bytes = g_byte_array_new ();
  enum err code
      = wire_decode (wire_tail_call, &call, event->bytes, event->length);

  if (code == ERR_NONE && node->core.view.unsupported_offset != 0)
    code = ERR_VERSION;
  if (code == ERR_NONE)
    code = tail_store_read (&node->tail, call.offset, bytes);
  reply.next_offset = node->tail.next;
  reply.age_usec = clock_usec () - up_to_date_time (node);
  reply.bytes = bytes->data;
  reply.length = bytes->len;
  links_reply (&node->proxy.links, event->link, event->xid, code,
               code == ERR_NONE ? wire_tail_reply : NULL, &reply);
  g_byte_array_unref (bytes);
}
