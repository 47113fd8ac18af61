#ifndef TESTS_CALL_CHAIN_TYPES_H
#define TESTS_CALL_CHAIN_TYPES_H

#include "decide/admission.h"
#include "serve/call_retry.h"
#include "serve/run_times.h"

/* The types of tests/call_chain.h.  */

#define MSEC ((gint64)1000)
#define START ((gint64)1000000000)
#define SLOTS 6u
#define PARENT_SERVERS 6u
#define SERVERS 9u
#define ITEMS 2048u
#define LENGTH (20000 * MSEC)
#define NEED_USEC (30 * MSEC)

enum item_kind
{
  ITEM_PARENT, /* runs at the first servers, makes calls */
  ITEM_OTHER,  /* runs at the last servers */
  ITEM_CALL,   /* runs at the last servers, for a parent */
  ITEM_KINDS
};

/* A request or a call.  */
struct item
{
  gboolean used;               /* the entry is in use */
  enum item_kind kind;         /* what it is */
  gint64 arrived_at;           /* when it arrived */
  gint64 due_at;               /* its target */
  gint64 deadline;             /* its deadline */
  gint64 work_usec;            /* work in one part of its run */
  guint calls_left;            /* calls that it still makes */
  guint parent;                /* item that made this call */
  guint server;                /* server where it is */
  gint64 started_at;           /* when it got its slot, 0: it has none */
  gint64 part_ends_at;         /* end of the part that runs, 0: none runs */
  gint64 again_at;             /* when it is sent again, 0: it is not */
  struct call_refusal refusal; /* its refusals */
};

/* Results for one kind.  */
struct result
{
  guint sent;    /* requests */
  guint on_time; /* served within the target */
  guint late;    /* served within the deadline */
  guint failed;  /* parents that failed with a call, after they held a slot */
};

struct chain
{
  struct admission admission[SERVERS];
  struct run_times run_times[SERVERS];
  struct item items[ITEMS];
  struct result results[ITEM_KINDS];
  GRand *random;
  gint64 now;
  gboolean inherits; /* calls inherit priority and are tried again */
};

#endif
