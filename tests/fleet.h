#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "decide/core.h"
#include "decide/own.h"
#include "tests/fold_make.h"

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
  gint64 due;         /* when it arrives */
  struct event event; /* what it is told */
};

struct fleet
{
  int count;                          /* nodes */
  struct core cores[FLEET_MAX];       /* their decisions */
  gboolean up[FLEET_MAX];             /* it runs; FALSE when dead or frozen */
  gboolean lags[FLEET_MAX];           /* it does not read the log */
  gboolean exited[FLEET_MAX];         /* it has asked to be ended */
  gboolean cut[FLEET_MAX][FLEET_MAX]; /* no call passes from one to another */
  guint64 read[FLEET_MAX];            /* offset it reads next */
  GArray *log;                        /* struct log_entry, from offset 1 */
  gboolean log_down;                  /* the log serves nobody */
  GArray *mail;                       /* struct fleet_mail */
  gint64 now;                         /* monotonic microseconds */
  guint64 steps;                      /* steps so far */
  guint takeovers;                    /* takeovers noted */
  guint two_owners;                   /* slices seen served by two nodes */
  guint skip;       /* the log refuses records of this kind */
  GRand *chance;    /* where calls are delayed at random */
  gint64 delay_max; /* longest delay of a call */
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

  if (fleet->chance != NULL && fleet->delay_max > 0 && from != to)
    mail.due += g_rand_int_range (fleet->chance, 0, (gint32)fleet->delay_max);
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
      if (fleet->log_down || record.kind == (enum record_kind)fleet->skip)
        {
          event.u.appended.code = ERR_UNAVAILABLE;
          record_clear (&record);
        }
      else
        {
          event.u.appended.offset = fleet_append (fleet, record);
          if (fleet->chance != NULL
              && g_rand_int_range (fleet->chance, 0, 4) == 0)
            event.u.appended.code = ERR_EFFECT;
        }
      fleet_send (fleet, i, i, &event);
      break;
    case ACTION_CALL:
      event.kind = EVENT_PEER_CALL;
      event.u.peer_call.call.bits = (guint32)i;
      event.u.peer_call.xid = (guint32)action->u.call.serial;
      event.u.peer_call.body = action->u.call.body;
      fleet_send (fleet, i, (int)((action->u.call.peer - 1) % FLEET_MAX),
                  &event);
      break;
    case ACTION_REPLY:
      event.kind = EVENT_PEER_REPLY;
      event.u.peer_reply.serial = action->u.reply.xid;
      event.u.peer_reply.peer = fleet->cores[i].settings.incarnation;
      event.u.peer_reply.body = action->u.reply.body;
      fleet_send (fleet, i, (int)action->u.reply.call.bits, &event);
      break;
    case ACTION_EXIT:
      fleet->exited[i] = TRUE;
      break;
    case ACTION_NOTE:
      if (action->u.note.id == NOTE_TAKEOVER)
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
      records->items
          = &g_array_index (fleet->log, struct log_entry, fleet->read[i] - 1);
      records->count = fleet->log->len - (guint)(fleet->read[i] - 1);
      records->next = fleet->log->len + 1;
      records->at_tail = TRUE;
      records->from_log = TRUE;
      records->begun = fleet->now;
      fleet->read[i] = records->next;
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
      if (item->due > fleet->now || (own && !fleet->up[item->to]))
        g_array_append_vals (fleet->mail, item, 1);
      else if (fleet->up[item->to])
        fleet_feed (fleet, item->to, &item->event);
    }
  g_array_free (mail, TRUE);
}

/* Tell whether node I serves SLICE now.  */
static inline struct own_right
fleet_right (const struct fleet *fleet, int i, guint32 slice)
{
  const struct core *core = &fleet->cores[i];
  const struct view_service *service
      = view_find_service (&core->view, MAKE_SERVICE);
  struct own_right none = { FALSE, REASON_NO_OWNER, { 0, 0 } };

  return service != NULL ? own_check (core, service, slice, fleet->now) : none;
}

/* The node that serves SLICE now, -1 if there is none.  */
static inline int
fleet_server (struct fleet *fleet, guint32 slice)
{
  int found = -1;
  int i;

  for (i = 0; i < fleet->count; i++)
    if (fleet->up[i] && fleet_right (fleet, i, slice).serves)
      {
        if (found >= 0)
          fleet->two_owners++;
        found = i;
      }
  return found;
}

/* Let USEC pass.  */
static inline void
fleet_run (struct fleet *fleet, gint64 usec)
{
  struct event tick = { .kind = EVENT_TICK };
  gint64 end = fleet->now + usec;
  guint32 slice;
  int i;

  while (fleet->now < end)
    {
      fleet->now += FLEET_STEP_USEC;
      fleet->steps++;
      fleet_deliver (fleet);
      for (i = 0; i < fleet->count; i++)
        if (fleet->up[i] && fleet->steps % FLEET_STEPS_A_TICK == 0)
          {
            if (!fleet->lags[i])
              fleet_read (fleet, i);
            fleet_feed (fleet, i, &tick);
          }
      for (slice = 0; slice < MAKE_SLICES; slice++)
        fleet_server (fleet, slice);
    }
}

