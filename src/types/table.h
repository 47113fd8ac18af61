#ifndef BAMBOOTALLY_TABLE_H
#define BAMBOOTALLY_TABLE_H

#include "types/handle.h"

/* A table of items of equal size, which are accessed by handles.  Items are
   stored in blocks that never move, so a pointer from table_get stays valid
   until the item is removed.  */

struct table
{
  gsize item_size;    /* bytes in an item */
  gsize cell_size;    /* bytes in a cell: the item with its header, aligned */
  GPtrArray *blocks;  /* blocks of TABLE_BLOCK cells */
  GArray *free_rows;  /* guint32 indexes of rows that can be reused */
  guint32 row_count;  /* rows used so far */
  guint32 count;      /* items in the table */
  gboolean is_mirror; /* handles are issued by another table */
};

void table_init (struct table *table, gsize item_size);
void table_clear (struct table *table);
void table_copy (struct table *to, const struct table *from);
struct handle table_add (struct table *table);
void *table_mirror (struct table *table, struct handle h);
void *table_get (const struct table *table, struct handle h);
gboolean table_remove (struct table *table, struct handle h);
struct handle table_next (const struct table *table, struct handle after);

#endif
