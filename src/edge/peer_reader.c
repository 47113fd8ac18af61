#include "edge/peer_reader.h"
#include "types/clock.h"

#include "edge/node.h"
#include "wire/wire_record.h"
#include "wire/wire_tail.h"

#include <string.h>

/* Between calls, unless the last reply brought records.  */
#define CALL_INTERVAL_USEC ((gint64)250000)
#define CALL_TIMEOUT_USEC ((gint64)1000000) /* timeout of a call */
/* Greatest age of the records in an accepted reply.  */
#define STALE_USEC ((gint64)4000000)

/* Reading */

/* Report to the core that the read failed with CODE, and schedule the next
   one.  */
static void
read_failed (struct node *node, enum err code)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  node->peer_log.is_call_pending = FALSE;
  node->peer_log.next_call_at = clock_usec () + CALL_INTERVAL_USEC;
  event.u.log_failed.code = code;
  node_handle_event (node, &event);
}

/* Switch to reading from a peer or from the log, as ACTION says.  A reply to
   an earlier call is ignored.  */
void
peer_reader_set_source (struct node *node,
                        const struct action_read_log *action)
{
  struct peer_reader *reader = &node->peer_log;

  reader->is_active = action->from_peer;
  reader->call_serial++;
  reader->is_call_pending = FALSE;
  reader->next_call_at = 0;
  reader->peer_address = action->address;
  reader->next_offset = action->offset;
  if (action->from_peer)
    log_client_stop (&node->log);
  else
    log_client_seek (&node->log, action->offset);
}

/* Call the peer for records if it is the source, no call is pending and the
   next one is due.  */
void
peer_reader_step (struct node *node, gint64 now)
{
  struct peer_reader *reader = &node->peer_log;
  struct tail_call call = { reader->next_offset };
  struct link_tag tag = { 0 };

  if (!reader->is_active || reader->is_call_pending
      || now < reader->next_call_at)
    return;
  tag.serial = ++reader->call_serial;
  reader->is_call_pending = TRUE;
  reader->call_started_at = now;
  links_call (&node->proxy.links, reader->peer_address, RPC_READ_LOG,
              wire_tail_call, &call, &tag, now + CALL_TIMEOUT_USEC);
}

/* Pass the records of REPLY to the core and keep them for other nodes.  The
   reply of a peer never counts as a read up to the end of the log.  */
static void
handle_records (struct node *node, const struct tail_reply *reply)
{
  struct peer_reader *reader = &node->peer_log;
  struct event event = { .kind = EVENT_RECORDS };
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));

  if (record_decode_frames (entries, reply->bytes, reply->length) != ERR_NONE)
    read_failed (node, ERR_MALFORMED);
  else if (entries->len > 0)
    {
      reader->next_offset
          = g_array_index (entries, struct log_entry, entries->len - 1).offset
            + 1;
      reader->next_call_at = 0;
      tail_store_add (&node->recent_records, reply->bytes, reply->length);
      node->proxy.counters.records_read += entries->len;
      event.u.records.items = (const struct log_entry *)entries->data;
      event.u.records.count = entries->len;
      event.u.records.next_offset = reader->next_offset;
      event.u.records.started_at = reader->call_started_at;
      node_handle_event (node, &event);
    }
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
}

/* Handle the peer's reply, or the failure of the call.  Records that were up
   to date longer than STALE_USEC ago are rejected.  */
void
peer_reader_on_reply (struct node *node, const struct link_event *event)
{
  struct peer_reader *reader = &node->peer_log;
  struct tail_reply reply = { 0 };
  gint64 now = clock_usec ();
  enum err code = event->code;

  if (!reader->is_active || !reader->is_call_pending
      || event->tag.serial != reader->call_serial)
    return;
  reader->is_call_pending = FALSE;
  reader->next_call_at = now + CALL_INTERVAL_USEC;
  if (code == ERR_NONE)
    code = wire_decode (wire_tail_reply, &reply, event->bytes, event->length);
  if (code == ERR_NONE && reply.age_usec > STALE_USEC)
    code = ERR_TIMEOUT;
  if (code == ERR_NONE)
    {
      reader->up_to_date_at
          = reader->call_started_at - MAX (reply.age_usec, 0);
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
  return node->peer_log.is_active ? node->peer_log.up_to_date_at
                                  : node->log.up_to_date_at;
}

/* Reply to another node's call with the records that this node has kept.  A
   node that skipped a record of an unsupported version replies with
   ERR_VERSION, because its view is incomplete.  */
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
  reply.age_usec = clock_usec () - up_to_date_time (node);
  reply.bytes = bytes->data;
  reply.length = bytes->len;
  links_reply (&node->proxy.links, event->link, event->xid, code,
               code == ERR_NONE ? wire_tail_reply : NULL, &reply);
  g_byte_array_unref (bytes);
}
