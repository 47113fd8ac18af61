#ifndef STANDIN_CHECKER_H
#define STANDIN_CHECKER_H

#include "types/fence.h"

#include <glib.h>

/* Checks what backend servers recorded against what callers were told, after
   a run with faults.  */

/* A line of a server's record.  */
struct checker_line
{
  gint64 logged_at;    /* monotonic microseconds of the host */
  guint server_index;  /* which record file */
  char event[16];      /* begin, done or cancelled */
  char slice[16];      /* slice, empty for an undivided service */
  struct fence fence;  /* fence it carried */
  char request_id[64]; /* request id */
};

struct checker
{
  GArray *lines;            /* struct checker_line */
  GHashTable *begin_counts; /* id to number of runs begun */
  GHashTable *done_counts;  /* id to number of runs done */
  guint two_owners_count;  /* begins with a lower fence than seen, or shared */
  guint overlap_count;     /* runs that ended after a newer owner began */
  guint run_twice_count;   /* once requests that were begun more than once */
  guint ran_not_run_count; /* requests ended as not run that were begun */
  guint done_unrun_count;  /* requests ended as done that no server ran */
  guint request_count;     /* requests read from callers' output */
  guint server_count;      /* record files read */
};

void checker_init (struct checker *checker);
void checker_clear (struct checker *checker);
gboolean checker_read_record (struct checker *checker, const char *file);
gboolean checker_read_caller (struct checker *checker, const char *file,
                              gboolean once);
void checker_check_owners (struct checker *checker);
gboolean checker_passed (const struct checker *checker);

#endif
