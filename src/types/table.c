#include "types/table.h"

#include <string.h>

#define TABLE_BLOCK 64u /* cells in a block */

/* Header of an item.  */
struct cell
{
  guint32 generation; /* current generation of the row */
  guint32 used;       /* whether the row holds an item */
};

/* Return the cell of ROW, which must have been used before.  */
static struct cell *
cell_at (const struct table *table, guint32 row)
{
  guint8 *block = g_ptr_array_index (table->blocks, row / TABLE_BLOCK);

  return (struct cell *)(block + (row % TABLE_BLOCK) * table->cell_size);
}

/* Return the item behind the header CELL.  */
static void *
cell_item (struct cell *cell)
{
  return cell + 1;
}

/* Allocate blocks until ROW exists.  */
static void
grow_to (struct table *table, guint32 row)
{
  while (table->blocks->len * TABLE_BLOCK <= row)
    g_ptr_array_add (table->blocks,
                     g_malloc0 (table->cell_size * TABLE_BLOCK));
  if (row >= table->row_count)
    table->row_count = row + 1;
}

/* Set up TABLE as an empty table for items of ITEM_SIZE bytes.  */
void
table_init (struct table *table, gsize item_size)
{
  memset (table, 0, sizeof *table);
  table->item_size = item_size;
  table->cell_size = (sizeof (struct cell) + item_size + 7u) & ~(gsize)7u;
  table->blocks = g_ptr_array_new_with_free_func (g_free);
  table->free_rows = g_array_new (FALSE, FALSE, sizeof (guint32));
}

/* Release all memory of TABLE.  The caller must release what its items
   own.  */
void
table_clear (struct table *table)
{
  if (table->blocks != NULL)
    g_ptr_array_free (table->blocks, TRUE);
  if (table->free_rows != NULL)
    g_array_free (table->free_rows, TRUE);
  memset (table, 0, sizeof *table);
}

/* Set up TO as a copy of FROM, in which the items have the same handles.  What
   the items own is not copied.  */
void
table_copy (struct table *to, const struct table *from)
{
  gsize block_size = from->cell_size * TABLE_BLOCK;
  guint i;

  table_init (to, from->item_size);
  for (i = 0; i < from->blocks->len; i++)
    g_ptr_array_add (
        to->blocks,
        g_memdup2 (g_ptr_array_index (from->blocks, i), block_size));
  g_array_append_vals (to->free_rows, from->free_rows->data,
                       from->free_rows->len);
  to->row_count = from->row_count;
  to->count = from->count;
  to->is_mirror = from->is_mirror;
}

/* Add a zeroed item and return its handle.  A table may not grow beyond 2^22
   rows; that is a bug, and aborts the program.  */
struct handle
table_add (struct table *table)
{
  guint32 row = table->row_count;
  struct cell *cell;

  if (table->free_rows->len > 0)
    {
      guint32 last = table->free_rows->len - 1;
      row = g_array_index (table->free_rows, guint32, last);
      g_array_set_size (table->free_rows, last);
    }
  g_assert (row <= HANDLE_INDEX_MASK);
  grow_to (table, row);
  cell = cell_at (table, row);
  cell->generation = (cell->generation + 1u) & HANDLE_GENERATION_MASK;
  if (cell->generation == 0)
    cell->generation = 1;
  cell->used = 1;
  memset (cell_item (cell), 0, table->item_size);
  table->count++;
  return handle_make (row, cell->generation);
}

/* Return the item under H, a handle issued by another table, and add a zeroed
   item if there is none.  An item of another generation in the same row is
   replaced.  A table must be filled either by table_add or by table_mirror,
   never by both.  */
void *
table_mirror (struct table *table, struct handle h)
{
  struct cell *cell;

  table->is_mirror = TRUE;
  grow_to (table, handle_index (h));
  cell = cell_at (table, handle_index (h));
  if (cell->used && cell->generation == handle_generation (h))
    return cell_item (cell);
  if (!cell->used)
    table->count++;
  cell->used = 1;
  cell->generation = handle_generation (h);
  memset (cell_item (cell), 0, table->item_size);
  return cell_item (cell);
}

/* Return the item under H, or NULL if it was removed.  */
void *
table_get (const struct table *table, struct handle h)
{
  struct cell *cell;

  if (!handle_is_set (h) || handle_index (h) >= table->row_count)
    return NULL;
  cell = cell_at (table, handle_index (h));
  if (!cell->used || cell->generation != handle_generation (h))
    return NULL;
  return cell_item (cell);
}

/* Remove the item under H.  Return FALSE if there was none.  */
gboolean
table_remove (struct table *table, struct handle h)
{
  guint32 row = handle_index (h);

  if (table_get (table, h) == NULL)
    return FALSE;
  cell_at (table, row)->used = 0;
  if (!table->is_mirror)
    g_array_append_val (table->free_rows, row);
  table->count--;
  return TRUE;
}

/* Iterate over TABLE: return the first handle in use after AFTER, which is
   HANDLE_NONE at the start.  Return HANDLE_NONE at the end.  The current item
   may be removed during the iteration.  */
struct handle
table_next (const struct table *table, struct handle after)
{
  guint32 row = handle_is_set (after) ? handle_index (after) + 1 : 0;

  for (; row < table->row_count; row++)
    {
      struct cell *cell = cell_at (table, row);
      if (cell->used)
        return handle_make (row, cell->generation);
    }
  return HANDLE_NONE;
}
