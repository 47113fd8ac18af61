#ifndef BAMBOOTALLY_PUBLISH_OUTCOME_H
#define BAMBOOTALLY_PUBLISH_OUTCOME_H

#include "types/err.h"
#include "types/view_config_id.h"

/* The outcome of publishing a configuration record, derived from a node's list
   of the records that put configurations in force.  */

enum publish_outcome
{
  PUBLISH_OUTCOME_PENDING,  /* the record may still be accepted */
  PUBLISH_OUTCOME_ACCEPTED, /* the configuration was put in force */
  PUBLISH_OUTCOME_CONFLICT, /* another one with this base was put in force */
  PUBLISH_OUTCOME_REJECTED  /* the record was applied without effect */
};

/* What is known about the published record.  */
struct publish_query
{
  guint64 writer;         /* writer of the record */
  guint64 serial;         /* serial of the record */
  guint64 base_offset;    /* offset of the configuration that it is based on */
  guint64 record_offset;  /* offset of the record, 0 if not known */
  guint64 applied_offset; /* all records below this are applied at the node */
};

enum publish_outcome publish_outcome_find (const struct publish_query *query,
                                           const char *history,
                                           guint64 *offset);

#endif
