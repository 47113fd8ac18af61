#ifndef BAMBOOTALLY_TABLE_H
#define BAMBOOTALLY_TABLE_H

#include "types/handle.h"

/* A table of equal-sized items reached by handles.  Items live in blocks that
   never move, so a pointer from table_get stays good until that item is
   removed.  */

struct table
{
  gsize item_size;    /* bytes in an item */
  gsize cell_size;    /* item with its generation in front, aligned */
  GPtrArray *blocks;  /* blocks of TABLE_BLOCK cells */
  GArray *free_rows;  /* guint32 rows that can be used again */
  guint32 row_count;  /* rows ever used */
  guint32 count;      /* items in the table */
  gboolean is_mirror; /* its handles come from another table */
};

void table_init (struct table *table, gsize item_size);
void table_clear (struct table *table);
struct handle table_add (struct table *table);
void *table_mirror (struct table *table, struct handle h);
void *table_get (const struct table *table, struct handle h);
gboolean table_remove (struct table *table, struct handle h);
struct handle table_next (const struct table *table, struct handle after);

#endif
