#include "edge/peer_reader.h"
#include "types/clock.h"

#include "edge/node.h"
#include "wire/wire_record.h"
#include "wire/wire_tail.h"

#include <string.h>

#define ASK_EVERY_USEC ((gint64)250000)    /* between two calls */
#define ASK_TIMEOUT_USEC ((gint64)1000000) /* a call may take */
#define STALE_USEC ((gint64)4000000)       /* an older tail is stale */

/* Asking */

/* Tell the core that the source failed.  */
static void
tell_failed (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  node->peer_log.is_call_pending = FALSE;
  node->peer_log.next_call_at = clock_usec () + ASK_EVERY_USEC;
  event.u.log_failed.code = code;
  node_handle_event (node, &event);
}

/* Read from a peer from now on, or from the log.  */
void
peer_reader_set_source (struct node *node,
                        const struct action_read_log *action)
{
  struct peer_reader *source = &node->peer_log;

  source->is_active = action->from_peer;
  source->call_serial++;
  source->is_call_pending = FALSE;
  source->next_call_at = 0;
  source->peer_address = action->address;
  source->next_offset = action->offset;
  if (action->from_peer)
    log_client_stop (&node->log);
  else
    log_client_seek (&node->log, action->offset);
}

/* Ask the peer if that is due.  */
void
peer_reader_step (struct node *node, gint64 now)
{
  struct peer_reader *source = &node->peer_log;
  struct tail_call call = { source->next_offset };
  struct link_tag tag = { 0 };

  if (!source->is_active || source->is_call_pending
      || now < source->next_call_at)
    return;
  tag.serial = ++source->call_serial;
  source->is_call_pending = TRUE;
  source->call_started_at = now;
  links_call (&node->proxy.links, source->peer_address, RPC_READ_LOG,
              wire_tail_call, &call, &tag, now + ASK_TIMEOUT_USEC);
}

/* Tell the core the records of REPLY.  The answer of a peer never counts as a
   read to the log's tail.  */
static void
tell_records (struct node *node, const struct tail_reply *reply)
{
  struct peer_reader *source = &node->peer_log;
  struct event event = { .kind = EVENT_RECORDS };
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));

  if (record_decode_frames (entries, reply->bytes, reply->length) != ERR_NONE)
    tell_failed (node, ERR_MALFORMED);
  else if (entries->len > 0)
    {
      source->next_offset
          = g_array_index (entries, struct log_entry, entries->len - 1).offset
            + 1;
      source->next_call_at = 0;
      tail_store_add (&node->recent_records, reply->bytes, reply->length);
      node->proxy.counters.records_read += entries->len;
      event.u.records.items = (const struct log_entry *)entries->data;
      event.u.records.count = entries->len;
      event.u.records.next_offset = source->next_offset;
      event.u.records.started_at = source->call_started_at;
      node_handle_event (node, &event);
    }
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
}

/* The peer answered, or will not.  */
void
peer_reader_on_reply (struct node *node, const struct link_event *event)
{
  struct peer_reader *source = &node->peer_log;
  struct tail_reply reply = { 0 };
  gint64 now = clock_usec ();
  enum err code = event->code;

  if (!source->is_active || !source->is_call_pending
      || event->tag.serial != source->call_serial)
    return;
  source->is_call_pending = FALSE;
  source->next_call_at = now + ASK_EVERY_USEC;
  if (code == ERR_NONE)
    code = wire_decode (wire_tail_reply, &reply, event->bytes, event->length);
  if (code == ERR_NONE && reply.age_usec > STALE_USEC)
    code = ERR_TIMEOUT;
  if (code == ERR_NONE)
    {
      source->up_to_date_at
          = source->call_started_at - MAX (reply.age_usec, 0);
      tell_records (node, &reply);
    }
  else
    tell_failed (node, code);
  g_free (reply.bytes);
}

/* Answering */

/* When this node's records last reached the log's tail.  */
static gint64
fresh_at (const struct node *node)
{
  return node->peer_log.is_active ? node->peer_log.up_to_date_at
                                  : node->log.up_to_date_at;
}

/* Another node asks for records: answer with what this one has.  A node that
   has passed over a record of a later version answers nothing.  */
void
peer_reader_on_call (struct node *node, const struct link_event *event)
{
  struct tail_call call = { 0 };
  struct tail_reply reply = { 0 };
  GByteArray *bytes = g_byte_array_new ();
  enum err code
      = wire_decode (wire_tail_call, &call, event->bytes, event->length);

  if (code == ERR_NONE && node->core.view.unsupported_offset != 0)
    code = ERR_VERSION;
  if (code == ERR_NONE)
    code = tail_store_read (&node->recent_records, call.offset, bytes);
  reply.next_offset = node->recent_records.next_offset;
  reply.age_usec = clock_usec () - fresh_at (node);
  reply.bytes = bytes->data;
  reply.length = bytes->len;
  links_reply (&node->proxy.links, event->link, event->xid, code,
               code == ERR_NONE ? wire_tail_reply : NULL, &reply);
  g_byte_array_unref (bytes);
}
