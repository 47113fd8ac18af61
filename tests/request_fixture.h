#ifndef TESTS_REQUEST_FIXTURE_H
#define TESTS_REQUEST_FIXTURE_H

#include "decide/core.h"
#include "tests/suite.h"

#include <string.h>

/* A core that has read a small log and receives requests.  Node 1 belongs to
   the given service, node 2 to desk, nodes 3 and 4 to pay, nodes 5 and 6 to
   far.  Desk is owned by node 1 if that is its service, otherwise by node 2.
   Far is owned by node 5, with node 6 and then node 1, if that is its service,
   as successors.  Pay is not sharded.  */

#define FIXTURE_START ((gint64)100000000)
#define FIXTURE_TIMEOUT_USEC ((gint64)3000000) /* timeout of every service */
#define FIXTURE_CONFIG                                                        \
  "[place z1]\nregion = r\n"                                                  \
  "[service desk]\ndivided = yes\nslices = 1\ntimeout-ms = 3000\nqueue = 2\n" \
  "[service far]\ndivided = yes\nslices = 1\ntimeout-ms = 3000\nqueue = 2\n"  \
  "[service pay]\ndivided = no\ntimeout-ms = 3000\nqueue = 2\n"               \
  "[rule desk]\nservice = desk\npath = /desk/\nkey-segment = 2\n"             \
  "run = once\npriority = normal\n"                                           \
  "[rule far]\nservice = far\npath = /far/\nkey-segment = 2\n"                \
  "run = once\npriority = normal\n"                                           \
  "[rule pay]\nservice = pay\npath = /pay/\nrun = once\npriority = normal\n"

struct fixture
{
  struct core core;       /* the node under test */
  struct actions out;     /* actions of the last event */
  struct table exchanges; /* requests of the edge */
  guint64 next_offset;    /* offset of the next record */
};

/* Pass EVENT to the core at NOW.  */
static inline void
fixture_step (struct fixture *f, const struct event *event, gint64 now)
{
  actions_remove_all (&f->out);
  core_step (&f->core, event, now, &f->out);
}

/* Have the core read RECORD from the log.  */
static inline void
fixture_record (struct fixture *f, const struct record *record, gint64 now)
{
  struct log_entry entry = { f->next_offset, *record };
  struct event event = { .kind = EVENT_RECORDS };

  entry.record.version = RECORD_VERSION;
  event.u.records.items = &entry;
  event.u.records.count = 1;
  event.u.records.next_offset = ++f->next_offset;
  event.u.records.at_end = TRUE;
  event.u.records.from_log = TRUE;
  event.u.records.started_at = now;
  fixture_step (f, &event, now);
}

/* Have the core read that node INCARNATION of SERVICE joins.  */
static inline void
fixture_join (struct fixture *f, guint64 incarnation, const char *service)
{
  struct record record = { .kind = RECORD_JOIN, .serial = 1 };
  struct record_join *join = &record.body.join;

  join->incarnation = incarnation;
  g_snprintf (join->host, sizeof join->host, "host-%u", (guint)incarnation);
  g_strlcpy (join->zone, "z1", sizeof join->zone);
  g_strlcpy (join->service, service, sizeof join->service);
  join->http_address.port = (guint16)(200 + incarnation);
  join->peer_address.ip = 0x7f000001;
  join->peer_address.port = (guint16)(100 + incarnation);
  join->slots = 2;
  fixture_record (f, &record, FIXTURE_START);
}

/* Have the core read that OWNER owns slice 0 of SERVICE, with the successors
   FIRST and SECOND.  */
static inline void
fixture_assign (struct fixture *f, const char *service, guint64 owner,
                guint64 first, guint64 second)
{
  struct record record = { .kind = RECORD_ASSIGN };
  struct record_slice slice
      = { .owner = owner, .successors = { first, second } };

  g_strlcpy (record.body.slices.service, service, NAME_SIZE);
  record.body.slices.count = 1;
  record.body.slices.items = &slice;
  fixture_record (f, &record, FIXTURE_START);
}

