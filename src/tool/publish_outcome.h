#ifndef BAMBOOTALLY_PUBLISH_OUTCOME_H
#define BAMBOOTALLY_PUBLISH_OUTCOME_H

#include "types/err.h"
#include "types/view_config_id.h"

/* What became of a configuration record, judged by the records that a node
   says put configurations in force.  */

enum publish_outcome
{
  PUBLISH_OUTCOME_PENDING,  /* it may still be accepted */
  PUBLISH_OUTCOME_ACCEPTED, /* it was put in force */
  PUBLISH_OUTCOME_CONFLICT, /* another one made from the same base was */
  PUBLISH_OUTCOME_REJECTED  /* the fold passed over it */
};

/* What is known of the record.  */
struct publish_query
{
  guint64 writer;         /* its writer */
  guint64 serial;         /* its serial */
  guint64 base_offset;    /* offset of the configuration it was made from */
  guint64 record_offset;  /* where it stands, 0 if not known */
  guint64 applied_offset; /* the node has folded all records below this */
};

enum publish_outcome publish_outcome_find (const struct publish_query *query,
                                           const char *past, guint64 *offset);

#endif
