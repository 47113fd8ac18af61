#ifndef BAMBOOTALLY_PUBLICATION_H
#define BAMBOOTALLY_PUBLICATION_H

#include "types/err.h"
#include "types/view_config_id.h"

/* What became of a configuration record, judged by the records that a node
   says put configurations in force.  */

enum publication
{
  PUBLICATION_OPEN,     /* it may still be accepted */
  PUBLICATION_ACCEPTED, /* it was put in force */
  PUBLICATION_CONFLICT, /* another one made from the same base was */
  PUBLICATION_DROPPED   /* the fold passed over it */
};

/* What is known of the record.  */
struct publication_query
{
  guint64 writer; /* its writer */
  guint64 serial; /* its serial */
  guint64 base;   /* offset of the configuration it was made from */
  guint64 offset; /* where it stands, 0 if not known */
  guint64 next;   /* the node has folded all records below this */
};

enum publication publication_judge (const struct publication_query *query,
                                    const char *past, guint64 *offset);

#endif
