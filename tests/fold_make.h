#ifndef TESTS_FOLD_MAKE_H
#define TESTS_FOLD_MAKE_H

#include "decide/fold.h"

#include <string.h>

/* Makes records for tests and applies them.  Nodes have small incarnations;
   node N listens on 10.0.0.N and is on a host of its own.  */

#define MAKE_SERVICE "menu"
#define MAKE_SLICES 4u

/* A configuration with one divided service.  */
static const char make_config_text[]
    = "[place z0]\nregion = r\n[place z1]\nregion = r\n"
      "[place z2]\nregion = r\n"
      "[service menu]\ndivided = yes\nslices = 4\ntimeout-ms = 2000\n";

/* Return the address of node N.  */
static inline struct address
make_address (guint64 n)
{
  struct address address = { 0 };

  address.ip = (10u << 24) + (guint32)n;
  address.port = 7000;
  return address;
}

/* Return the join of node N, whose server checks fences.  */
static inline struct record
make_join (guint64 n)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_JOIN };
  struct record_join *join = &record.body.join;

  record.writer = n;
  join->incarnation = n;
  g_snprintf (join->host, sizeof join->host, "h%u", (guint)n);
  g_snprintf (join->server, sizeof join->server, "s%u", (guint)n);
  g_snprintf (join->zone, sizeof join->zone, "z%u", (guint)n % 3);
  g_strlcpy (join->service, MAKE_SERVICE, sizeof join->service);
  join->peer = make_address (n);
  join->front = make_address (n);
  join->slots = 4;
  join->checks_fences = TRUE;
  return record;
}

/* Return the removal of node N with FLOOR for CAUSE.  */
static inline struct record
make_out (guint64 n, guint64 floor, enum out_cause cause)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_OUT };

  record.body.out.incarnation = n;
  record.body.out.floor = floor;
  record.body.out.cause = cause;
  return record;
}

/* Return a record by which node N replaces the witness set of EPOCH with COUNT
   nodes from FIRST on.  */
static inline struct record
make_witness (guint64 n, guint64 epoch, guint64 first, guint32 count)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_WITNESS };
  guint32 i;

  record.writer = n;
  record.body.witness.incarnation = n;
  record.body.witness.epoch = epoch;
  record.body.witness.count = count;
  for (i = 0; i < count; i++)
    record.body.witness.set[i] = first + i;
  return record;
}

/* Return a record of KIND about one slice, to be released with
   record_clear.  */
static inline struct record
make_slice (enum record_kind kind, guint32 slice, guint64 epoch, guint64 owner,
            guint64 successor0, guint64 successor1)
{
  struct record record = { .version = RECORD_VERSION, .kind = kind };
  struct record_slice item
      = { slice, epoch, owner, { successor0, successor1 } };

  g_strlcpy (record.body.slices.service, MAKE_SERVICE,
             sizeof record.body.slices.service);
  record.body.slices.count = 1;
  record.body.slices.items = g_memdup2 (&item, sizeof item);
  return record;
}

/* Return a record that gives KEY a slice of its own, or drops that slice if
   DROP is set.  */
static inline struct record
make_hot (const char *key, gboolean drop, guint64 epoch)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_HOT };

  g_strlcpy (record.body.hot.service, MAKE_SERVICE,
             sizeof record.body.hot.service);
  g_strlcpy (record.body.hot.key, key, sizeof record.body.hot.key);
  record.body.hot.drop = drop;
  record.body.hot.slice.epoch = epoch;
  return record;
}

/* Return a record with the configuration above.  */
static inline struct record
make_config (void)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  record.body.config.text = g_strdup (make_config_text);
  return record;
}

/* Apply RECORD at the next offset of VIEW, release it, and return its
   offset.  */
static inline guint64
make_fold (struct view *view, struct record record)
{
  guint64 offset = MAX (view->next, 1);
  struct actions notes;

  actions_init (&notes);
  fold_record (view, offset, &record, &notes);
  actions_clear (&notes);
  record_clear (&record);
  return offset;
}

#endif