/* Start node 1 of SERVICE, whose server has two slots.  */
static inline void
fixture_begin (struct fixture *f, const char *service)
{
  struct core_settings settings = { .incarnation = 1, .random_seed = 1 };
  struct record config = { .kind = RECORD_CONFIG };
  struct event up = { .kind = EVENT_SERVER_UP };

  memset (f, 0, sizeof *f);
  f->next_offset = 1;
  g_strlcpy (settings.service, service, sizeof settings.service);
  g_strlcpy (settings.zone, "z1", sizeof settings.zone);
  core_init (&f->core, &settings);
  actions_init (&f->out);
  table_init (&f->exchanges, sizeof (guint32));
  config.body.config.text = (char *)FIXTURE_CONFIG;
  fixture_record (f, &config, FIXTURE_START);
  fixture_join (f, 1, service);
  fixture_join (f, 2, "desk");
  fixture_join (f, 3, "pay");
  fixture_join (f, 4, "pay");
  fixture_join (f, 5, "far");
  fixture_join (f, 6, "far");
  fixture_assign (f, "desk", strcmp (service, "desk") == 0 ? 1 : 2, 2, 0);
  fixture_assign (f, "far", 5, 6, strcmp (service, "far") == 0 ? 1 : 0);
  up.u.server_up.slots = 2;
  fixture_step (f, &up, FIXTURE_START - LIMITER_WARMUP_USEC);
  f->core.lease.expires_at = G_MAXINT64;
}

/* Free the memory of F.  */
static inline void
fixture_end (struct fixture *f)
{
  core_clear (&f->core);
  actions_clear (&f->out);
  table_clear (&f->exchanges);
}

/* Return the first action of KIND after the last event, or NULL.  */
static inline const struct action *
fixture_find (const struct fixture *f, enum action_kind kind)
{
  guint i;

  for (i = 0; i < f->out.items->len; i++)
    if (actions_at (&f->out, i)->kind == kind)
      return actions_at (&f->out, i);
  return NULL;
}

/* Return a request of run class once for KEY of SERVICE.  */
static inline struct request
fixture_request (const char *service, const char *key, const char *id)
{
  struct request request = { .run_class = RUN_ONCE,
                             .priority = PRIORITY_NORMAL,
                             .deadline = FIXTURE_START + 3000000 };

  g_strlcpy (request.service, service, sizeof request.service);
  g_strlcpy (request.key, key, sizeof request.key);
  g_strlcpy (request.id, id, sizeof request.id);
  return request;
}

/* Have REQUEST arrive at NOW.  Return the handle of its exchange.  */
static inline struct handle
fixture_arrive (struct fixture *f, const struct request *request, gint64 now)
{
  struct event event = { .kind = EVENT_REQUEST };

  event.u.request.exchange = table_add (&f->exchanges);
  event.u.request.request = *request;
  fixture_step (f, &event, now);
  return event.u.request.exchange;
}

/* Have the attempt of EXCHANGE end.  */
static inline void
fixture_ended (struct fixture *f, struct handle exchange, enum outcome outcome,
               enum reason reason, gint64 now)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.attempt_ended.exchange = exchange;
  event.u.attempt_ended.outcome = outcome;
  event.u.attempt_ended.reason = reason;
  event.u.attempt_ended.body_replayable = TRUE;
  fixture_step (f, &event, now);
}

/* Have time pass until NOW while the edge handles EXCHANGES requests.  */
static inline void
fixture_tick (struct fixture *f, guint32 exchanges, gint64 now)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = exchanges;
  fixture_step (f, &event, now);
}

/* Return whether the request was ended with OUTCOME for REASON.  */
static inline gboolean
fixture_answered (const struct fixture *f, enum outcome outcome,
                  enum reason reason)
{
  const struct action *action = fixture_find (f, ACTION_ANSWER);

  return action != NULL && action->u.answer.outcome == outcome
         && action->u.answer.reason == reason;
}

#endif