/* Let time pass until a node serves SLICE, at most USEC.  Return it or -1.  */
static inline int
fleet_wait (struct fleet *fleet, guint32 slice, gint64 usec)
{
  gint64 end = fleet->now + usec;

  while (fleet->now < end && fleet_server (fleet, slice) < 0)
    fleet_run (fleet, FLEET_STEP_USEC);
  return fleet_server (fleet, slice);
}

/* Start a process on the host of node I + 1, which draws INCARNATION; its
   server checks fences if CHECKS is set.  */
static inline void
fleet_start (struct fleet *fleet, int i, guint64 incarnation, gboolean checks)
{
  struct record join = make_join ((guint64)i + 1);
  struct core_settings settings = { .incarnation = incarnation, .seed = 7 };
  struct event up = { .kind = EVENT_SERVER_UP };

  memcpy (settings.host, join.body.join.host, NAME_SIZE);
  memcpy (settings.zone, join.body.join.zone, NAME_SIZE);
  g_strlcpy (settings.service, MAKE_SERVICE, NAME_SIZE);
  settings.peer = join.body.join.peer;
  settings.front = join.body.join.front;
  core_init (&fleet->cores[i], &settings);
  fleet->up[i] = TRUE;
  fleet->lags[i] = FALSE;
  fleet->exited[i] = FALSE;
  fleet->read[i] = 1;
  g_strlcpy (up.u.server_up.server, join.body.join.server, NAME_SIZE);
  up.u.server_up.slots = 4;
  up.u.server_up.checks_fences = checks;
  fleet_feed (fleet, i, &up);
}

/* End the process of node I and start one that is a new incarnation.  */
static inline void
fleet_restart (struct fleet *fleet, int i)
{
  guint64 incarnation = fleet->cores[i].settings.incarnation + FLEET_MAX;
  guint k;

  for (k = fleet->mail->len; k > 0; k--)
    if (g_array_index (fleet->mail, struct fleet_mail, k - 1).to == i)
      g_array_remove_index (fleet->mail, k - 1);
  core_clear (&fleet->cores[i]);
  fleet_start (fleet, i, incarnation, TRUE);
}

/* Start COUNT nodes whose servers check fences if CHECKS is set.  Node 1 is
   given slice 0, with the successors 2 and 3; records of the kind SKIP are
   refused, so that the planner can be left out.  */
static inline void
fleet_init (struct fleet *fleet, int count, gboolean checks)
{
  int i;

  memset (fleet, 0, sizeof *fleet);
  fleet->count = count;
  fleet->now = 1000000;
  fleet->log = g_array_new (FALSE, TRUE, sizeof (struct log_entry));
  fleet->mail = g_array_new (FALSE, TRUE, sizeof (struct fleet_mail));
  fleet_append (fleet, make_config ());
  fleet->skip = RECORD_ASSIGN;
  for (i = 0; i < count; i++)
    fleet_start (fleet, i, (guint64)i + 1, checks);
  fleet_run (fleet, 2000000);
  fleet_append (fleet, make_slice (RECORD_ASSIGN, 0, 0, 1, 2, 3));
  fleet_run (fleet, 500000);
}

/* Release the fleet.  */
static inline void
fleet_clear (struct fleet *fleet)
{
  int i;
  guint k;

  for (i = 0; i < fleet->count; i++)
    core_clear (&fleet->cores[i]);
  for (k = 0; k < fleet->log->len; k++)
    record_clear (&g_array_index (fleet->log, struct log_entry, k).record);
  g_array_free (fleet->log, TRUE);
  g_array_free (fleet->mail, TRUE);
}

/* Slice 0 as node I sees it.  */
static inline const struct view_slice *
fleet_slice (const struct fleet *fleet, int i)
{
  return view_slice_at (
      view_find_service (&fleet->cores[i].view, MAKE_SERVICE), 0);
}

/* Tell whether node I is a witness of the node numbered HOLDER, as that one
   sees it.  */
static inline gboolean
fleet_is_witness (const struct fleet *fleet, guint64 holder, int i)
{
  const struct view *view = &fleet->cores[holder - 1].view;
  const struct view_node *node
      = view_node_at (view, view_find_node (view, holder));
  guint32 k;

  for (k = 0; node != NULL && k < node->witness_count; k++)
    if (node->witnesses[k] == (guint64)i + 1)
      return TRUE;
  return FALSE;
}

/* Cut all calls of node I, both ways.  */
static inline void
fleet_isolate (struct fleet *fleet, int i, gboolean cut)
{
  int k;

  for (k = 0; k < fleet->count; k++)
    if (k != i)
      fleet->cut[i][k] = fleet->cut[k][i] = cut;
}

#endif
