#ifndef BAMBOOTALLY_PUBLICATION_H
#define BAMBOOTALLY_PUBLICATION_H

#include "types/err.h"
#include "types/view_config_id.h"

/* The outcome of publishing a configuration record, derived from a node's list
   of the records that put configurations in force.  */

enum publication
{
  PUBLICATION_OPEN,     /* the record may still be accepted */
  PUBLICATION_ACCEPTED, /* the configuration was put in force */
  PUBLICATION_CONFLICT, /* another one with the same base was put in force */
  PUBLICATION_DROPPED   /* the record was applied without effect */
};

/* What is known about the published record.  */
struct publication_query
{
  guint64 writer; /* writer of the record */
  guint64 serial; /* serial of the record */
  guint64 base;   /* offset of the configuration that it is based on */
  guint64 offset; /* offset of the record, 0 if not known */
  guint64 next;   /* all records below this are applied at the node */
};

enum publication publication_judge (const struct publication_query *query,
                                    const char *history, guint64 *offset);

#endif
