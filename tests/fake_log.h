#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "decide/core.h"
#include "wire/wire_view.h"

/* A log in memory and cores of nodes that use it.  Appends take effect at
   once, and the test decides when a node reads.  Calls between nodes of one
   log are answered at once; other calls get no reply.  */

#define FAKE_NODES_MAX 8u    /* nodes that use one log */
#define FAKE_PAGE_BYTES 200u /* bytes of a snapshot in one reply */

struct fake_log
{
  GArray *entries; /* struct log_entry, offsets from 1 */
  guint64 first;   /* first offset that is retained */
  struct fake_node *nodes[FAKE_NODES_MAX]; /* nodes that use the log */
  guint count;                             /* number of nodes */
};

struct fake_node
{
  struct fake_log *log;
  struct core core;
  guint64 cursor;               /* offset to read next */
  gint64 now;                   /* time of the node, monotonic microseconds */
  enum err append_code;         /* error code reported for appends */
  gboolean loses_appends;       /* appends have no effect */
  guint append_count;           /* appends that the core requested */
  guint call_count;             /* calls that the core requested */
  guint log_event_counts[1000]; /* log events by number */
  struct peer_reply reply;      /* latest reply to a call */
  GByteArray *served; /* view, as encoded for the latest snapshot request */
};

static inline void
fake_log_init (struct fake_log *log)
{
  log->entries = g_array_new (FALSE, TRUE, sizeof (struct log_entry));
  log->first = 1;
  log->count = 0;
}

static inline void
fake_log_clear (struct fake_log *log)
{
  guint i;

  for (i = 0; i < log->entries->len; i++)
    record_clear (&g_array_index (log->entries, struct log_entry, i).record);
  g_array_free (log->entries, TRUE);
}

/* Append a copy of RECORD and return its offset.  */
static inline guint64
fake_log_append (struct fake_log *log, const struct record *record)
{
  struct log_entry entry = { .offset = log->entries->len + 1 };

  record_copy (&entry.record, record);
  g_array_append_val (log->entries, entry);
  return entry.offset;
}

static inline void fake_node_step (struct fake_node *node,
                                   const struct event *event);

/* Append RECORD for NODE, and report the result to it.  */
static inline void
fake_node_append (struct fake_node *node, const struct record *record)
{
  struct event event = { .kind = EVENT_APPENDED };

  node->append_count++;
  event.u.appended.serial = record->serial;
  event.u.appended.code = node->append_code;
  if (!node->loses_appends)
    event.u.appended.offset = fake_log_append (node->log, record);
  fake_node_step (node, &event);
}

/* Tell whether CALL is for PEER: by incarnation, or by address if it names no
   incarnation.  */
static inline gboolean
fake_node_is_called (const struct fake_node *peer,
                     const struct action_peer_call *call)
{
  if (call->body.target_incarnation == 0)
    return address_equal (call->address, peer->core.settings.peer_address);
  return peer->core.settings.incarnation == call->body.target_incarnation;
}

/* Deliver CALL from NODE to its target, and the reply back to NODE.  */
static inline void
fake_node_call (struct fake_node *node, const struct action_peer_call *call)
{
  struct event event = { .kind = EVENT_PEER_CALL };
  guint i;

  node->call_count++;
  event.u.peer_call.body = call->body;
  for (i = 0; i < node->log->count; i++)
    {
      struct fake_node *peer = node->log->nodes[i];
      struct event reply_event = { .kind = EVENT_PEER_REPLY };
      if (peer == node || !fake_node_is_called (peer, call))
        continue;
      fake_node_step (peer, &event);
      reply_event.u.peer_reply.serial = call->serial;
      reply_event.u.peer_reply.peer_incarnation = call->peer_incarnation;
      reply_event.u.peer_reply.body = peer->reply;
      fake_node_step (node, &reply_event);
    }
}

/* Reply with a small page of the view.  */
static inline void
fake_node_serve (struct fake_node *node,
                 const struct action_snapshot_reply *action)
{
  struct peer_fetch_reply *page = &node->reply.u.fetch;

  if (action->position == 0)
    {
      g_clear_pointer (&node->served, g_byte_array_unref);
      node->served = view_encode (&node->core.view);
    }
  memset (&node->reply, 0, sizeof node->reply);
  node->reply.kind = PEER_FETCH;
  page->snapshot_offset = node->core.view.applied_offset;
  page->position = action->position;
  page->total_length = node->served->len;
  page->bytes = node->served->data + action->position;
  page->length = MIN (FAKE_PAGE_BYTES, page->total_length - action->position);
}

