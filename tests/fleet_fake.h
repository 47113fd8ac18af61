#ifndef TESTS_FLEET_FAKE_H
#define TESTS_FLEET_FAKE_H

#include "decide/core.h"
#include "decide/ownership.h"
#include "tests/make_record.h"

/* A few cores joined by fakes: a log in memory, and calls that arrive one step
   later.  Time is counted here.  After each step no slice may be served by two
   nodes.  Node N of fold_make.h is core N - 1.  */

#define FLEET_MAX 10
#define FLEET_STEP_USEC ((gint64)10000) /* one step */
#define FLEET_STEPS_A_TICK 5u           /* a core is woken so often */

/* A call or reply on its way.  */
struct fleet_mail
{
  int from;           /* sender */
  int to;             /* receiver, -1 if there is no such node */
  gint64 due_at;      /* when it arrives */
  struct event event; /* what it is told */
};

struct fleet
{
  int count;                          /* nodes */
  struct core cores[FLEET_MAX];       /* their decisions */
  gboolean up[FLEET_MAX];             /* it runs; FALSE when dead or frozen */
  gboolean is_lagging[FLEET_MAX];     /* it does not read the log */
  gboolean exit_requested[FLEET_MAX]; /* it has asked to be ended */
  gboolean cut[FLEET_MAX][FLEET_MAX]; /* no call passes from one to another */
  guint64 next_read[FLEET_MAX];       /* offset it reads next */
  GArray *log;                        /* struct log_entry, from offset 1 */
  gboolean log_down;                  /* the log serves nobody */
  GArray *mail;                       /* struct fleet_mail */
  gint64 now;                         /* monotonic microseconds */
  guint64 steps;                      /* steps so far */
  guint takeovers;                    /* takeovers noted */
  guint two_owners;                   /* slices seen served by two nodes */
  guint refused_kind;    /* the log refuses records of this kind */
  GRand *random;         /* where calls are delayed at random */
  gint64 delay_max_usec; /* longest delay of a call */
};

/* Append RECORD, which is released, and return its offset.  */
static inline guint64
fleet_append (struct fleet *fleet, struct record record)
{
  struct log_entry entry = { .offset = fleet->log->len + 1 };

  record_copy (&entry.record, &record);
  record_clear (&record);
  g_array_append_val (fleet->log, entry);
  return entry.offset;
}

/* Put EVENT on its way from one node to another.  */
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

/* Do what node I wants.  */
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
      event.u.peer_call.xid = (guint32)action->u.call.serial;
      event.u.peer_call.body = action->u.call.body;
      fleet_send (fleet, i,
                  (int)((action->u.call.peer_incarnation - 1) % FLEET_MAX),
                  &event);
      break;
    case ACTION_PEER_REPLY:
      event.kind = EVENT_PEER_REPLY;
      event.u.peer_reply.serial = action->u.reply.xid;
      event.u.peer_reply.peer_incarnation
          = fleet->cores[i].settings.incarnation;
      event.u.peer_reply.body = action->u.reply.body;
      fleet_send (fleet, i, (int)action->u.reply.link.bits, &event);
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

/* Let node I take in EVENT.  */
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

/* Let node I read the log to its tail.  */
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

/* Deliver what was sent before this step.  */
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
