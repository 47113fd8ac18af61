#ifndef TESTS_FLEET_FAKE_H
#define TESTS_FLEET_FAKE_H

#include "decide/core.h"
#include "decide/ownership.h"
#include "tests/make_record.h"

/* Several cores connected by fakes: a log in memory, and calls that arrive one
   step later.  Time advances only in steps.  After each step no slice may be
   served by two nodes.  Node N of make_record.h is core N - 1.  */

#define FLEET_MAX 10
#define FLEET_STEP_USEC ((gint64)10000) /* length of a step */
#define FLEET_STEPS_A_TICK 5u           /* steps between two ticks of a core */

/* A call or reply that has been sent.  */
struct fleet_mail
{
  int from;           /* sending node */
  int to;             /* receiving node, -1 if there is no such node */
  gint64 due_at;      /* when the message arrives, microseconds */
  struct event event; /* event that the receiver processes */
};

struct fleet
{
  int count;                    /* nodes in the fleet */
  struct core cores[FLEET_MAX]; /* cores of the nodes */
  gboolean up[FLEET_MAX];       /* the process runs; FALSE if dead or frozen */
  gboolean is_lagging[FLEET_MAX];     /* the node does not read the log */
  gboolean exit_requested[FLEET_MAX]; /* the core has asked to exit */
  /* calls from the first node to the second are lost */
  gboolean cut[FLEET_MAX][FLEET_MAX];
  guint64 next_read[FLEET_MAX]; /* next log offset that the node reads */
  GArray *log;                  /* struct log_entry, from offset 1 */
  gboolean log_down;            /* the log refuses reads and appends */
  GArray *mail;                 /* struct fleet_mail */
  gint64 now;                   /* current time, monotonic microseconds */
  guint64 steps;                /* steps made so far */
  guint takeovers;              /* takeovers logged */
  guint two_owners;             /* times that two nodes served one slice */
  guint refused_kind;           /* the log refuses records of this kind */
  GRand *random; /* random generator of delays and lost answers, or NULL */
  gint64 delay_max_usec; /* longest delay of a call, microseconds */
};

/* Append RECORD to the log, release it, and return its offset.  */
static inline guint64
fleet_append (struct fleet *fleet, struct record record)
{
  struct log_entry entry = { .offset = fleet->log->len + 1 };

  record_copy (&entry.record, &record);
  record_clear (&record);
  g_array_append_val (fleet->log, entry);
  return entry.offset;
}

/* Send EVENT from node FROM to node TO, unless the connection is cut.  */
static inline void
fleet_send (struct fleet *fleet, int from, int to, const struct event *event)
{
  struct fleet_mail mail = { from, to, fleet->now, *event };

  if (fleet->random != NULL && fleet->delay_max_usec > 0 && from != to)
    mail.due_at
        += g_rand_int_range (fleet->random, 0, (gint32)fleet->delay_max_usec);
  if (to >= 0 && to < fleet->count && (from == to || !fleet->cut[from][to]))
    g_array_append_val (fleet->mail, mail);
}

/* Carry out ACTION of node I.  */
static inline void
fleet_do (struct fleet *fleet, int i, const struct action *action)
{
  struct event event = { .kind = EVENT_APPENDED };
  struct record record;

  switch (action->kind)
    {
    case ACTION_APPEND:
      event.u.appended.serial = action->u.append.record.serial;
      record_copy (&record, &action->u.append.record);
      if (fleet->log_down
          || record.kind == (enum record_kind)fleet->refused_kind)
        {
          event.u.appended.code = ERR_UNAVAILABLE;
          record_clear (&record);
        }
      else
        {
          event.u.appended.offset = fleet_append (fleet, record);
          if (fleet->random != NULL
              && g_rand_int_range (fleet->random, 0, 4) == 0)
            event.u.appended.code = ERR_INDETERMINATE;
        }
      fleet_send (fleet, i, i, &event);
      break;
    case ACTION_PEER_CALL:
      event.kind = EVENT_PEER_CALL;
      event.u.peer_call.link.bits = (guint32)i;
      event.u.peer_call.xid = (guint32)action->u.peer_call.serial;
      event.u.peer_call.body = action->u.peer_call.body;
      fleet_send (
          fleet, i,
          (int)((action->u.peer_call.peer_incarnation - 1) % FLEET_MAX),
          &event);
      break;
    case ACTION_PEER_REPLY:
      event.kind = EVENT_PEER_REPLY;
      event.u.peer_reply.serial = action->u.peer_reply.xid;
      event.u.peer_reply.peer_incarnation
          = fleet->cores[i].settings.incarnation;
      event.u.peer_reply.body = action->u.peer_reply.body;
      fleet_send (fleet, i, (int)action->u.peer_reply.link.bits, &event);
      break;
    case ACTION_EXIT:
      fleet->exit_requested[i] = TRUE;
      break;
    case ACTION_LOG_EVENT:
      if (action->u.log_event.id == LOG_EVENT_TAKEOVER)
        fleet->takeovers++;
      break;
    default:
      break;
    }
}

/* Let the core of node I process EVENT, and carry out its actions.  */
static inline void
fleet_feed (struct fleet *fleet, int i, const struct event *event)
{
  struct actions actions;
  guint k;

  actions_init (&actions);
  core_step (&fleet->cores[i], event, fleet->now, &actions);
  for (k = 0; k < actions.items->len; k++)
    fleet_do (fleet, i, actions_at (&actions, k));
  actions_clear (&actions);
}

/* Let node I read the log to its end.  */
static inline void
fleet_read (struct fleet *fleet, int i)
{
  struct event event = { .kind = EVENT_RECORDS };
  struct event_records *records = &event.u.records;

  if (fleet->log_down)
    {
      event.kind = EVENT_LOG_FAILED;
      event.u.log_failed.code = ERR_UNAVAILABLE;
    }
  else
    {
      records->items = &g_array_index (fleet->log, struct log_entry,
                                       fleet->next_read[i] - 1);
      records->count = fleet->log->len - (guint)(fleet->next_read[i] - 1);
      records->next_offset = fleet->log->len + 1;
      records->at_end = TRUE;
      records->from_log = TRUE;
      records->started_at = fleet->now;
      fleet->next_read[i] = records->next_offset;
    }
  fleet_feed (fleet, i, &event);
}

/* Deliver the messages that are due.  */
static inline void
fleet_deliver (struct fleet *fleet)
{
  GArray *mail = fleet->mail;
  guint k;

  fleet->mail = g_array_new (FALSE, TRUE, sizeof (struct fleet_mail));
  for (k = 0; k < mail->len; k++)
    {
      const struct fleet_mail *item
          = &g_array_index (mail, struct fleet_mail, k);
      gboolean own = item->from == item->to;
      if (item->due_at > fleet->now || (own && !fleet->up[item->to]))
        g_array_append_vals (fleet->mail, item, 1);
      else if (fleet->up[item->to])
        fleet_feed (fleet, item->to, &item->event);
    }
  g_array_free (mail, TRUE);
}

#endif