/* Perform ACTION for NODE.  */
static inline void
fake_node_do (struct fake_node *node, const struct action *action)
{
  struct event event = { .kind = EVENT_TICK };
  struct view decoded;
  GByteArray *bytes;

  switch (action->kind)
    {
    case ACTION_APPEND:
      fake_node_append (node, &action->u.append.record);
      break;
    case ACTION_PEER_CALL:
      fake_node_call (node, &action->u.peer_call);
      break;
    case ACTION_PEER_REPLY:
      node->reply = action->u.peer_reply.body;
      break;
    case ACTION_READ_LOG:
      node->cursor = action->u.read_log.offset;
      break;
    case ACTION_LOG_EVENT:
      node->log_event_counts[action->u.log_event.id]++;
      break;
    case ACTION_SNAPSHOT_ENCODE:
      bytes = view_encode (&node->core.view);
      event.kind = EVENT_SNAPSHOT_ENCODED;
      event.u.snapshot_encoded.snapshot_offset
          = node->core.view.applied_offset;
      event.u.snapshot_encoded.bytes = bytes->data;
      event.u.snapshot_encoded.length = bytes->len;
      fake_node_step (node, &event);
      g_byte_array_unref (bytes);
      break;
    case ACTION_SNAPSHOT_REPLY:
      fake_node_serve (node, &action->u.snapshot_reply);
      break;
    case ACTION_SNAPSHOT_DECODE:
      event.kind = EVENT_SNAPSHOT_DECODED;
      if (view_decode (&decoded, action->u.snapshot_decode.bytes,
                       action->u.snapshot_decode.length)
          == ERR_NONE)
        event.u.snapshot_decoded.view = &decoded;
      else
        view_clear (&decoded);
      fake_node_step (node, &event);
      break;
    default:
      break;
    }
}

/* Pass EVENT to the core of NODE, and perform the resulting actions.  */
static inline void
fake_node_step (struct fake_node *node, const struct event *event)
{
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (&node->core, event, node->now, &actions);
  for (i = 0; i < actions.items->len; i++)
    fake_node_do (node, actions_at (&actions, i));
  actions_clear (&actions);
}

/* Advance the clock of NODE by USEC microseconds and send it a tick.  */
static inline void
fake_node_tick (struct fake_node *node, gint64 usec)
{
  struct event event = { .kind = EVENT_TICK };

  node->now += usec;
  fake_node_step (node, &event);
}

/* Let NODE read at most COUNT records up to the end of the log.  */
static inline void
fake_node_read (struct fake_node *node, guint count)
{
  struct event event = { .kind = EVENT_RECORDS };
  struct event_records *records = &event.u.records;
  guint64 end = node->log->entries->len + 1;
  guint64 from = MAX (node->cursor, 1);

  node->now++;
  records->started_at = node->now;
  if (from < node->log->first)
    {
      event.kind = EVENT_LOG_FAILED;
      event.u.log_failed.code = ERR_NOT_RETAINED;
      event.u.log_failed.first_retained = node->log->first;
      fake_node_step (node, &event);
      return;
    }
  records->count = (guint32)MIN (count, end - from);
  records->items
      = (const struct log_entry *)node->log->entries->data + (from - 1);
  records->next_offset = from + records->count;
  records->first_retained = node->log->first;
  records->at_end = records->next_offset == end;
  records->from_log = TRUE;
  node->cursor = records->next_offset;
  node->now++;
  /* Appends during the step may move the entries, so a copy is passed.  */
  records->items
      = g_memdup2 (records->items, records->count * sizeof (struct log_entry));
  fake_node_step (node, &event);
  g_free ((gpointer)records->items);
}

/* Start a node with INCARNATION and a backend server of the service
   "menu".  */
static inline void
fake_node_init (struct fake_node *node, struct fake_log *log,
                guint64 incarnation)
{
  struct core_settings settings = { .incarnation = incarnation,
                                    .zone = "a",
                                    .service = "menu",
                                    .snapshot_records = 20,
                                    .snapshot_interval_sec = 600 };
  struct event event = { .kind = EVENT_SERVER_UP };

  memset (node, 0, sizeof *node);
  node->log = log;
  if (log->count < FAKE_NODES_MAX)
    log->nodes[log->count++] = node;
  node->now = 1000000;
  g_snprintf (settings.host, sizeof settings.host, "h%u", (guint)incarnation);
  settings.peer_address.ip = 0x7f000001;
  settings.peer_address.port = (guint16)(6000 + incarnation);
  core_init (&node->core, &settings);
  g_strlcpy (event.u.server_up.server, settings.host,
             sizeof event.u.server_up.server);
  event.u.server_up.slots = 4;
  fake_node_step (node, &event);
}

#endif
