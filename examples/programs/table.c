#include "types/table.h"

#include <stdio.h>

/* Shows handles and tables: a handle becomes stale when its item is removed,
   and stays stale when another item reuses the row.  */

int
main (void)
{
  struct table table;
  struct handle first;
  struct handle second;

  table_init (&table, sizeof (int));
  first = table_add (&table);
  *(int *)table_get (&table, first) = 41;
  table_remove (&table, first);
  second = table_add (&table);
  *(int *)table_get (&table, second) = 42;
  printf ("first: row %u generation %u: %s\n", handle_index (first),
          handle_generation (first),
          table_get (&table, first) != NULL ? "valid" : "stale");
  printf ("second: row %u generation %u: %d\n", handle_index (second),
          handle_generation (second), *(int *)table_get (&table, second));
  table_clear (&table);
  return 0;
}
