#ifndef TESTS_MAKE_RECORD_H
#define TESTS_MAKE_RECORD_H

#include "decide/apply.h"

#include <string.h>

/* Makes records for tests and applies them.  Nodes have small incarnations;
   node N listens on 10.0.0.N and is on a host of its own.  */

#define MAKE_SERVICE "menu"
#define MAKE_SLICES 4u

/* A configuration with one sharded service.  */
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
  join->peer_address = make_address (n);
  join->http_address = make_address (n);
  join->slots = 4;
  join->checks_fences = TRUE;
  return record;
}

/* Return the removal of node N with FLOOR for CAUSE.  */
static inline struct record
make_removed (guint64 n, guint64 floor, enum removal_cause cause)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_REMOVED };

  record.body.removed.incarnation = n;
  record.body.removed.floor = floor;
  record.body.removed.cause = cause;
  return record;
}

/* Return a record by which node N replaces the witness set of EPOCH with COUNT
   nodes from FIRST on.  */
static inline struct record
make_witness (guint64 n, guint64 epoch, guint64 first, guint32 count)
{
  struct record record
      = { .version = RECORD_VERSION, .kind = RECORD_WITNESS_SET };
  guint32 i;

  record.writer = n;
  record.body.witness_set.incarnation = n;
  record.body.witness_set.replaced_epoch = epoch;
  record.body.witness_set.witness_count = count;
  for (i = 0; i < count; i++)
    record.body.witness_set.witnesses[i] = first + i;
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
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_HOT_KEY };

  g_strlcpy (record.body.hot_key.service, MAKE_SERVICE,
             sizeof record.body.hot_key.service);
  g_strlcpy (record.body.hot_key.key, key, sizeof record.body.hot_key.key);
  record.body.hot_key.is_removal = drop;
  record.body.hot_key.slice.epoch = epoch;
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
make_apply (struct view *view, struct record record)
{
  guint64 offset = MAX (view->applied_offset, 1);
  struct actions out;

  actions_init (&out);
  apply_record (view, offset, &record, &out);
  actions_clear (&out);
  record_clear (&record);
  return offset;
}

#endif
